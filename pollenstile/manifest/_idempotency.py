"""Checks that no non-idempotent call can run twice.

Explanation
===========

A non-idempotent stage must be the last of its pipeline and must depend,
directly or indirectly, on every other stage. All stages that may fail or run
late have then ended before the call that may run only once, and nothing can
fail after it: its answer is the request's answer. A later stage could fail
the request after the call has taken effect, and the caller could not safely
retry it.
"""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._order import stage_paths
from pollenstile.manifest._traversal import (
    MAX_STAGES,
    dependency_path,
    list_stages,
    stage_needs,
)


def _retry_mistakes(manifest):
    mistakes = []
    for path, stage in list_stages(manifest):
        if stage.idempotent:
            continue
        reads = (f'{path}.idempotent',)
        if stage.attempts > 1:
            text = (
                'a non-idempotent stage must have 1 attempt,'
                f' not {stage.attempts}'
            )
            mistakes.append(Mistake(f'{path}.attempts', text, reads))
        if stage.hedge:
            text = 'a non-idempotent stage must not be hedged'
            mistakes.append(Mistake(f'{path}.hedge', text, reads))
    return mistakes


def _pipeline_flag_mistakes(manifest):
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}'
        unsafe = [stage for stage in pipeline.stages if not stage.idempotent]
        if not pipeline.idempotent or not unsafe:
            continue
        text = f'stage {unsafe[0].name!r} is non-idempotent: set this to false'
        reads = stage_paths(path, pipeline.stages, 'idempotent')
        mistakes.append(Mistake(f'{path}.idempotent', text, reads))
    return mistakes


def _position_mistakes(path, stages, index):
    if index < len(stages) - 1:
        text = 'a non-idempotent stage must be the last of its pipeline'
        reads = (f'{path}.stages.{index}.idempotent',)
        return [Mistake(f'{path}.stages.{index}', text, reads)]
    needs = stage_needs(stages)
    unneeded = []
    for earlier, stage in enumerate(stages[:index]):
        if not dependency_path(needs, index, earlier):
            unneeded.append(stage.name)
    if not unneeded:
        return []
    text = (
        'a non-idempotent stage must need every other stage,'
        f' directly or indirectly; not needed: {", ".join(unneeded)}'
    )
    reads = stage_paths(path, stages, 'name', 'needs', 'idempotent')
    return [Mistake(f'{path}.stages.{index}.needs', text, reads)]


def _all_position_mistakes(manifest):
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        stages = pipeline.stages
        if len(stages) > MAX_STAGES:
            continue
        for index, stage in enumerate(stages):
            if stage.idempotent:
                continue
            path = f'pipelines.{name}'
            mistakes.extend(_position_mistakes(path, stages, index))
    return mistakes


def idempotency_mistakes(manifest):
    """Return a mistake for each setting by which a call could run twice."""
    return [
        *_retry_mistakes(manifest),
        *_pipeline_flag_mistakes(manifest),
        *_all_position_mistakes(manifest),
    ]
