"""Records the times of attempts for quantiles and concurrency limits."""

_MS = 1000
_MEDIAN_PERCENT = 50


def record_reply(attempts, attempt, reply):
    """Record the time of a call that was answered completely.

    Explanation
    ===========

    The expected time of a call is derived from the processing time that
    upstreams report. It excludes time in their queues, because the concurrency
    limits are there to control queueing. A call that was silent counts for the
    limits once, at the time at which it reached its limit: a second sample, of
    all the time for which its upstream stood still, would close the upstream.

    Parameters
    ==========

    attempts : Attempts
        The stage's attempts.
    attempt : Attempt
        The attempt that was answered.
    reply : Reply
        Its reply.
    """
    elapsed_seconds = attempts.elapsed_seconds(attempt)
    busy_seconds = reply.busy_ms / _MS
    if not attempt.was_silent:
        _record_sample(attempts, attempt, reply.load)
    key = _time_key(attempts, 'attempt')
    attempts.core.tracker.measured(
        key, min(elapsed_seconds, busy_seconds or elapsed_seconds)
    )


def record_slow_attempt(attempts, attempt):
    """Record a call that was abandoned after more than its usual time.

    Explanation
    ===========

    An upstream that has become very slow answers no call in time. If only
    answers were recorded, its measured latency would not rise, and requests
    would still be routed to it.
    """
    if attempts.elapsed_seconds(attempt) > _median_seconds(attempts):
        _record_sample(attempts, attempt, None)


def record_first_token(attempts, attempt):
    """Record the time until a stream's first token."""
    elapsed_seconds = attempts.elapsed_seconds(attempt)
    attempts.core.tracker.measured(
        _time_key(attempts, 'first'), elapsed_seconds
    )


def _time_key(attempts, measure):
    return (attempts.request.name, attempts.stage.name, measure)


def _median_seconds(attempts):
    declared = attempts.stage.expect_ms / _MS
    key = _time_key(attempts, 'attempt')
    return attempts.core.tracker.quantile(key, _MEDIAN_PERCENT, declared)


def _record_sample(attempts, attempt, load):
    choice = attempt.choice
    attempts.core.concurrency.sample(
        choice.name,
        choice.upstream.slots,
        attempts.core.tracker.state(choice.name).in_flight,
        attempts.elapsed_seconds(attempt),
        _median_seconds(attempts),
        load,
    )
