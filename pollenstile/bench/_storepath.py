"""One host's way to a store, which can be refused or fall silent."""

from collections import Counter

from pollenstile.platform import NotApplied, Unavailable, paused

# Seconds after which a call that gets no answer is given up.
_SILENT_SECONDS = 2.5
# Seconds after which a host that the store serves again is in touch with it.
_CONTACT_SECONDS = 3.0
_STEP = 'call'
_PEER = 'store'


class StorePath:
    """One host's way to the store.

    Parameters
    ==========

    store : Store
        Behind the way.
    clock : IReactorTime
        Times what gets no answer.

    Attributes
    ==========

    refuses : bool
        Whether calls are refused at once.
    silent : bool
        Whether calls get no answer.
    back_at : float
        On the clock: when the store served this host again.
    calls : int
        That were made.
    kinds : Counter
        Calls by the kind of the objects.
    """

    __slots__ = (
        'back_at',
        'calls',
        'clock',
        'kinds',
        'refuses',
        'silent',
        'store',
    )

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.refuses = False
        self.silent = False
        self.back_at = -_CONTACT_SECONDS
        self.calls = 0
        self.kinds = Counter()

    def serve_again(self):
        """Let all calls pass from now on."""
        self.refuses = False
        self.silent = False
        self.back_at = self.clock.seconds()

    def is_in_touch(self):
        """Return whether the store has served this host for long enough."""
        served_for = self.clock.seconds() - self.back_at
        is_out = self.refuses or self.silent
        return not is_out and served_for >= _CONTACT_SECONDS

    def is_answering(self):
        """Return that no answer is half in: they come whole."""
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
        return self._called(self.store.listed, Unavailable, arguments)

    def watched(self, *arguments):
        """See :class:`~pollenstile.platform.Store`."""
        return self._called(self.store.watched, Unavailable, arguments)

    async def _called(self, call, failed, arguments, options=None):
        self.calls += 1
        self.kinds[arguments[0]] += 1
        if not self.refuses and not self.silent:
            outcome = await call(*arguments, **(options or {}))
            if not self.refuses and not self.silent:
                return outcome
        if self.silent:
            await paused(self.clock, _SILENT_SECONDS)
        return failed(_STEP, _PEER, 'refused')
