"""Budget of calls to the object API: a token bucket with classes.

Explanation
===========

The object API counts each call, a waiting watch as one. All calls of a host
draw on one bucket. A class may draw only while more than its reserve stays in
the bucket, so the last calls belong to the claims. So that a flood of claims
can't stop a lease or a configuration for good, each other class has a small
bucket of its own to fall back on; its rate is taken from the common rate.
"""

from dataclasses import dataclass
from enum import StrEnum


class CallClass(StrEnum):
    """What a call is for, in order of precedence."""

    CLAIMS = 'claims'
    LEASES = 'leases'
    CONFIG = 'config'
    REST = 'rest'


@dataclass(slots=True, frozen=True)
class ClassShare:
    """How a class draws on the budget.

    Parameters
    ==========

    reserve : float
        Share of the burst that the class leaves to those before it.
    floor : float
        Share of the rate that is its own.
    """

    reserve: float
    floor: float


SHARES = {
    CallClass.CLAIMS: ClassShare(reserve=0.0, floor=0.0),
    CallClass.LEASES: ClassShare(reserve=0.1, floor=0.05),
    CallClass.CONFIG: ClassShare(reserve=0.25, floor=0.05),
    CallClass.REST: ClassShare(reserve=0.5, floor=0.02),
}
_CLASSES = {str(call_class): call_class for call_class in CallClass}
_COMMON = 1 - sum(share.floor for share in SHARES.values())


def class_of_kind(kind):
    """Return the class of calls for a kind of object.

    Examples
    ========

    >>> class_of_kind('claims'), class_of_kind('status')
    (<CallClass.CLAIMS: 'claims'>, <CallClass.REST: 'rest'>)
    """
    return _CLASSES.get(kind, CallClass.REST)


class Budget:
    """State of the token buckets.

    Parameters
    ==========

    rate : float
        Calls a second of this host, all classes together.
    burst : float
        Calls that may go at once after a quiet time; at least 5.
    now : float
        Seconds on the clock of all later calls.

    Examples
    ========

    >>> budget = Budget(rate=10, burst=7, now=0.0)
    >>> [taken(budget, CallClass.REST, 0.0) for _ in range(4)]
    [True, True, True, False]
    >>> [taken(budget, CallClass.CLAIMS, 0.0) for _ in range(3)]
    [True, True, False]
    """

    __slots__ = ('common', 'filled', 'floors', 'rate', 'tokens')

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.filled = now
        self.floors = {
            call_class: 1.0
            for call_class, share in SHARES.items()
            if share.floor
        }
        self.common = burst - len(self.floors)
        self.tokens = self.common


def taken(budget, call_class, now):
    """Take one call from the budget; return whether there was one."""
    _refill(budget, now)
    share = SHARES[call_class]
    if budget.tokens - 1 >= share.reserve * budget.common:
        budget.tokens -= 1
        return True
    if budget.floors.get(call_class, 0) >= 1:
        budget.floors[call_class] -= 1
        return True
    return False


def seconds_to_next(budget, call_class):
    """Return after how many seconds the class can draw, if none else does."""
    share = SHARES[call_class]
    missing = share.reserve * budget.common + 1 - budget.tokens
    wait = missing / (budget.rate * _COMMON)
    if share.floor:
        own = 1 - budget.floors[call_class]
        wait = min(wait, own / (budget.rate * share.floor))
    return max(wait, 0.0)


def _refill(budget, now):
    gained = max(now - budget.filled, 0.0) * budget.rate
    budget.filled = max(now, budget.filled)
    budget.tokens = min(budget.tokens + gained * _COMMON, budget.common)
    for call_class, own in budget.floors.items():
        own += gained * SHARES[call_class].floor
        budget.floors[call_class] = min(own, 1.0)
