"""The store as one host reaches it, whose watches may be answered late."""

from twisted.internet.task import deferLater


class LateStore:
    """A store whose watches are answered late, while all else is on time.

    Explanation
    ===========

    A host in front of it is in contact with the store, but knows only what the
    store held some time ago.

    Parameters
    ==========

    reactor : IReactorTime
        Clock of the run.
    store : MemoryStore
        Answers all calls.

    Attributes
    ==========

    lag : float
        Seconds by which answers to watches are late.
    """

    def __init__(self, reactor, store):
        self.reactor = reactor
        self.store = store
        self.lag = 0.0

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def watched(self, kind, since, *rest, **options):
        """Return the answer of the store, after the lag."""
        outcome = await self.store.watched(kind, since, *rest, **options)
        await deferLater(self.reactor, self.lag)
        return outcome
