"""Store client that answers lists and watches from a reader's updates."""

from collections import deque

from twisted.internet.defer import Deferred

from pollenstile.platform import (
    PAGE_LIMIT,
    POLL_SECONDS,
    Changes,
    Compacted,
    Found,
    Listing,
    Unavailable,
    fork_deferred,
    paused,
)

_WATCH_STEP = 'watch'
# Seconds after the start for which a host waits for an update of its reader
# before it watches the store itself. When 195 hosts started at once, each made
# eight watches for upstreams that started one after the other; a host that has
# just started has read them all.
_JOIN_TIMEOUT_SECONDS = 1.5
# Seconds between calls for one kind while the store answers no read of the
# configuration. These reads continue and detect when the store is back.
_AWAY_CALL_SECONDS = 4.0
# Seconds for which a call waits for the store to be back, and seconds between
# two checks.
_AWAY_WAIT_SECONDS = 1.5
_AWAY_CHECK_SECONDS = 0.1


class _Feed:
    """Objects and changes of one kind, as received from a reader.

    Attributes
    ==========

    objects : dict
        All objects by name; lists are answered from them. Requesting each list
        from the reader, one in 20 s per follower, took 2.6 kB a second at 950
        upstreams, and 108 kB a second for the reader's 42 followers.
    known : bool
        Whether the objects are complete.
    listed : bool
        Whether the watch has received the last full list.
    revision : int
        Store revision up to which the reader knows the kind.
    waiting : Deferred or None
        Fires at the next update.
    changes : deque of Change
        Changes that the watch has not received yet.
    last_call_at : float
        Time, on the clock, of the last call of the store for this kind.
    """

    __slots__ = (
        'changes',
        'known',
        'last_call_at',
        'listed',
        'objects',
        'revision',
        'waiting',
    )

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.last_call_at = -_AWAY_CALL_SECONDS
        self.waiting = None
        self.changes = deque()
        self.reset()

    def apply_update(self, update):
        """Apply a reader's update of this kind."""
        self.revision = update.revision
        if update.is_full:
            self.reset()
            self.known = True
            self.listed = False
        for change in update.changes:
            self._apply_change(change)
        if not update.is_full:
            self.changes.extend(update.changes)
        if update.is_full or update.changes:
            self.notify()

    def listing(self):
        """Return all objects and mark them as received by the watch."""
        self.listed = True
        self.changes.clear()
        return Listing(tuple(self.objects.values()), self.revision)

    def reset(self):
        """Drop all objects until the next full list."""
        self.known = False
        self.listed = True
        self.objects = {}
        self.changes.clear()

    def _apply_change(self, change):
        if change.value is None:
            self.objects.pop(change.name, None)
            return
        self.objects[change.name] = Found(
            change.kind, change.name, change.version, change.value
        )

    def notify(self):
        """Resume the list or watch that waits for an update."""
        waiting = self.waiting
        self.waiting = None
        if waiting is not None and not waiting.called:
            waiting.callback(None)


class RelayStore:
    """Answers lists and watches from a reader's updates while following one.

    Explanation
    ===========

    All other calls go to the store. While this host reads the store itself,
    lists and watches go there too; a watch then continues from the last
    revision received from the reader, so that it misses no change.

    Parameters
    ==========

    store : Store
        The platform's store.
    clock : IReactorTime
        Times the watches.
    follower : Follower
        Receives the updates of readers.
    kinds : tuple of str
        Kinds whose changes readers send.
    immediate_kind : str
        The kind that is needed to find a reader; it is watched from the start.
    deferred_kinds : tuple of str
        Kinds that a host can start without: their first list waits for a
        reader's update, so that a start makes no call of the store for them.

    Attributes
    ==========

    is_away : function
        Returns whether the store answers no read of the configuration.
    join_deadline : float
        Time, on the clock, until which this host waits for a reader after its
        start.
    """

    __slots__ = (
        'clock',
        'deferred_kinds',
        'feeds',
        'follower',
        'immediate_kind',
        'is_away',
        'join_deadline',
        'store',
    )

    def __init__(
        self,
        store,
        clock,
        follower,
        kinds,
        immediate_kind='',
        deferred_kinds=(),
    ):
        self.store = store
        self.clock = clock
        self.immediate_kind = immediate_kind
        self.deferred_kinds = deferred_kinds
        self.is_away = _never
        self.join_deadline = clock.seconds() + _JOIN_TIMEOUT_SECONDS
        self.follower = follower
        self.feeds = {kind: _Feed() for kind in kinds}
        for kind, feed in self.feeds.items():
            follower.kind_handlers[kind] = feed.apply_update
        follower.direct_listeners.append(self._reset_feeds)

    def is_joining(self):
        """Return whether this host still waits for a reader after its start."""
        return self.clock.seconds() < self.join_deadline

    def get(self, *args):
        """See :class:`~pollenstile.platform.Store`."""
        return self.store.get(*args)

    def put(self, *args, **options):
        """See :class:`~pollenstile.platform.Store`."""
        return self.store.put(*args, **options)

    def delete(self, *args):
        """See :class:`~pollenstile.platform.Store`."""
        return self.store.delete(*args)

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return all objects from the reader's updates, or a store page."""
        feed = self.feeds.get(kind)
        if kind in self.deferred_kinds and self._awaits_reader(kind):
            await self._update_or_join_deadline(feed)
        while self._is_relayed(feed):
            if feed.known:
                return feed.listing()
            self.follower.request_full(kind)
            await self._next_update(feed)
        if not await self._may_call(feed):
            return Unavailable('list', 'store', 'away')
        return await self.store.listed(kind, prefix, after, limit)

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return changes from the reader's updates, or watch the store."""
        feed = self.feeds.get(kind)
        if feed is not None and self._awaits_reader(kind):
            await self._update_or_join_deadline(feed)
        if not self._is_relayed(feed):
            if not await self._may_call(feed):
                return Unavailable(_WATCH_STEP, 'store', 'away')
            return await self.store.watched(kind, since, prefix, timeout)
        if feed.listed and not feed.changes:
            await self._update_within(feed, timeout)
        if feed.revision <= since:
            # This host has read a newer revision itself than the reader has.
            feed.listed = True
        if not feed.listed:
            return Compacted(feed.revision)
        if not self.follower.following:
            return Unavailable(_WATCH_STEP, 'reader', 'lost')
        changes = tuple(feed.changes)
        feed.changes.clear()
        return Changes(max(since, feed.revision), changes)

    def _is_relayed(self, feed):
        """Return whether calls for a kind are answered from a reader."""
        return feed is not None and self.follower.is_following()

    async def _may_call(self, feed):
        """Wait for the store; return whether it may be called.

        Explanation
        ===========

        Each call of the store is paid for. If an unavailable store refused
        calls at once, each host would repeat them for each kind. So the calls
        wait, while the reads of the configuration continue; once one of these
        reads is answered, all calls proceed.
        """
        if feed is None:
            return True
        deadline = self.clock.seconds() + _AWAY_WAIT_SECONDS
        while self._must_wait(feed):
            if self.clock.seconds() >= deadline:
                return False
            await paused(self.clock, _AWAY_CHECK_SECONDS)
        if self._is_relayed(feed):
            # A reader was found meanwhile; the caller repeats its call.
            return False
        feed.last_call_at = self.clock.seconds()
        return True

    def _must_wait(self, feed):
        if self.follower.return_wait.is_on():
            return True
        return self.is_away() and not self._is_call_due(feed)

    def _is_call_due(self, feed):
        return self.clock.seconds() - feed.last_call_at >= _AWAY_CALL_SECONDS

    def _awaits_reader(self, kind):
        waits = kind != self.immediate_kind and not self.follower.following
        return waits and self.is_joining()

    def _update_or_join_deadline(self, feed):
        """Return a Deferred of a reader's update or the join deadline."""
        return self._update_within(
            feed, self.join_deadline - self.clock.seconds()
        )

    def _update_within(self, feed, seconds):
        """Return a Deferred of a reader's update or a timeout."""
        return self._next_update(feed).addTimeout(
            seconds, self.clock, onTimeoutCancel=_ignore_timeout
        )

    def _next_update(self, feed):
        if feed.waiting is None:
            feed.waiting = Deferred(lambda _: None)
        return fork_deferred(feed.waiting)

    def _reset_feeds(self):
        # Changes that the watch has not received yet are dropped, and a full
        # list is requested when a reader is followed again: a watch that
        # continues from the reader's revision would never receive them.
        now = self.clock.seconds()
        for kind, feed in self.feeds.items():
            self.follower.request_full(kind)
            feed.reset()
            # Counts as a call, so that the configuration is read first: a store
            # that does not answer this read must not be called for each kind by
            # each host of a domain.
            feed.last_call_at = now
            feed.notify()


def _never():
    return False


def _ignore_timeout(*_):
    """Ignore the timeout of a wait during which nothing has changed."""
