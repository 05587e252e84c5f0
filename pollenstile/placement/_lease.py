"""Decisions about a lease: when to take, renew and wait.

Explanation
===========

A lease is one object of the object API, written only by conditional update,
never deleted. The fencing number of a holder is the version that the write
that took the lease got: versions rise with each write, so the number rises
with each holder, even over a deletion of the object by an operator.

The holder counts its term from before it sent the write. Others count from
after they saw the object change, which is later, and wait the margin on top,
which covers clocks of different rates. So no two hosts are within their
terms at one time, however long messages take.

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
    """Seconds of a lease.

    Parameters
    ==========

    term : float
        How long a written lease is valid.
    margin : float
        What a successor waits on top.
    renew : float
        Age at which the holder renews.
    """

    term: float = 10.0
    margin: float = 2.0
    renew: float = 3.0


@dataclass(slots=True, frozen=True)
class Take:
    """Write the lease as a new holder."""

    value: dict
    if_version: int


@dataclass(slots=True, frozen=True)
class Renew:
    """Write the lease again with the same fencing number."""

    value: dict
    if_version: int


@dataclass(slots=True, frozen=True)
class Pause:
    """Nothing to write for so many seconds."""

    seconds: float


class Lease:
    """What a host knows of one lease.

    Parameters
    ==========

    holder : str
        This process, unique over restarts.
    timing : LeaseTiming
        The same at all hosts, or nearly.

    Public state
    ============

    seen_version, seen_value, seen_at
        The object as it was last seen to change, and when; ``seen_at`` is
        ``None`` before the first look.
    fence : int
        Own fencing number, 0 when not the holder.
    until : float
        End of the own term on the clock that counts suspended time.
    writes : int
        Own writes, part of their marks.

    Examples
    ========

    >>> lease = Lease('erie-1', LeaseTiming(term=10, margin=2))
    >>> observe(lease, Absent('leases', 'erie'), now=0.0)
    >>> lease_move(lease, 5.0)
    Pause(seconds=7.0)
    >>> move = lease_move(lease, 12.0)
    >>> move.value['holder'], move.if_version
    ('erie-1', 0)
    >>> settle(lease, move, Written(7), sent_at=12.0)
    >>> lease.fence, is_held(lease, 21.9), is_held(lease, 22.0)
    (7, True, False)
    """

    __slots__ = (
        'fence',
        'holder',
        'seen_at',
        'seen_value',
        'seen_version',
        'timing',
        'until',
        'writes',
    )

    def __init__(self, holder, timing):
        self.holder = holder
        self.timing = timing
        self.seen_at = None
        self.seen_value = {}
        self.seen_version = None
        self.fence = 0
        self.until = 0.0
        self.writes = 0


def observe(lease, outcome, now):
    """Note what a read of the object showed.

    Parameters
    ==========

    outcome : Found, Absent or Unavailable
        Of a read that has ended.
    now : float
        When it ended; later than when the object was written.
    """
    if isinstance(outcome, Found):
        _note(lease, outcome.version, outcome.value, now)
    elif isinstance(outcome, Absent):
        # An absent lease counts as one that was just written: it may have
        # been deleted under a holder that still acts.
        _note(lease, 0, {}, now)


def is_held(lease, now):
    """Return whether this host may give orders at this instant."""
    return lease.fence > 0 and now < lease.until


def lease_move(lease, now):
    """Return ``Take``, ``Renew`` or ``Pause``."""
    if lease.seen_at is None:
        return Pause(0.0)
    if lease.fence:
        return _renewal(lease, now)
    wait = lease.seen_at + _successor_wait(lease) - now
    if wait > 0:
        return Pause(wait)
    return Take(_value(lease, 0), lease.seen_version)


def settle(lease, move, outcome, sent_at):
    """Note what became of a write.

    Parameters
    ==========

    move : Take or Renew
        What was written.
    outcome : object
        As of :func:`~pollenstile.platform.put_with_readback`.
    sent_at : float
        When the write was first sent.
    """
    if isinstance(outcome, Written):
        _note(lease, outcome.version, move.value, sent_at)
        if isinstance(move, Take):
            lease.fence = outcome.version
        # The write can have been on its way for long. Counted from its
        # answer, the term would end after a successor's wait.
        lease.until = max(lease.until, sent_at + lease.timing.term)
        return
    if isinstance(outcome, (Conflict, Superseded)):
        lose(lease)


def lose(lease):
    """Stop being the holder; the object has to be read again."""
    lease.fence = 0
    lease.until = 0.0


def _note(lease, version, value, now):
    if version == lease.seen_version:
        return
    lease.seen_version = version
    lease.seen_value = value
    lease.seen_at = now
    if lease.fence and value.get('holder') != lease.holder:
        lose(lease)


def _renewal(lease, now):
    wait = lease.until - lease.timing.term + lease.timing.renew - now
    if wait > 0:
        return Pause(wait)
    return Renew(_value(lease, lease.fence), lease.seen_version)


def _successor_wait(lease):
    if lease.seen_value.get('holder') == '':
        return 0.0
    term = lease.seen_value.get('term', lease.timing.term)
    return max(term, lease.timing.term) + lease.timing.margin


def _value(lease, fence):
    lease.writes += 1
    return {
        'holder': lease.holder,
        'fence': fence,
        'term': lease.timing.term,
        'mark': f'{lease.holder}/{lease.writes}',
    }
