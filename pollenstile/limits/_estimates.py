"""Usual times of stages and requests, from measured quantiles."""

_MS = 1000
_USUAL = 50
_LATE = 60


def expected_time(pipeline, stage, tracker):
    """Return the usual time of a stage, in seconds."""
    declared = stage.expect_ms / _MS
    return tracker.quantile((pipeline, stage.name), _USUAL, declared)


def expected_times(request, tracker):
    """Return the usual time of each stage of a request, in seconds."""
    times = []
    for stage in request.pipeline.stages:
        times.append(expected_time(request.name, stage, tracker))
    return times


def needed_time(request, tracker, times):
    """Return seconds that a request needs with room for one late stage.

    Explanation
    ===========

    Stages are rarely late together: the usual times, and the largest margin
    of one stage between its usual and its late time.
    """
    margin = 0.0
    for stage, usual in zip(request.pipeline.stages, times, strict=True):
        late = tracker.quantile((request.name, stage.name), _LATE, usual)
        margin = max(margin, late - usual)
    return sum(times) + margin
