"""Times of calls: the unit of all margins of a stage's queue.

Explanation
===========

A call costs its fixed time whatever it holds, so a stage carries most when a
free upstream takes all that waits.
"""

# Calls past its due time up to which a group is taken. The estimate ends with
# a whole call, of which a piece waits half on average.
LATE_CALLS = 0.55
# Calls of a later step's queue from which it takes nothing that is late: fewer
# refuse what would be answered late, and bring no more in time.
_LONG_CALLS = 1.8


def call_seconds(limits, count):
    """Return the time that a call of some pieces takes at usual speed."""
    return limits.call_seconds + count * limits.piece_seconds


def full_seconds(limits):
    """Return the time of a call that holds all it can.

    Explanation
    ===========

    The unit of all margins of a queue: seconds that suit one service's calls
    make another one refuse what it could serve.

    Examples
    ========

    >>> from pollenstile.routes import StageLimits
    >>> from pollenstile.stagework import full_seconds
    >>> round(full_seconds(StageLimits(1, 8, 0.24, 0.025)), 2)
    0.44
    """
    return call_seconds(limits, limits.batch)


def long_wait(limits):
    """Return the wait from which a queue takes nothing that is late."""
    return _LONG_CALLS * full_seconds(limits)
