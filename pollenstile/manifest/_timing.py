"""Checks that deadlines cover the expected times of the stages."""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._order import stage_paths


def timing_mistakes(manifest):
    """Return a mistake for each deadline below the sum of stage times.

    Explanation
    ===========

    Stages run one after another, even if a stage does not need the preceding
    one. Expected times are usual times, so a usual request misses a deadline
    below their sum at any load.
    """
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}'
        expected_ms = sum(stage.expect_ms for stage in pipeline.stages)
        if expected_ms <= pipeline.deadline_ms:
            continue
        text = (
            f'{pipeline.deadline_ms} ms, but the stages are expected to take'
            f' {expected_ms} ms'
        )
        reads = stage_paths(path, pipeline.stages, 'expect_ms')
        mistakes.append(Mistake(f'{path}.deadline_ms', text, reads))
    return mistakes
