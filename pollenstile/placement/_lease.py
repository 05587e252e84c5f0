"""Lease state machine: decides when to acquire, renew and wait.

Explanation
===========

A lease is one object of the object API, which is written only by conditional
update and never deleted. The fencing number of a holder is the version that
the object got from the write that acquired the lease. Versions rise with each
write, so the number rises with each holder, even if an operator deletes the
object in between, or the store comes back from an older copy of itself.

The holder counts its term from before it sent the write. Other hosts count
from after they saw the object change, which is later, and wait for the margin
in addition, which covers clocks that run at different rates. So the terms of
two hosts never overlap, however long messages take.

References
==========

C. Gray, D. Cheriton, Leases: An Efficient Fault-Tolerant Mechanism for
Distributed File Cache Consistency, 1989.
"""

from dataclasses import dataclass

from pollenstile.platform import Absent, Conflict, Found, Superseded, Written

LEASES = 'leases'


@dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Durations of a lease in seconds.

    Parameters
    ==========

    term : float
        How long a written lease is valid.
    margin : float
        How much longer than the term a successor waits.
    renew_after : float
        Age at which the holder renews the lease.
    """

    term: float = 10.0
    margin: float = 2.0
    renew_after: float = 3.0


@dataclass(slots=True, frozen=True)
class Acquire:
    """Write the lease as a new holder."""

    value: dict
    if_version: int


@dataclass(slots=True, frozen=True)
class Renew:
    """Write the lease again with the same fencing number."""

    value: dict
    if_version: int


@dataclass(slots=True, frozen=True)
class Wait:
    """Write nothing for a number of seconds."""

    seconds: float


class Lease:
    """State of one lease as a host knows it.

    Parameters
    ==========

    holder : str
        Name of this process, unique across restarts.
    timing : LeaseTiming
        The same, or nearly the same, on all hosts.

    Public state
    ============

    seen_version, seen_value, seen_at
        Version and value of the object when it was last seen to change, and
        the time of that; ``seen_at`` is ``None`` before the first read.
    fence : int
        Fencing number of this host, 0 if it is not the holder.
    held_until : float
        End of this host's term on the clock that counts suspended time.
    write_count : int
        Number of writes by this host, which makes their marks unique.

    Examples
    ========

    >>> lease = Lease('erie-1', LeaseTiming(term=10, margin=2))
    >>> observe(lease, Absent('leases', 'erie'), now=0.0)
    >>> next_lease_action(lease, 5.0)
    Wait(seconds=7.0)
    >>> action = next_lease_action(lease, 12.0)
    >>> action.value['holder'], action.if_version
    ('erie-1', 0)
    >>> apply_write_outcome(lease, action, Written(7), sent_at=12.0)
    >>> lease.fence, is_held(lease, 21.9), is_held(lease, 22.0)
    (7, True, False)
    """

    __slots__ = (
        'fence',
        'held_until',
        'holder',
        'seen_at',
        'seen_value',
        'seen_version',
        'timing',
        'write_count',
    )

    def __init__(self, holder, timing):
        self.holder = holder
        self.timing = timing
        self.seen_at = None
        self.seen_value = {}
        self.seen_version = None
        self.fence = 0
        self.held_until = 0.0
        self.write_count = 0


def observe(lease, outcome, now):
    """Record the result of a read of the lease object.

    Parameters
    ==========

    outcome : Found, Absent or Unavailable
        Result of a completed read.
    now : float
        When the read completed, which is after the object was written.
    """
    if isinstance(outcome, Found):
        _record_version(lease, outcome.version, outcome.value, now)
    elif isinstance(outcome, Absent):
        # An absent lease is treated as just written, because it may have been
        # deleted while its holder still acts on it.
        _record_version(lease, outcome.version, {}, now)


def is_held(lease, now):
    """Return whether this host may send orders at this instant."""
    return lease.fence > 0 and now < lease.held_until


def next_lease_action(lease, now):
    """Return ``Acquire``, ``Renew`` or ``Wait``."""
    if lease.seen_at is None:
        return Wait(0.0)
    if lease.fence:
        return _next_renewal(lease, now)
    wait = lease.seen_at + _takeover_delay(lease) - now
    if wait > 0:
        return Wait(wait)
    return Acquire(_lease_value(lease, 0), lease.seen_version)


def apply_write_outcome(lease, action, outcome, sent_at):
    """Record the outcome of a write of the lease.

    Parameters
    ==========

    action : Acquire or Renew
        What was written.
    outcome : object
        As returned by :func:`~pollenstile.platform.put_with_readback`.
    sent_at : float
        When the write was first sent.
    """
    if isinstance(outcome, Written):
        _record_version(lease, outcome.version, action.value, sent_at)
        if isinstance(action, Acquire):
            lease.fence = outcome.version
        # The write may have been in transit for a long time. A term counted
        # from its answer could end after a successor's wait is over.
        lease.held_until = max(lease.held_until, sent_at + lease.timing.term)
        return
    if isinstance(outcome, (Conflict, Superseded)):
        mark_lost(lease)


def mark_lost(lease):
    """Stop being the holder; the object has to be read again."""
    lease.fence = 0
    lease.held_until = 0.0


def _record_version(lease, version, value, now):
    if version == lease.seen_version:
        return
    lease.seen_version = version
    lease.seen_value = value
    lease.seen_at = now
    if lease.fence and value.get('holder') != lease.holder:
        mark_lost(lease)


def _next_renewal(lease, now):
    wait = lease.held_until - lease.timing.term + lease.timing.renew_after - now
    if wait > 0:
        return Wait(wait)
    return Renew(_lease_value(lease, lease.fence), lease.seen_version)


def _takeover_delay(lease):
    if lease.seen_value.get('holder') == '':
        return 0.0
    term = lease.seen_value.get('term', lease.timing.term)
    return max(term, lease.timing.term) + lease.timing.margin


def _lease_value(lease, fence):
    lease.write_count += 1
    return {
        'holder': lease.holder,
        'fence': fence,
        'term': lease.timing.term,
        'mark': f'{lease.holder}/{lease.write_count}',
    }
