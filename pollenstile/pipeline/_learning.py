"""What the times of attempts tell of upstreams."""

_MS = 1000
_USUAL = 50


def learn_reply(attempts, attempt, reply):
    """Take in the time of a call that was answered whole.

    Explanation
    ===========

    Its usual time is the time that upstreams say they work on it: time in
    their queues, which is what limits are about, is not part of it.

    Parameters
    ==========

    attempts : Attempts
        Of the stage.
    attempt : Attempt
        That was answered.
    reply : Reply
        Its answer.
    """
    took = attempts.took(attempt)
    worked = reply.busy_ms / _MS
    _sample(attempts, attempt, reply.load)
    key = _time_key(attempts, 'attempt')
    attempts.core.tracker.measured(key, min(took, worked or took))


def learn_slow(attempts, attempt):
    """Take in a call that was given up after more than its usual time.

    Explanation
    ===========

    An upstream that has become very slow answers nothing in time. If only
    answers counted it would look as fast as before, and every request would
    go on finding out for itself.
    """
    if attempts.took(attempt) > _usual(attempts):
        _sample(attempts, attempt, None)


def learn_first(attempts, attempt):
    """Take in the time until a stream's first token."""
    took = attempts.took(attempt)
    attempts.core.tracker.measured(_time_key(attempts, 'first'), took)


def _time_key(attempts, sign):
    return (attempts.request.name, attempts.stage.name, sign)


def _usual(attempts):
    declared = attempts.stage.expect_ms / _MS
    key = _time_key(attempts, 'attempt')
    return attempts.core.tracker.quantile(key, _USUAL, declared)


def _sample(attempts, attempt, load):
    choice = attempt.choice
    attempts.core.concurrency.sample(
        choice.name,
        choice.upstream.slots,
        attempts.core.tracker.state(choice.name).in_flight,
        attempts.took(attempt),
        _usual(attempts),
        load,
    )
