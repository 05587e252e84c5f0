"""Call durations, the unit of all margins of a stage's queue.

Explanation
===========

A call has a fixed cost regardless of its size, so a stage has the highest
throughput when each free upstream takes as many waiting pieces as fit.
"""

# Lateness in full calls up to which a group is admitted. The estimated wait
# ends with a full call, of which a piece waits half on average.
LATE_CALLS = 0.55
# Wait in a later step's queue, in full calls, from which late requests are not
# admitted. Lower values refuse requests that would be answered late, and do not
# increase the number answered in time.
_LONG_CALLS = 1.8


def call_seconds(limits, count):
    """Return the duration of a call with some pieces at usual speed."""
    return limits.call_seconds + count * limits.piece_seconds


def full_seconds(limits):
    """Return the duration of a call with a full batch.

    Explanation
    ===========

    All margins of a queue are multiples of this duration: margins in seconds
    that suit one service's calls make another service refuse requests that it
    could serve in time.

    Examples
    ========

    >>> from pollenstile.routes import StageLimits
    >>> from pollenstile.stagework import full_seconds
    >>> round(full_seconds(StageLimits(1, 8, 0.24, 0.025)), 2)
    0.44
    """
    return call_seconds(limits, limits.batch)


def long_wait(limits):
    """Return the wait from which a queue admits no late requests."""
    return _LONG_CALLS * full_seconds(limits)
