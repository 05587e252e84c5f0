"""Releases of results, gathered into few calls."""

# Seconds for which releases are gathered into one call.
_GATHER = 0.02


class Releases:
    """Results that are not needed any more, until their makers know.

    Parameters
    ==========

    clock : IReactorTime
        Gathers them.
    free : function
        Takes an address and handles; returns a Deferred of success.
    on_freed : function
        Takes an address and handles that their maker has released.
    """

    __slots__ = ('clock', 'free', 'on_freed', 'waiting')

    def __init__(self, clock, free, on_freed):
        self.clock = clock
        self.free = free
        self.on_freed = on_freed
        self.waiting = {}

    def add(self, handles):
        """Release results that were read, or that nobody will read."""
        for handle in handles:
            if not self.waiting:
                self.clock.callLater(_GATHER, self._flush)
            address = handle.partition('/')[0]
            self.waiting.setdefault(address, []).append(handle)

    def _flush(self):
        waiting = self.waiting
        self.waiting = {}
        for address, handles in waiting.items():
            freed = self.free(address, handles)
            freed.addCallback(self._freed, address, handles)

    def _freed(self, done, address, handles):
        # Counted as free before the maker has said so, the room would be
        # given to a call that can overtake the release on its way.
        if done:
            self.on_freed(address, handles)
