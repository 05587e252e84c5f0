"""Helpers that run the reactor or a virtual clock in tests."""

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

# Ends a scenario that hangs; far above the duration of any scenario.
_HANG_TIMEOUT_SECONDS = 60.0
_MAX_ITERATION_SECONDS = 0.05


def result_of(awaitable):
    """Iterate the reactor until a result is available and return it.

    Explanation
    ===========

    The reactor is never run, only iterated here, so that each step of a
    scenario is a plain function and several scenarios share one process.

    Parameters
    ==========

    awaitable : Deferred or coroutine
        Source of the result.

    Raises
    ======

    Exception
        The exception that the Deferred failed with.
    AssertionError
        If there is no result within a time far above any scenario's.
    """
    if not isinstance(awaitable, Deferred):
        awaitable = Deferred.fromCoroutine(awaitable)
    outcomes = []
    awaitable.addBoth(outcomes.append)
    timeout = reactor.callLater(
        _HANG_TIMEOUT_SECONDS,
        outcomes.append,
        Failure(AssertionError('no result')),
    )
    while not outcomes:
        _iterate_reactor()
    if timeout.active():
        timeout.cancel()
    return _unwrap(outcomes[0])


def run_reactor_until(condition):
    """Iterate the reactor until a condition holds."""
    timeout = reactor.callLater(_HANG_TIMEOUT_SECONDS, lambda: None)
    while not condition():
        assert timeout.active(), 'the condition did not hold in time'
        _iterate_reactor()
    timeout.cancel()


def collect_result(awaitable):
    """Return a list to which the result is appended when it is available."""
    outcomes = []
    if not isinstance(awaitable, Deferred):
        awaitable = Deferred.fromCoroutine(awaitable)
    awaitable.addBoth(outcomes.append)
    return outcomes


def advance_in_steps(clock, seconds, step=0.05):
    """Advance a virtual clock in small steps."""
    for _ in range(round(seconds / step)):
        clock.advance(step)


def _iterate_reactor():
    """Iterate the reactor once, at most until the next timer is due."""
    delay = reactor.timeout()
    if delay is None:
        delay = _MAX_ITERATION_SECONDS
    reactor.iterate(min(delay, _MAX_ITERATION_SECONDS))


def _unwrap(outcome):
    if isinstance(outcome, Failure):
        outcome.raiseException()
    return outcome
