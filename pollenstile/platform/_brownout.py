"""Exponential backoff of the calls to a failing object store.

Explanation
===========

Backoff begins after ``FAILURE_THRESHOLD`` consecutive failures. From then on
each class of calls waits for a time drawn uniformly between zero and a bound
that doubles with each further failure (full jitter). After that wait only a
few calls of the class may be in flight. This keeps a fleet of hosts from
overloading a recovering store with all the calls that were held back.

References
==========

M. Brooker, Exponential Backoff And Jitter, 2015.
"""

from dataclasses import dataclass

from pollenstile.platform._budget import CallClass

FAILURE_THRESHOLD = 3
_BASE_SECONDS = 0.1
_GROWTH_LIMIT = 16


@dataclass(slots=True, frozen=True)
class ClassBackoff:
    """Backoff parameters of one class of calls while the store fails.

    Parameters
    ==========

    cap : float
        Upper bound of the wait before the next attempt, in seconds.
    probes : int
        Maximum number of calls in flight.
    """

    cap: float
    probes: int


CLASS_BACKOFFS = {
    CallClass.CLAIMS: ClassBackoff(cap=2.0, probes=2),
    CallClass.LEASES: ClassBackoff(cap=4.0, probes=1),
    CallClass.CONFIG: ClassBackoff(cap=8.0, probes=1),
    CallClass.REST: ClassBackoff(cap=30.0, probes=1),
}


class Brownout:
    """Consecutive failures and the earliest next call of each class."""

    __slots__ = ('failures', 'in_flight', 'last_growth', 'not_before')

    def __init__(self):
        self.failures = 0
        self.last_growth = 0.0
        self.not_before = dict.fromkeys(CLASS_BACKOFFS, 0.0)
        self.in_flight = dict.fromkeys(CLASS_BACKOFFS, 0)


def seconds_blocked(state, call_class, now):
    """Return the seconds for which a class must not call, or 0.

    Examples
    ========

    >>> import random
    >>> state = Brownout()
    >>> for _ in range(FAILURE_THRESHOLD):
    ...     record_failure(state, 0.0, 0.0, random.Random(1))
    >>> seconds_blocked(state, CallClass.CLAIMS, 0.0) > 0
    True
    >>> record_answer(state)
    >>> seconds_blocked(state, CallClass.CLAIMS, 0.0)
    0.0
    """
    if state.failures < FAILURE_THRESHOLD:
        return 0.0
    blocked = state.not_before[call_class] - now
    if blocked > 0:
        return blocked
    if state.in_flight[call_class] >= CLASS_BACKOFFS[call_class].probes:
        return _BASE_SECONDS
    return 0.0


def record_failure(state, started, now, random):
    """Count a failure and draw the earliest next call of each class.

    Explanation
    ===========

    Calls that are in flight together fail together. Only one of them doubles
    the bound: a failed call that was sent before the last doubling is not
    counted.

    Parameters
    ==========

    started : float
        Time when the failed call was sent.
    random : random.Random
        Source of the jitter.

    Examples
    ========

    >>> import random
    >>> state = Brownout()
    >>> rng = random.Random(1)
    >>> for _ in range(20):
    ...     record_failure(state, started=0.0, now=2.0, random=rng)
    >>> state.failures == FAILURE_THRESHOLD
    True
    """
    if state.failures >= FAILURE_THRESHOLD and started < state.last_growth:
        return
    state.failures += 1
    state.last_growth = now
    growth = min(state.failures - FAILURE_THRESHOLD, _GROWTH_LIMIT)
    if growth < 0:
        return
    for call_class, backoff in CLASS_BACKOFFS.items():
        bound = min(backoff.cap, _BASE_SECONDS * 2**growth)
        state.not_before[call_class] = now + random.uniform(0, bound)


def record_answer(state):
    """Reset the failure count after an answer of the store."""
    state.failures = 0
