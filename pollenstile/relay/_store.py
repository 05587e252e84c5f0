"""The store as a host sees it that may follow another one."""

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

_STEP = 'watch'
# Seconds after the start within which a host waits for its reader's word before
# it watches the store itself. When 195 hosts started at once, each made eight
# watches of upstreams that came up one after the other; a host that has just
# started has read them all.
_JOIN_SECONDS = 1.5
# Seconds between calls for one kind while the store answers no read of the
# configuration; those reads go on and tell when it is back.
_AWAY_PERIOD = 4.0
# Seconds for which a call waits for that, and between two looks.
_AWAY_SECONDS = 1.5
_AWAY_LOOK = 0.1


class _Feed:
    """What a reader told of one kind.

    Attributes
    ==========

    objects : dict
        All that there are, by name; lists are answered from them. Asked of the
        reader, each follower's list in 20 s was 2.6 kB a second at 950
        upstreams, and the reader's 42 followers took 108.
    known : bool
        Whether they are all there.
    listed : bool
        Whether the watch has taken the last whole list.
    changes : deque of Change
        Those that it has not taken.
    called_at : float
        On the clock: the last call of the store for this kind.
    """

    __slots__ = (
        'called_at',
        'changes',
        'known',
        'listed',
        'objects',
        'revision',
        'waiting',
    )

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.called_at = -_AWAY_PERIOD
        self.waiting = None
        self.changes = deque()
        self.forget()

    def take(self, news):
        """Take what a reader told."""
        self.revision = news.revision
        if news.whole:
            self.forget()
            self.known = True
            self.listed = False
        for change in news.changes:
            self._apply(change)
        if not news.whole:
            self.changes.extend(news.changes)
        if news.whole or news.changes:
            self.wake()

    def listing(self):
        """Return all objects; the watch has them from now on."""
        self.listed = True
        self.changes.clear()
        return Listing(tuple(self.objects.values()), self.revision)

    def forget(self):
        """Know nothing, until a whole list comes."""
        self.known = False
        self.listed = True
        self.objects = {}
        self.changes.clear()

    def _apply(self, change):
        if change.value is None:
            self.objects.pop(change.name, None)
            return
        self.objects[change.name] = Found(
            change.kind, change.name, change.version, change.value
        )

    def wake(self):
        """Let who waits for news look."""
        waiting = self.waiting
        self.waiting = None
        if waiting is not None and not waiting.called:
            waiting.callback(None)


class RelayStore:
    """Answers lists and watches from a reader's word while one is followed.

    Explanation
    ===========

    All else goes to the store, and lists and watches too while this host
    reads for itself; a watch then goes on from the revision that it was told
    last, so it misses nothing.

    Parameters
    ==========

    store : Store
        The platform's.
    clock : IReactorTime
        Times the watches.
    follower : Follower
        Takes readers' word.
    kinds : tuple of str
        Those that readers tell.
    early : str
        The kind that leads to a reader, and is watched from the start.
    late : tuple of str
        Kinds that a host can begin without: their first list waits for a
        reader's word, and a start makes no call of the store for them.

    Attributes
    ==========

    is_away : function
        Returns whether the store answers no read of the configuration.
    """

    __slots__ = (
        'clock',
        'immediate_kind',
        'feeds',
        'follower',
        'is_away',
        'joins_by',
        'deferred_kinds',
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
        self.joins_by = clock.seconds() + _JOIN_SECONDS
        self.follower = follower
        self.feeds = {kind: _Feed() for kind in kinds}
        for kind, feed in self.feeds.items():
            follower.feeds[kind] = feed.take
        follower.direct_listeners.append(self._wake)

    def is_joining(self):
        """Return whether this host may soon have a reader to follow."""
        return self.clock.seconds() < self.joins_by

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
        """Return all objects from the reader's word, or a page of the store."""
        feed = self.feeds.get(kind)
        if kind in self.deferred_kinds and self._awaits_reader(kind):
            await self._news_by_join(feed)
        while self._is_told(feed):
            if feed.known:
                return feed.listing()
            self.follower.forget(kind)
            await self._news(feed)
        if not await self._may_call(feed):
            return Unavailable('list', 'store', 'away')
        return await self.store.listed(kind, prefix, after, limit)

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return changes from the reader's word, or wait for the store's."""
        feed = self.feeds.get(kind)
        if feed is not None and self._awaits_reader(kind):
            await self._news_by_join(feed)
        if not self._is_told(feed):
            if not await self._may_call(feed):
                return Unavailable(_STEP, 'store', 'away')
            return await self.store.watched(kind, since, prefix, timeout)
        if feed.listed and not feed.changes:
            await self._news_within(feed, timeout)
        if feed.revision <= since:
            # The reader knows less than this host has read itself.
            feed.listed = True
        if not feed.listed:
            return Compacted(feed.revision)
        if not self.follower.following:
            return Unavailable(_STEP, 'reader', 'lost')
        changes = tuple(feed.changes)
        feed.changes.clear()
        return Changes(max(since, feed.revision), changes)

    def _is_told(self, feed):
        """Return whether a reader's word answers for a kind."""
        return feed is not None and self.follower.is_following()

    async def _may_call(self, feed):
        """Return whether the store is called now, or is away.

        Explanation
        ===========

        A store that refuses all calls at once would be called by each host for
        each kind over and over, and each call is paid for. The reads of the
        configuration go on, and the first that is answered lets all calls go.
        """
        if feed is None:
            return True
        ends = self.clock.seconds() + _AWAY_SECONDS
        while self.is_away() and not self._is_due(feed):
            if self.clock.seconds() >= ends:
                return False
            await paused(self.clock, _AWAY_LOOK)
        feed.called_at = self.clock.seconds()
        return True

    def _is_due(self, feed):
        return self.clock.seconds() - feed.called_at >= _AWAY_PERIOD

    def _awaits_reader(self, kind):
        waits = kind != self.immediate_kind and not self.follower.following
        return waits and self.is_joining()

    def _news_by_join(self, feed):
        """Return a Deferred of a reader's news, or of the end of the start."""
        return self._news_within(feed, self.joins_by - self.clock.seconds())

    def _news_within(self, feed, seconds):
        """Return a Deferred of a reader's news, or of the end of a time."""
        return self._news(feed).addTimeout(
            seconds, self.clock, onTimeoutCancel=_nothing_new
        )

    def _news(self, feed):
        if feed.waiting is None:
            feed.waiting = Deferred(lambda _: None)
        return fork_deferred(feed.waiting)

    def _wake(self):
        # What was told and not yet taken is dropped here, and told whole when
        # a reader is followed again: a watch that went on from the reader's
        # revision would never hear of it.
        now = self.clock.seconds()
        for kind, feed in self.feeds.items():
            self.follower.forget(kind)
            feed.forget()
            # The read of the configuration goes first: a store that does not
            # answer it is not called for each kind by each host of a domain.
            feed.called_at = now
            feed.wake()


def _never():
    return False


def _nothing_new(*_):
    """Stand for a watch in whose time nothing has changed."""
