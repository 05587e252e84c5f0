"""Wrap a store so that the calls of one host can fail or stay unanswered."""

from collections import Counter

from twisted.internet.defer import Deferred, succeed

from pollenstile.platform import NotApplied, Unavailable, paused

# Seconds after which an unanswered call fails.
_SILENT_SECONDS = 2.5
# Seconds after the end of a fault until the host counts as in contact again.
_CONTACT_SECONDS = 3.0
_STEP = 'call'
_PEER = 'store'


class StorePath:
    """Connection of one host to the store, with injected faults.

    Parameters
    ==========

    store : Store
        The wrapped store.
    clock : IReactorTime
        Measures the timeout of unanswered calls.

    Attributes
    ==========

    refuses : bool
        Whether calls fail at once.
    silent : bool
        Whether calls stay unanswered until they time out.
    ended : bool
        Whether the process of the host has ended: it calls the store no more,
        and receives no answer. A write on its way is still applied.
    back_at : float
        Time on the clock at which the last fault ended.
    calls : int
        The number of calls.
    kinds : Counter
        The number of calls by kind of object.
    lists : Counter
        The number of full lists by kind of object.
    watch_delay : float
        Seconds by which answers to watches arrive late.
    """

    __slots__ = (
        'back_at',
        'calls',
        'clock',
        'ended',
        'kinds',
        'lists',
        'refuses',
        'silent',
        'store',
        'watch_delay',
    )

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.refuses = False
        self.silent = False
        self.ended = False
        self.back_at = -_CONTACT_SECONDS
        self.calls = 0
        self.kinds = Counter()
        self.lists = Counter()
        self.watch_delay = 0.0

    def end_faults(self):
        """End all faults."""
        self.refuses = False
        self.silent = False
        self.back_at = self.clock.seconds()

    def is_in_contact(self):
        """Return whether the host has had no fault for the contact time."""
        served_for = self.clock.seconds() - self.back_at
        is_out = self.refuses or self.silent
        return not is_out and served_for >= _CONTACT_SECONDS

    def is_answering(self):
        """Return False, as no answer is ever partly received."""
        return False

    def get(self, *arguments):
        """See :class:`~pollenstile.platform.Store`."""
        return self._called(self.store.get, Unavailable, arguments)

    def put(self, *arguments, **options):
        """See :class:`~pollenstile.platform.Store`."""
        return self._called(self.store.put, NotApplied, arguments, options)

    def delete(self, *arguments):
        """See :class:`~pollenstile.platform.Store`."""
        return self._called(self.store.delete, NotApplied, arguments)

    def listed(self, *arguments):
        """See :class:`~pollenstile.platform.Store`."""
        self.lists[arguments[0]] += 1
        return self._called(self.store.listed, Unavailable, arguments)

    async def watched(self, *arguments):
        """See :class:`~pollenstile.platform.Store`."""
        outcome = await self._called(self.store.watched, Unavailable, arguments)
        if self.watch_delay:
            await paused(self.clock, self.watch_delay)
        return outcome

    async def _called(self, call, failed, arguments, options=None):
        await self._unless_ended()
        self.calls += 1
        self.kinds[arguments[0]] += 1
        if not self.refuses and not self.silent:
            outcome = await call(*arguments, **(options or {}))
            await self._unless_ended()
            if not self.refuses and not self.silent:
                return outcome
        if self.silent:
            await paused(self.clock, _SILENT_SECONDS)
        return failed(_STEP, _PEER, 'refused')

    def _unless_ended(self):
        """Return a Deferred that never fires if the process has ended."""
        return Deferred() if self.ended else succeed(None)
