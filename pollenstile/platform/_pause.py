"""Pauses between tries."""

from twisted.internet.defer import Deferred, succeed

_GROWTH_LIMIT = 16


def no_pause(attempt):
    """Return at once: no pause after any attempt."""
    return succeed(attempt)


def make_pause(clock, random, base=0.05, cap=1.0):
    """Return a function that waits after a failed attempt, with full jitter.

    Parameters
    ==========

    clock : twisted.internet.interfaces.IReactorTime
        Measures the pauses.
    random : random.Random
        Source of the jitter.
    base, cap : float
        Seconds that bound the first pause, and every pause.

    Returns
    =======

    function
        Takes the attempt's number from 0 and returns a Deferred.
    """

    def pause(attempt):
        bound = min(cap, base * 2 ** min(attempt, _GROWTH_LIMIT))
        return paused(clock, random.uniform(0, bound))

    return pause


def paused(clock, seconds):
    """Return a Deferred that fires after some seconds; it can be cancelled."""
    done = Deferred(lambda _: call.cancel())
    call = clock.callLater(seconds, done.callback, None)
    return done


def fork_deferred(deferred):
    """Return a Deferred that fires with another one and can be given up.

    Explanation
    ===========

    Whoever waits for the branch may give it a time limit of its own; the other
    one goes on, for all else who wait for it.
    """
    branch = Deferred()

    def fire(outcome):
        if not branch.called:
            branch.callback(None)
        return outcome

    deferred.addBoth(fire)
    return branch
