"""Batched releases of results at the upstreams that hold them."""

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import guarded

_LOOP = 'releases of results'
# Seconds for which releases are gathered into one call.
_GATHER_SECONDS = 0.02


class Releases:
    """Results to release, until their upstreams confirm it.

    Parameters
    ==========

    clock : IReactorTime
        Schedules the batched calls.
    free : function
        Takes an address and handles; returns a Deferred of success.
    on_freed : function
        Takes an address and handles that the upstream has released.
    seconds_asked : function
        Takes an address; returns the seconds for which it wants nothing sent.
    """

    __slots__ = (
        'clock',
        'free',
        'log',
        'on_freed',
        'seconds_asked',
        'waiting',
    )

    def __init__(self, clock, free, on_freed, seconds_asked, log=silent_log):
        self.clock = clock
        self.free = free
        self.log = log
        self.on_freed = on_freed
        self.seconds_asked = seconds_asked
        self.waiting = {}

    def add(self, handles):
        """Release results that were read or that will not be read."""
        for handle in handles:
            if not self.waiting:
                self.clock.callLater(_GATHER_SECONDS, self._flush)
            address = handle.partition('/')[0]
            self.waiting.setdefault(address, []).append(handle)

    def _flush(self):
        waiting = self.waiting
        self.waiting = {}
        release = guarded(self.log, _LOOP, self._release)
        for address, handles in waiting.items():
            release(address, handles)

    def _release(self, address, handles):
        seconds = self.seconds_asked(address)
        if seconds:
            wait = seconds + _GATHER_SECONDS
            self.clock.callLater(wait, self._release, address, handles)
            return
        freed = self.free(address, handles)
        freed.addCallback(self._handle_freed, address, handles)

    def _handle_freed(self, done, address, handles):
        # If memory counted as free before the upstream confirms the release, a
        # new call could overtake the release and be refused.
        if done:
            self.on_freed(address, handles)
