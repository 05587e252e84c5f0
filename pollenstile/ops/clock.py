"""Monotonic clock that also counts suspended time."""

import time


def boot_clock():
    """Return seconds since boot, including time spent suspended.

    Explanation
    ===========

    The usual monotonic clock stops while a host is suspended. After the host
    resumes, its lease would look valid long after a successor took over.
    ``CLOCK_BOOTTIME`` advances during suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_clock(reactor, clock=boot_clock):
    """Make a reactor's timers use the boot clock.

    Explanation
    ===========

    By default the reactor uses the time of day. When that jumps forward by
    seconds, every deadline of a request in flight passes at once, and valid
    requests are answered 504. When it jumps back, no timer fires for as long:
    no timeout, no heartbeat and no read of the configuration, until keys can
    no longer be trusted. The boot clock never jumps, and a deadline that
    passed while the host was suspended has passed when it resumes.

    Parameters
    ==========

    reactor : ReactorBase
        A reactor without timers yet.
    clock : function
        Returns seconds; replaced in tests.
    """
    reactor.seconds = clock
