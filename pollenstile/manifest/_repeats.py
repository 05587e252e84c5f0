"""Checks of what may be sent again.

Explanation
===========

A non-idempotent stage is the last of its pipeline and reads, directly or not,
every other. Everything that may fail or run late has then ended before the
call that may run only once, and nothing can fail after it: its answer is the
request's answer. A stage after it would turn a done deed into a failed request
that the caller can't repeat.
"""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._order import stage_paths
from pollenstile.manifest._walk import (
    MAX_STAGES,
    chain_between,
    each_stage,
    stage_needs,
)


def _sent_again(manifest):
    mistakes = []
    for path, stage in each_stage(manifest):
        if stage.idempotent:
            continue
        reads = (f'{path}.idempotent',)
        if stage.attempts > 1:
            text = f'a non-idempotent stage has 1 attempt, not {stage.attempts}'
            mistakes.append(Mistake(f'{path}.attempts', text, reads))
        if stage.hedge:
            text = 'a non-idempotent stage is not hedged'
            mistakes.append(Mistake(f'{path}.hedge', text, reads))
    return mistakes


def _repeated_whole(manifest):
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}'
        found = [one for one in pipeline.stages if not one.idempotent]
        if not pipeline.idempotent or not found:
            continue
        text = f'stage {found[0].name!r} is non-idempotent: set this to false'
        reads = stage_paths(path, pipeline.stages, 'idempotent')
        mistakes.append(Mistake(f'{path}.idempotent', text, reads))
    return mistakes


def _position(path, stages, place):
    if place < len(stages) - 1:
        text = 'a non-idempotent stage is the last of its pipeline'
        reads = (f'{path}.stages.{place}.idempotent',)
        return [Mistake(f'{path}.stages.{place}', text, reads)]
    needs = stage_needs(stages)
    apart = []
    for other, stage in enumerate(stages[:place]):
        if not chain_between(needs, place, other):
            apart.append(stage.name)
    if not apart:
        return []
    text = (
        'a non-idempotent stage needs every other, directly or not;'
        f' not needed: {", ".join(apart)}'
    )
    reads = stage_paths(path, stages, 'name', 'needs', 'idempotent')
    return [Mistake(f'{path}.stages.{place}.needs', text, reads)]


def _positions(manifest):
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        stages = pipeline.stages
        if len(stages) > MAX_STAGES:
            continue
        for place, stage in enumerate(stages):
            if stage.idempotent:
                continue
            path = f'pipelines.{name}'
            mistakes.extend(_position(path, stages, place))
    return mistakes


def repeat_mistakes(manifest):
    """Return a mistake for each way in which a call might run twice."""
    return [
        *_sent_again(manifest),
        *_repeated_whole(manifest),
        *_positions(manifest),
    ]
