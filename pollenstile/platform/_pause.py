"""Delays between attempts, with exponential backoff and full jitter."""

from twisted.internet.defer import Deferred, succeed

_GROWTH_LIMIT = 16


def no_pause(attempt):
    """Return a Deferred that has already fired: no pause."""
    return succeed(attempt)


def make_pause(clock, random, base=0.05, cap=1.0):
    """Return a function that waits after a failed attempt, with full jitter.

    Parameters
    ==========

    clock : twisted.internet.interfaces.IReactorTime
        Clock of the pauses.
    random : random.Random
        Source of the jitter.
    base, cap : float
        Upper bounds, in seconds, of the first pause and of every pause.

    Returns
    =======

    function
        Takes the number of the attempt, from 0, and returns a Deferred.
    """

    def pause(attempt):
        bound = min(cap, base * 2 ** min(attempt, _GROWTH_LIMIT))
        return paused(clock, random.uniform(0, bound))

    return pause


def paused(clock, seconds):
    """Return a cancellable Deferred that fires after some seconds."""
    done = Deferred(lambda _: call.cancel())
    call = clock.callLater(seconds, done.callback, None)
    return done


def fork_deferred(deferred):
    """Return a Deferred that fires when another one does.

    Explanation
    ===========

    The returned Deferred can be cancelled or given a timeout without affecting
    the original one, which may have other waiters.
    """
    branch = Deferred()

    def fire(outcome):
        if not branch.called:
            branch.callback(None)
        return outcome

    deferred.addBoth(fire)
    return branch
