"""A store that some hosts can't reach for a time."""

from twisted.internet.defer import Deferred

from pollenstile.platform import (
    PAGE_LIMIT,
    POLL_SECONDS,
    InDoubt,
    NotApplied,
    Unavailable,
)

_PEER = 'cut off'


class PartitionedStore:
    """One host's way to a store.

    Parameters
    ==========

    store : Store
        Behind the way.
    is_cut : function
        Whether nothing passes now. A call that is answered while the way is
        cut never comes back.

    Examples
    ========

    >>> from twisted.internet.defer import Deferred
    >>> from twisted.internet.task import Clock
    >>> from pollenstile.standin.objectapi import MemoryStore
    >>> store = ReachedStore(MemoryStore(Clock()), lambda: True)
    >>> waiting = Deferred.fromCoroutine(store.get('config', 'manifest'))
    >>> waiting.addCallback(print).called
    Unavailable(step='get', peer='cut off', reason='refused', \
retry_after=None)
    True
    """

    __slots__ = ('is_cut', 'store')

    def __init__(self, store, is_cut):
        self.store = store
        self.is_cut = is_cut

    def is_answering(self):
        """Return that no answer is half in: they come whole."""
        return False

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""
        if self.is_cut():
            return Unavailable('get', _PEER, 'refused')
        return await self._back(await self.store.get(kind, name))

    async def put(self, kind, name, value, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        if self.is_cut():
            return NotApplied('put', _PEER, 'refused')
        outcome = await self.store.put(kind, name, value, if_version)
        return InDoubt('put', _PEER, 'no answer') if self.is_cut() else outcome

    async def delete(self, kind, name, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        if self.is_cut():
            return NotApplied('delete', _PEER, 'refused')
        outcome = await self.store.delete(kind, name, if_version)
        if self.is_cut():
            return InDoubt('delete', _PEER, 'no answer')
        return outcome

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``."""
        if self.is_cut():
            return Unavailable('list', _PEER, 'refused')
        listing = await self.store.listed(kind, prefix, after, limit)
        return await self._back(listing)

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return ``Changes``, ``Compacted`` or ``Unavailable``."""
        if self.is_cut():
            return Unavailable('watch', _PEER, 'refused')
        changes = await self.store.watched(kind, since, prefix, timeout)
        return await self._back(changes)

    async def _back(self, outcome):
        if self.is_cut():
            await Deferred()
        return outcome
