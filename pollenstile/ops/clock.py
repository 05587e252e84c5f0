"""A clock that counts the time in which the host was suspended."""

import time


def boot_clock():
    """Return seconds since the start of the host, suspended time included.

    Explanation
    ===========

    A host that is suspended and resumed sees no time pass on the usual
    monotonic clock. Its lease would look valid long after a successor took
    over. ``CLOCK_BOOTTIME`` goes on meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
