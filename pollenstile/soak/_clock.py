"""Virtual time that advances from timer to timer."""


def advance_exactly(clock, seconds):
    """Advance a clock so that each timer runs at its due time.

    Explanation
    ===========

    ``Clock.advance`` first moves to the end and then runs all due timers, so
    a timer that is started by another one would be late by the rest of the
    step.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.soak._clock import advance_exactly
    >>> clock = Clock()
    >>> seen = []
    >>> timer = clock.callLater(0.25, lambda: seen.append(clock.seconds()))
    >>> advance_exactly(clock, 1.0)
    >>> seen, clock.seconds()
    ([0.25], 1.0)
    """
    end = clock.seconds() + seconds
    while clock.calls:
        clock.calls.sort(key=_due)
        due = _due(clock.calls[0])
        if due > end:
            break
        clock.advance(max(0, due - clock.seconds()))
    clock.advance(max(0, end - clock.seconds()))


def _due(timer):
    return timer.getTime()
