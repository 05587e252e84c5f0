"""Timers that fire late because the host itself stood still."""

# Seconds after its due time from which a timer counts as late. A busy loop is
# later than a millisecond, a paused process by far more than this.
LATE_SECONDS = 0.1
# Seconds in which bytes that arrived meanwhile are read.
READ_SECONDS = 0.05


def reading_time(now, due):
    """Return the seconds to wait until arrived bytes have been read.

    Explanation
    ===========

    After a pause of the process, or a long turn of its loop, all timers that
    were due in it fire before anything is read that arrived in it. What such a
    timer takes for the silence of an upstream or a peer was the host's own. So
    a timer that ends something on silence asks here first, waits for the
    result, and then judges by what has been heard until then. It asks once for
    each timer: a loop that is always late still comes to a judgement.

    Parameters
    ==========

    now : float
        Present time on the clock, in seconds.
    due : float
        Time for which the timer was set.

    Returns
    =======

    float
        0 if the timer fired in time.

    Examples
    ========

    >>> from pollenstile.ops.lateness import READ_SECONDS, reading_time
    >>> reading_time(5.002, 5.0)
    0.0
    >>> reading_time(7.0, 5.0) == READ_SECONDS
    True
    """
    return READ_SECONDS if now - due > LATE_SECONDS else 0.0
