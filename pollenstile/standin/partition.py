"""Wrapper that simulates network partitions between a host and a store."""

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
    """Access of one host to a store, with network partitions.

    Parameters
    ==========

    store : Store
        Store behind the network.
    is_cut : function
        Returns whether the host is partitioned from the store now. Reads and
        watches that the store answers during a partition never complete;
        writes end in doubt.

    Examples
    ========

    >>> from twisted.internet.defer import Deferred
    >>> from twisted.internet.task import Clock
    >>> from pollenstile.standin.objectapi import MemoryStore
    >>> store = PartitionedStore(MemoryStore(Clock()), lambda: True)
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
        """Return False: answers are never received in parts."""
        return False

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""
        if self.is_cut():
            return Unavailable('get', _PEER, 'refused')
        return await self._return_if_connected(await self.store.get(kind, name))

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
        return await self._return_if_connected(listing)

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return ``Changes``, ``Compacted`` or ``Unavailable``."""
        if self.is_cut():
            return Unavailable('watch', _PEER, 'refused')
        changes = await self.store.watched(kind, since, prefix, timeout)
        return await self._return_if_connected(changes)

    async def _return_if_connected(self, outcome):
        if self.is_cut():
            await Deferred()
        return outcome
