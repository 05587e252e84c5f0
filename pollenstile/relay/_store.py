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
)

_STEP = 'watch'


class _Feed:
    """News of one kind that no watch has asked for yet."""

    __slots__ = ('changes', 'listing', 'revision', 'waiting')

    def __init__(self):
        self.changes = deque()
        self.listing = None
        self.revision = 0
        self.waiting = None

    def take(self, news):
        """Take what a reader told."""
        self.revision = news.revision
        if news.whole:
            self.changes.clear()
            found = tuple(
                Found(news.kind, one.name, one.version, one.value)
                for one in news.changes
            )
            self.listing = Listing(found, news.revision)
        else:
            self.changes.extend(news.changes)
        self.wake()

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
    """

    __slots__ = ('clock', 'feeds', 'follower', 'store')

    def __init__(self, store, clock, follower, kinds):
        self.store = store
        self.clock = clock
        self.follower = follower
        self.feeds = {kind: _Feed() for kind in kinds}
        for kind, feed in self.feeds.items():
            follower.feeds[kind] = feed.take
        follower.on_direct.append(self._wake)

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
        if feed is None or not self.follower.following:
            return await self.store.listed(kind, prefix, after, limit)
        if feed.listing is None:
            self.follower.forget(kind)
        while feed.listing is None:
            await self._news(feed)
            if not self.follower.following:
                return await self.store.listed(kind, prefix, after, limit)
        listing = feed.listing
        feed.listing = None
        return listing

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return changes from the reader's word, or wait for the store's."""
        feed = self.feeds.get(kind)
        if feed is None or not self.follower.following:
            return await self.store.watched(kind, since, prefix, timeout)
        if not (feed.listing or feed.changes):
            waiting = self._news(feed)
            waiting.addTimeout(
                timeout, self.clock, onTimeoutCancel=_nothing_new
            )
            await waiting
        if feed.listing is not None and feed.listing.revision <= since:
            # The reader knows less than this host has read itself.
            feed.listing = None
        if feed.listing is not None:
            return Compacted(feed.listing.revision)
        if not self.follower.following:
            return Unavailable(_STEP, 'reader', 'lost')
        changes = tuple(feed.changes)
        feed.changes.clear()
        return Changes(max(since, feed.revision), changes)

    def _news(self, feed):
        if feed.waiting is None:
            feed.waiting = Deferred(lambda _: None)
        return _branch(feed.waiting)

    def _wake(self):
        # What was told and not yet taken is dropped here, and told whole when
        # a reader is followed again: a watch that went on from the reader's
        # revision would never hear of it.
        for kind, feed in self.feeds.items():
            self.follower.forget(kind)
            feed.listing = None
            feed.changes.clear()
            feed.wake()


def _branch(deferred):
    """Return a Deferred that fires with another one and can be given up."""
    branch = Deferred()

    def fire(outcome):
        if not branch.called:
            branch.callback(None)
        return outcome

    deferred.addCallback(fire)
    return branch


def _nothing_new(*_):
    """Stand for a watch in whose time nothing has changed."""
