"""The paths of a host to the upstreams, as its connections show them."""

from dataclasses import dataclass

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_step
from pollenstile.tunnel import events
from pollenstile.tunnel._messages import OpenResult

_LOOP = 'checks of paths'
# Time between two attempts to reach a lost upstream without a peer.
_RETRY_SECONDS = 1.0
# Time between two checks of an upstream that peers don't reach either, doubled
# up to the maximum: a service may be down for all hosts for long.
_MIN_CHECK_SECONDS = 1.0
_MAX_CHECK_SECONDS = 8.0
# Number of lost paths from which all others count as lost too, if no connection
# was opened to any upstream since the first.
_MIN_LOST_FOR_ALL = 2


@dataclass(slots=True)
class _LostPath:
    """A path that is lost, and when it was last tried."""

    since: float
    tried_at: float


@dataclass(slots=True)
class _Check:
    """The last check of an upstream by a peer."""

    next_at: float = 0.0
    pause: float = _MIN_CHECK_SECONDS


class Paths:
    """Knows which upstreams only peers reach.

    Explanation
    ===========

    A connection that fails doesn't tell whether the upstream is down or the
    path to it. So a peer is asked: if it reaches the upstream, the path of this
    host is lost. An upstream that is down or silent for all hosts is handled as
    before, and no load moves to other hosts.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    tunnels : Tunnels
        Asks the peers.
    try_direct : function
        Takes an address; opens a connection to it and closes it, which reports
        to :meth:`note_opened` if it succeeds.
    on_lost : function
        Called with an address whose path is found to be lost.
    log : function
        Writes events.

    Attributes
    ==========

    lost : dict
        The lost paths by address.
    opened_at : float
        Time at which a connection to an upstream was last opened directly.
    """

    __slots__ = (
        'checks',
        'clock',
        'log',
        'lost',
        'on_lost',
        'opened_at',
        'try_direct',
        'tunnels',
    )

    def __init__(self, clock, tunnels, try_direct, on_lost, log=silent_log):
        self.clock = clock
        self.tunnels = tunnels
        self.try_direct = try_direct
        self.on_lost = on_lost
        self.log = log
        self.lost = {}
        self.checks = {}
        self.opened_at = 0.0

    def is_lost(self, address):
        """Return whether to reach an upstream through a peer.

        Explanation
        ===========

        The path of an upstream in use is tried again each second, beside the
        requests that go through peers.
        """
        if address not in self.lost and not self._are_all_lost():
            return False
        now = self.clock.seconds()
        path = self.lost.get(address)
        if path is None:
            self._note_lost(address)
        elif now - path.tried_at >= _RETRY_SECONDS:
            path.tried_at = now
            self.try_direct(address)
        return True

    def note_opened(self, address):
        """Record a connection that was opened without a peer."""
        self.opened_at = self.clock.seconds()
        self.checks.pop(address, None)
        if self.lost.pop(address, None) is not None:
            self.log(events.PATH_REGAINED, address=address)

    def note_failed(self, address):
        """Record a connection that was not opened; ask a peer about it."""
        if address in self.lost or not self.has_peers():
            return
        check = self.checks.setdefault(address, _Check())
        now = self.clock.seconds()
        if now < check.next_at:
            return
        check.next_at = now + check.pause
        check.pause = min(_MAX_CHECK_SECONDS, 2 * check.pause)
        start_step(self.log, _LOOP, self._check(address, check))

    def has_peers(self):
        """Return whether there are peers to ask."""
        return bool(self.tunnels.hosts)

    async def second_opinion(self, address):
        """Return a peer's :class:`OpenResult` about a refused connection."""
        result = await self.tunnels.check(address)
        if result is OpenResult.OPENED and address not in self.lost:
            self._note_lost(address)
        return result

    def forget(self, addresses):
        """Forget all but the given addresses of upstreams."""
        for known in (self.lost, self.checks):
            for address in known.keys() - addresses:
                known.pop(address)

    async def _check(self, address, check):
        result = await self.tunnels.check(address)
        if result is not OpenResult.OPENED:
            self.log(events.PATH_CHECKED, address=address, result=result.value)
            return
        # A connection that was opened meanwhile removes the check.
        if address not in self.lost and self.checks.get(address) is check:
            self._note_lost(address)

    def _note_lost(self, address):
        now = self.clock.seconds()
        self.lost[address] = _LostPath(now, now)
        self.log(
            events.PATH_LOST,
            level='warning',
            address=address,
            lost=len(self.lost),
        )
        self.on_lost(address)

    def _are_all_lost(self):
        if len(self.lost) < _MIN_LOST_FOR_ALL:
            return False
        first = min(path.since for path in self.lost.values())
        return self.opened_at < first


class _DirectPaths:
    """Paths of a host without peers, which are never lost."""

    __slots__ = ()

    def is_lost(self, address):
        """Return False."""
        return False

    def note_opened(self, address):
        """Do nothing."""

    def note_failed(self, address):
        """Do nothing."""

    def has_peers(self):
        """Return False."""
        return False


DIRECT_PATHS = _DirectPaths()
