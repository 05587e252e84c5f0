"""Checks of deadlines."""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._order import stage_paths


def timing_mistakes(manifest):
    """Return a mistake for each deadline that the stages can't meet.

    Explanation
    ===========

    Stages run one after another, also where one does not need the one before
    it. Their expected times are usual ones, so that a deadline below the sum
    is missed by the usual request, whatever the load.
    """
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}'
        spent = sum(stage.expect_ms for stage in pipeline.stages)
        if spent <= pipeline.deadline_ms:
            continue
        text = f'{pipeline.deadline_ms} ms, but the stages take {spent} ms'
        reads = stage_paths(path, pipeline.stages, 'expect_ms')
        mistakes.append(Mistake(f'{path}.deadline_ms', text, reads))
    return mistakes
