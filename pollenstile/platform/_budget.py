"""Token buckets that limit the rate of calls to the object API.

Explanation
===========

The object API counts each call; a pending watch counts as one. All calls of a
host draw on a common bucket. A class may draw from it only if its reserve
remains in the bucket afterwards, so the last tokens are left to the claims. To
keep a flood of claims from starving leases and configuration, each other class
also has a small bucket of its own. Its rate is deducted from the common rate.
"""

from dataclasses import dataclass
from enum import StrEnum


class CallClass(StrEnum):
    """Purposes of calls, in order of precedence."""

    CLAIMS = 'claims'
    LEASES = 'leases'
    CONFIG = 'config'
    REST = 'rest'


@dataclass(slots=True, frozen=True)
class ClassShare:
    """Limits of one class of calls within the budget.

    Parameters
    ==========

    reserve : float
        Share of the burst that the class leaves to those of higher precedence.
    floor : float
        Share of the rate that is guaranteed to the class.
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
_COMMON_SHARE = 1 - sum(share.floor for share in SHARES.values())


def class_of_kind(kind):
    """Return the class of calls for a kind of object.

    Examples
    ========

    >>> class_of_kind('claims'), class_of_kind('status')
    (<CallClass.CLAIMS: 'claims'>, <CallClass.REST: 'rest'>)
    """
    return _CLASSES.get(kind, CallClass.REST)


class Budget:
    """Token buckets of one host.

    Parameters
    ==========

    rate : float
        Calls per second of this host, over all classes.
    burst : float
        Calls that may be sent at once after an idle time; at least 5.
    now : float
        Current time in seconds, on the same clock as all later calls.

    Examples
    ========

    >>> budget = Budget(rate=10, burst=7, now=0.0)
    >>> [try_acquire(budget, CallClass.REST, 0.0) for _ in range(4)]
    [True, True, True, False]
    >>> [try_acquire(budget, CallClass.CLAIMS, 0.0) for _ in range(3)]
    [True, True, False]
    """

    __slots__ = (
        'common_burst',
        'common_tokens',
        'own_tokens',
        'rate',
        'refilled_at',
    )

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.refilled_at = now
        self.own_tokens = {
            call_class: 1.0
            for call_class, share in SHARES.items()
            if share.floor
        }
        self.common_burst = burst - len(self.own_tokens)
        self.common_tokens = self.common_burst


def try_acquire(budget, call_class, now):
    """Take one token for a class; return whether one was available."""
    _refill(budget, now)
    share = SHARES[call_class]
    if budget.common_tokens - 1 >= share.reserve * budget.common_burst:
        budget.common_tokens -= 1
        return True
    if budget.own_tokens.get(call_class, 0) >= 1:
        budget.own_tokens[call_class] -= 1
        return True
    return False


def seconds_until_available(budget, call_class):
    """Return the seconds until a class can draw if no other class does."""
    share = SHARES[call_class]
    missing = share.reserve * budget.common_burst + 1 - budget.common_tokens
    wait = missing / (budget.rate * _COMMON_SHARE)
    if share.floor:
        own = 1 - budget.own_tokens[call_class]
        wait = min(wait, own / (budget.rate * share.floor))
    return max(wait, 0.0)


def _refill(budget, now):
    gained = max(now - budget.refilled_at, 0.0) * budget.rate
    budget.refilled_at = max(now, budget.refilled_at)
    budget.common_tokens = min(
        budget.common_tokens + gained * _COMMON_SHARE, budget.common_burst
    )
    for call_class, own in budget.own_tokens.items():
        own += gained * SHARES[call_class].floor
        budget.own_tokens[call_class] = min(own, 1.0)
