"""Planned exits of upstreams, which the registry tells from crashes."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.ops.bounded import drop_oldest
from pollenstile.ops.logs import silent_log

# Seconds after its last close in which the entry of an upstream is removed that
# has left. A crash sends nothing: its entry is removed after three heartbeats
# of silence, two of which at least come after its close.
_LEFT_SECONDS = 1.0
# Seconds by which the removal may be known before the close is read.
_CROSSING_SECONDS = 1.0
# Seconds by which an entry may be known late.
_LATE_SECONDS = 1.0
# Seconds without a failure of the store after which no entry can be missing for
# a silence that has begun before the close.
_UNDISTURBED_SECONDS = 6.0
_MAX_LEAVING = 4096
_MAX_REMOVED = 256
_MS = 1000


@dataclass(slots=True, frozen=True)
class _Removal:
    """The removal of the entry of an upstream that leaves."""

    ident: str
    incarnation: str
    known_since: float
    at: float


class PlannedExits:
    """Tells whether an upstream has left in order as it closed a connection.

    Explanation
    ===========

    An upstream that leaves closes its connections as one that crashes does.
    What tells them apart is stated elsewhere: before a planned exit its entry
    says for some time that it leaves, and the entry is removed when it has
    left. An upstream that leaves may crash as well. So each of these must hold
    for an end in order: the entry has said so for long enough, the answer was
    the last one that this host had there, no other one has broken off at the
    same time, and the removal comes too soon after the close to be due to the
    silence of a crash.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time and timers.
    log : function
        Writes events.

    Attributes
    ==========

    leave_seconds : float
        Time for which an upstream serves on once it has said that it leaves.
    leaving_since : dict
        Time at which this host learned that an upstream leaves, by incarnation.
    removed : dict
        :class:`_Removal` of upstreams that were leaving, by address.
    waiting : dict
        Deferreds that fire when an entry is removed, by address.
    """

    __slots__ = (
        'clock',
        'leave_seconds',
        'leaving_since',
        'log',
        'removed',
        'waiting',
    )

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.log = log
        self.leave_seconds = 2.0
        self.leaving_since = {}
        self.removed = {}
        self.waiting = {}

    def note_entry(self, upstream):
        """Record an entry: whether its upstream leaves."""
        name = upstream.incarnation
        if not upstream.leaving:
            self.leaving_since.pop(name, None)
            return
        self.leaving_since.setdefault(name, self.clock.seconds())
        drop_oldest(self.leaving_since, _MAX_LEAVING)

    def note_removed(self, upstream, undisturbed_seconds):
        """Record that an entry was removed.

        Parameters
        ==========

        upstream : Upstream
            The last entry.
        undisturbed_seconds : float
            Time since the store has last failed.
        """
        since = self.leaving_since.pop(upstream.incarnation, None)
        if since is None or undisturbed_seconds < _UNDISTURBED_SECONDS:
            return
        address = upstream.address
        self.removed[address] = _Removal(
            upstream.ident, upstream.incarnation, since, self.clock.seconds()
        )
        drop_oldest(self.removed, _MAX_REMOVED)
        for waiter in self.waiting.pop(address, ()):
            waiter.callback(None)

    async def has_left(self, upstreams, address, closed_at, ident=''):
        """Return whether the process at an address has left as it closed.

        Parameters
        ==========

        upstreams : dict
            Upstreams of the registry, by identifier.
        address : str
            ``IP:PORT`` of the process.
        closed_at : float
            When its close was read.
        ident : str
            Its identifier; empty if that is not known.
        """
        if not self._may_have_left(upstreams, address, closed_at, ident):
            return False
        if not self._is_removed(address, closed_at, ident):
            await self._removal(address, closed_at)
        has_left = self._is_removed(address, closed_at, ident)
        self.log(
            events.EXIT_JUDGED,
            address=address,
            peer=ident,
            outcome='left' if has_left else 'not removed',
            waited_ms=int((self.clock.seconds() - closed_at) * _MS),
        )
        return has_left

    def _may_have_left(self, upstreams, address, closed_at, ident):
        """Return whether an entry has said for long enough that it leaves."""
        if self._is_removed(address, closed_at, ident):
            since = self.removed[address].known_since
            return self._is_due(since, closed_at)
        names = [
            upstream.incarnation
            for upstream in upstreams.values()
            if upstream.address == address and ident in {'', upstream.ident}
        ]
        since = self.leaving_since.get(names[0]) if len(names) == 1 else None
        return since is not None and self._is_due(since, closed_at)

    def _is_due(self, since, closed_at):
        return closed_at - since >= self.leave_seconds - _LATE_SECONDS

    def _is_removed(self, address, closed_at, ident):
        removal = self.removed.get(address)
        if removal is None or ident not in {'', removal.ident}:
            return False
        late = removal.at - closed_at
        return -_CROSSING_SECONDS <= late <= _LEFT_SECONDS

    def _removal(self, address, closed_at):
        """Return a Deferred that fires when an entry is removed, or late."""
        waiter = Deferred()
        self.waiting.setdefault(address, []).append(waiter)
        rest = closed_at + _LEFT_SECONDS - self.clock.seconds()
        waiter.addTimeout(max(0, rest), self.clock, onTimeoutCancel=_ignore)
        return waiter.addBoth(self._end_wait, address, waiter)

    def _end_wait(self, outcome, address, waiter):
        waiters = self.waiting.get(address, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self.waiting.pop(address, None)
        return outcome


def _ignore(*_):
    """Go on without the removal."""
