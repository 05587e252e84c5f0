"""When to call a store that keeps failing.

Explanation
===========

A few failures in a row are let pass. From then on no call of a class is sent
before a time drawn evenly from zero to a bound that doubles with each further
failure (full jitter), and then only a few at once. So a fleet of hosts does
not meet a store that comes back with all that was held up.

References
==========

M. Brooker, Exponential Backoff And Jitter, 2015.
"""

from dataclasses import dataclass

from pollenstile.platform._budget import CallClass

PATIENCE = 3
_BASE = 0.1
_GROWTH_LIMIT = 16


@dataclass(slots=True, frozen=True)
class ClassPace:
    """How a class calls a store that fails.

    Parameters
    ==========

    cap : float
        Most seconds between two tries.
    probes : int
        Calls that may be on their way at once.
    """

    cap: float
    probes: int


PACES = {
    CallClass.CLAIMS: ClassPace(cap=2.0, probes=2),
    CallClass.LEASES: ClassPace(cap=4.0, probes=1),
    CallClass.CONFIG: ClassPace(cap=8.0, probes=1),
    CallClass.REST: ClassPace(cap=30.0, probes=1),
}


class Brownout:
    """Failures in a row, and when each class may call again."""

    __slots__ = ('failures', 'in_flight', 'not_before', 'stepped')

    def __init__(self):
        self.failures = 0
        self.stepped = 0.0
        self.not_before = dict.fromkeys(PACES, 0.0)
        self.in_flight = dict.fromkeys(PACES, 0)


def seconds_blocked(state, call_class, now):
    """Return for how long a class must not call; 0 when it may.

    Examples
    ========

    >>> import random
    >>> state = Brownout()
    >>> for _ in range(PATIENCE):
    ...     call_failed(state, 0.0, 0.0, random.Random(1))
    >>> seconds_blocked(state, CallClass.CLAIMS, 0.0) > 0
    True
    >>> call_answered(state)
    >>> seconds_blocked(state, CallClass.CLAIMS, 0.0)
    0.0
    """
    if state.failures < PATIENCE:
        return 0.0
    blocked = state.not_before[call_class] - now
    if blocked > 0:
        return blocked
    if state.in_flight[call_class] >= PACES[call_class].probes:
        return _BASE
    return 0.0


def call_failed(state, started, now, random):
    """Count a failure and draw the times of the next tries.

    Explanation
    ===========

    Calls that were on their way together fail together. Only one of them
    doubles the bound: one that began after the last doubling.

    Parameters
    ==========

    started : float
        When the failed call was sent.
    random : random.Random
        Source of the jitter.

    Examples
    ========

    >>> import random
    >>> state = Brownout()
    >>> for _ in range(20):
    ...     call_failed(state, started=0.0, now=2.0, random=random.Random(1))
    >>> state.failures == PATIENCE
    True
    """
    if state.failures >= PATIENCE and started < state.stepped:
        return
    state.failures += 1
    state.stepped = now
    growth = min(state.failures - PATIENCE, _GROWTH_LIMIT)
    if growth < 0:
        return
    for call_class, pace in PACES.items():
        bound = min(pace.cap, _BASE * 2**growth)
        state.not_before[call_class] = now + random.uniform(0, bound)


def call_answered(state):
    """Forget the failures: the store has answered."""
    state.failures = 0
