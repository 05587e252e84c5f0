"""Expected times of stages and requests, from measured quantiles."""

_MS = 1000
# Percentiles of measured stage times that count as expected and as late.
_EXPECTED_PERCENT = 50
_LATE_PERCENT = 60


def expected_time(pipeline, stage, tracker):
    """Return the expected time of a stage, in seconds."""
    declared = stage.expect_ms / _MS
    return tracker.quantile((pipeline, stage.name), _EXPECTED_PERCENT, declared)


def expected_times(request, tracker):
    """Return the expected time of each stage of a request, in seconds."""
    times = []
    for stage in request.pipeline.stages:
        times.append(expected_time(request.name, stage, tracker))
    return times


def needed_time(request, tracker, times):
    """Return the seconds that a request needs, with a margin for a late stage.

    Explanation
    ===========

    Several stages of a request are rarely late together. The result is the
    sum of the expected times and the largest margin of a single stage between
    its expected and its late time.
    """
    margin = 0.0
    for stage, expected in zip(request.pipeline.stages, times, strict=True):
        late = tracker.quantile(
            (request.name, stage.name),
            _LATE_PERCENT,
            expected,
        )
        margin = max(margin, late - expected)
    return sum(times) + margin
