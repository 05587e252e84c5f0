"""Cancellation of delayed calls, which may already be over."""


def cancel_timer(timer):
    """Cancel a delayed call, unless it has run or was cancelled before.

    Parameters
    ==========

    timer : IDelayedCall or None
        None if none was scheduled.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.ops.timers import cancel_timer
    >>> clock = Clock()
    >>> timer = clock.callLater(1, print, 'due')
    >>> cancel_timer(timer)
    >>> cancel_timer(timer)
    >>> cancel_timer(None)
    >>> clock.advance(2)
    """
    if timer is not None and timer.active():
        timer.cancel()


def cancel_timer_after(deferred, timer):
    """Cancel a delayed call once a Deferred has fired; return the Deferred."""
    return deferred.addBoth(_cancel_and_pass_on, timer)


def _cancel_and_pass_on(result, timer):
    cancel_timer(timer)
    return result
