"""Checks of the order of a pipeline's stages."""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._references import named_twice
from pollenstile.manifest._walk import (
    MAX_STAGES,
    chain_between,
    stage_needs,
)


def _length(path, pipeline):
    count = len(pipeline.stages)
    if 1 <= count <= MAX_STAGES:
        return []
    text = f'a pipeline has 1 to {MAX_STAGES} stages, not {count}'
    return [Mistake(f'{path}.stages', text)]


def _duplicates(path, stages):
    mistakes = []
    places = {}
    for place, stage in enumerate(stages):
        first = places.setdefault(stage.name, place)
        if first == place:
            continue
        text = f'{stage.name!r} is the name of stages.{first} already'
        mistakes.append(Mistake(f'{path}.stages.{place}.name', text))
    return mistakes


def _forward_text(stages, needs, place, needed):
    chain = chain_between(needs, needed, place)
    if not chain:
        return f'{stages[needed].name!r} stands later, so it has not run'
    names = [stages[one].name for one in (place, *chain)]
    return f'a cycle: {" -> ".join(names)}'


def _need_text(stages, needs, place, name):
    names = [stage.name for stage in stages]
    if name not in names:
        return f'no stage is named {name!r}'
    needed = names.index(name)
    if needed < place:
        return ''
    return _forward_text(stages, needs, place, needed)


def _needs(path, stages):
    """Return a mistake for each need that can't be met.

    A cycle has at least one need on the stage itself or a later one, so that
    these needs are all that has to be looked at.
    """
    mistakes = []
    needs = stage_needs(stages)
    reads = stage_paths(path, stages, 'name', 'needs')
    for place, stage in enumerate(stages):
        here = f'{path}.stages.{place}.needs'
        mistakes.extend(named_twice(here, stage.needs))
        for name in dict.fromkeys(stage.needs):
            text = _need_text(stages, needs, place, name)
            if not text:
                continue
            index = stage.needs.index(name)
            mistakes.append(Mistake(f'{here}.{index}', text, reads))
    return mistakes


def stage_paths(path, stages, *fields):
    """Return the paths of some fields of every stage, as a tuple."""
    paths = [f'{path}.stages']
    for place, _ in enumerate(stages):
        paths.extend(f'{path}.stages.{place}.{name}' for name in fields)
    return tuple(paths)


def order_mistakes(manifest):
    """Return a mistake for each pipeline whose stages can't run in order."""
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}'
        too_many = _length(path, pipeline)
        mistakes.extend(too_many)
        if too_many:
            continue
        mistakes.extend(_duplicates(path, pipeline.stages))
        mistakes.extend(_needs(path, pipeline.stages))
    return mistakes
