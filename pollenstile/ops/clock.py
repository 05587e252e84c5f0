"""Clocks that neither jump nor stand still."""

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


def use_boot_clock(reactor, clock=boot_clock):
    """Let a reactor's timers run by the boot clock.

    Explanation
    ===========

    The reactor measures by the time of day unless it is told otherwise. When
    that jumps forward by seconds, every deadline of a request in flight passes
    at once and sound requests are answered 504; when it jumps back, nothing
    that waits happens for as long: no timeout, no heartbeat, no read of the
    configuration, until keys can't be trusted any more. The boot clock never
    jumps, and a deadline that passed while the host was suspended has passed
    when it wakes.

    Parameters
    ==========

    reactor : ReactorBase
        Before its first timer is set.
    clock : function
        Returns seconds; another one under test.
    """
    reactor.seconds = clock
