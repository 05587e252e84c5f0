"""Results of Deferreds in tests, with the reactor where sockets are used."""

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

# Far above what any scenario takes; it only ends one that would hang.
_HANG_SECONDS = 60.0
_TURN_SECONDS = 0.05


def result_of(waiting):
    """Return a Deferred's or coroutine's result, turning the reactor for it.

    Explanation
    ===========

    The reactor is never run, only iterated from here, so that each step of
    a scenario is a plain function and several scenarios share one process.

    Raises
    ======

    Exception
        What the Deferred failed with.
    AssertionError
        When nothing came in a time far above any scenario's.
    """
    if not isinstance(waiting, Deferred):
        waiting = Deferred.fromCoroutine(waiting)
    outcomes = []
    waiting.addBoth(outcomes.append)
    hung = reactor.callLater(
        _HANG_SECONDS,
        outcomes.append,
        Failure(AssertionError('no result')),
    )
    while not outcomes:
        _turn()
    if hung.active():
        hung.cancel()
    return _unwrapped(outcomes[0])


def run_reactor_until(condition):
    """Turn the reactor until a condition holds."""
    hung = reactor.callLater(_HANG_SECONDS, lambda: None)
    while not condition():
        assert hung.active(), 'the condition never held'
        _turn()
    hung.cancel()


def collect_result(waiting):
    """Return a list that a Deferred's or coroutine's result is added to."""
    outcomes = []
    if not isinstance(waiting, Deferred):
        waiting = Deferred.fromCoroutine(waiting)
    waiting.addBoth(outcomes.append)
    return outcomes


def advance_in_steps(clock, seconds, step=0.05):
    """Advance a virtual clock in small steps."""
    for _ in range(round(seconds / step)):
        clock.advance(step)


def _turn():
    """Turn once, no longer than until the next timer is due."""
    due = reactor.timeout()
    if due is None:
        due = _TURN_SECONDS
    reactor.iterate(min(due, _TURN_SECONDS))


def _unwrapped(outcome):
    if isinstance(outcome, Failure):
        outcome.raiseException()
    return outcome
