"""Checks of the order and dependencies of a pipeline's stages."""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._references import duplicate_mistakes
from pollenstile.manifest._traversal import (
    MAX_STAGES,
    dependency_path,
    stage_needs,
)


def _length_mistakes(path, pipeline):
    count = len(pipeline.stages)
    if 1 <= count <= MAX_STAGES:
        return []
    text = f'a pipeline must have 1 to {MAX_STAGES} stages, not {count}'
    return [Mistake(f'{path}.stages', text)]


def _duplicate_name_mistakes(path, stages):
    mistakes = []
    first_indexes = {}
    for index, stage in enumerate(stages):
        first = first_indexes.setdefault(stage.name, index)
        if first == index:
            continue
        text = f'{stage.name!r} is already the name of stages.{first}'
        mistakes.append(Mistake(f'{path}.stages.{index}.name', text))
    return mistakes


def _later_stage_problem(stages, needs, index, needed):
    chain = dependency_path(needs, needed, index)
    if not chain:
        return f'{stages[needed].name!r} is a later stage, so it has not run'
    names = [stages[position].name for position in (index, *chain)]
    return f'a cycle: {" -> ".join(names)}'


def _need_problem(stages, needs, index, name):
    names = [stage.name for stage in stages]
    if name not in names:
        return f'no stage is named {name!r}'
    needed = names.index(name)
    if needed < index:
        return ''
    return _later_stage_problem(stages, needs, index, needed)


def _need_mistakes(path, stages):
    """Return a mistake for each need that can't be satisfied.

    Only needs on the stage itself or a later one are checked for cycles, as
    every cycle contains at least one of these.
    """
    mistakes = []
    needs = stage_needs(stages)
    reads = stage_paths(path, stages, 'name', 'needs')
    for index, stage in enumerate(stages):
        needs_path = f'{path}.stages.{index}.needs'
        mistakes.extend(duplicate_mistakes(needs_path, stage.needs))
        for name in dict.fromkeys(stage.needs):
            text = _need_problem(stages, needs, index, name)
            if not text:
                continue
            need_index = stage.needs.index(name)
            mistakes.append(Mistake(f'{needs_path}.{need_index}', text, reads))
    return mistakes


def stage_paths(path, stages, *fields):
    """Return the paths of the given fields of every stage."""
    paths = [f'{path}.stages']
    for index, _ in enumerate(stages):
        paths.extend(f'{path}.stages.{index}.{name}' for name in fields)
    return tuple(paths)


def order_mistakes(manifest):
    """Return the mistakes in the order and needs of each pipeline's stages."""
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}'
        length_mistakes = _length_mistakes(path, pipeline)
        mistakes.extend(length_mistakes)
        if length_mistakes:
            continue
        mistakes.extend(_duplicate_name_mistakes(path, pipeline.stages))
        mistakes.extend(_need_mistakes(path, pipeline.stages))
    return mistakes
