"""Promised return times by the key of the stage work."""

from dataclasses import dataclass

from pollenstile.ops.logs import silent_log
from pollenstile.returns import events
from pollenstile.returns._slots import (
    SLOT_SECONDS,
    allocated_pieces,
    slot_middle,
    slot_of,
    slot_start,
)

# Seconds after its slot for which a returning caller is due.
_LATE_SECONDS = 1.0
# Share of its remaining time up to which a caller honours a return time.
_HONOURED_SHARE = 1 / 3
# Maximum number of promises that are kept in memory.
_MAX_PROMISES = 20_000


@dataclass(slots=True)
class Promise:
    """Return time of one refused caller.

    Attributes
    ==========

    request : str
        Latest refused attempt that was told the time.
    shares : list of PieceShare
        Pieces by slot, in order; the caller returns in the first of the slots.
    expires_at : float
        Clock time after which the caller is not due any more, in seconds.
    returned : str
        Attempt that was admitted because it was due; empty before.
    """

    request: str
    shares: list
    expires_at: float
    returned: str = ''

    @property
    def slot(self):
        """Number of the slot in which the caller returns."""
        return self.shares[0].slot


class ReturnTimes:
    """Return times that the owner of a stage queue has promised.

    Explanation
    ===========

    A promise holds no capacity: a caller that returns at its time is admitted
    before new ones, and the others are served if it does not return. The state
    is lost with the owner, and a returning caller then counts as new.

    Parameters
    ==========

    service : str
        Service whose queue refuses the callers.
    log : function
        Writes events.

    Attributes
    ==========

    promises : dict
        The :class:`Promise` of each caller, by key.
    pieces : dict
        Promised pieces by slot.
    expiring : dict
        Keys of the promises that expire in a slot, by slot.
    swept : int
        Slot before which all promises and slots were dropped.
    kept : int
        Callers that were admitted because they were due.

    Examples
    ========

    >>> from pollenstile.stagework import Group
    >>> returns = ReturnTimes('s')
    >>> refused = Group('a', 's', 0, 2, key='k', deadline=9.0)
    >>> round(returns.promise(refused, 0.0, 1.0, 40.0), 2)
    1.15
    >>> again = Group('b', 's', 0, 2, key='k', deadline=9.0)
    >>> returns.is_due(again, 0.9), returns.is_due(again, 1.15)
    (False, True)
    """

    __slots__ = (
        'expiring',
        'kept',
        'log',
        'pieces',
        'promises',
        'service',
        'swept',
    )

    def __init__(self, service, log=silent_log):
        self.service = service
        self.log = log
        self.promises = {}
        self.pieces = {}
        self.expiring = {}
        self.swept = 0
        self.kept = 0

    def promise(self, group, now, wait, rate):
        """Return the seconds after which a refused caller is to return.

        Explanation
        ===========

        A caller that is refused before its time keeps the time. The seconds end
        in the middle of the slot, so that rounding on the way to the caller
        does not let it return before the slot.

        Parameters
        ==========

        group : Group
            The refused group.
        now : float
            Seconds on the clock.
        wait : float
            Expected seconds of wait of the group's pieces.
        rate : float
            Pieces per second that the queue makes.

        Returns
        =======

        float or None
            None when no time is promised: the caller has no key, all slots are
            full that it would honour, or too many promises are open.
        """
        self._sweep(now)
        if not group.key:
            return None
        known = self.promises.get(group.key)
        if known is not None and now < slot_start(known.slot):
            known.request = group.request
            return slot_middle(known.slot) - now
        self._drop(group.key)
        if len(self.promises) >= _MAX_PROMISES:
            return None
        shares = self._shares(group, now, wait, rate)
        if not shares:
            return None
        self._add(group, shares)
        seconds = slot_middle(shares[0].slot) - now
        self.log(
            events.RETURN_PROMISED,
            request=group.request,
            service=self.service,
            step=group.step,
            seconds=round(seconds, 2),
            pieces=group.count,
            slot_pieces=round(self.pieces[shares[0].slot], 2),
        )
        return seconds

    def is_due(self, group, now):
        """Return whether a group's caller returns at its promised time.

        Explanation
        ===========

        A promise holds for all groups of the attempt that returns first, as a
        request may have several first steps, and for no other attempt.
        """
        known = self.promises.get(group.key)
        if known is None or not group.key:
            return False
        if known.returned not in {'', group.request}:
            return False
        return slot_start(known.slot) <= now <= known.expires_at

    def record_return(self, group):
        """Record that a group was admitted because its caller was due."""
        known = self.promises[group.key]
        if not known.returned:
            self.kept += 1
        known.returned = group.request

    def forget(self, group):
        """Drop the promise to a caller that is admitted without being due.

        Explanation
        ===========

        The promise stays when another group of the same attempt was refused
        with it.
        """
        known = self.promises.get(group.key)
        if known is None or group.request in {known.request, known.returned}:
            return
        self._drop(group.key)

    def count_open(self, now):
        """Return the number of promises whose callers may still return."""
        self._sweep(now)
        return sum(not known.returned for known in self.promises.values())

    def _shares(self, group, now, wait, rate):
        honoured = now + _HONOURED_SHARE * (group.deadline - now)
        last = slot_of(honoured - SLOT_SECONDS / 2)
        return allocated_pieces(
            self.pieces, slot_of(now + wait) + 1, last, group.count, rate
        )

    def _add(self, group, shares):
        late = slot_start(shares[0].slot + 1) + _LATE_SECONDS
        expires_at = min(late, group.deadline)
        self.promises[group.key] = Promise(group.request, shares, expires_at)
        for share in shares:
            promised = self.pieces.get(share.slot, 0.0)
            self.pieces[share.slot] = promised + share.pieces
        keys = self.expiring.setdefault(slot_of(expires_at), set())
        keys.add(group.key)

    def _drop(self, key):
        known = self.promises.pop(key, None)
        if known is None:
            return
        self.expiring[slot_of(known.expires_at)].discard(key)
        for share in known.shares:
            promised = self.pieces.get(share.slot)
            if promised is not None:
                self.pieces[share.slot] = promised - share.pieces

    def _sweep(self, now):
        """Drop expired promises and past slots, at most once per slot."""
        current = slot_of(now)
        if current <= self.swept:
            return
        self.swept = current
        for expired in _past(self.expiring, current):
            for key in tuple(self.expiring[expired]):
                self._drop(key)
            self.expiring.pop(expired)
        for past in _past(self.pieces, current):
            self.pieces.pop(past)


def _past(by_slot, current):
    return tuple(slot for slot in by_slot if slot < current)
