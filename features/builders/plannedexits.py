"""Builders of upstreams that leave, and end with an answer or within one."""

from functools import partial

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, LoopingCall

from features.builders.endraces import FIRST, REST, LimitedUpstream
from features.builders.forwardhost import ForwardHost, request
from features.builders.loop import run_reactor_until
from features.builders.malformed import ROUTES, received_through
from features.builders.tunnels import TunnelStory
from pollenstile.forward import Registry, Upstream
from pollenstile.forward._pathassembly import connect_closes

WHOLE = FIRST + REST
_LOOK_SECONDS = 0.01
_MIDDLE_SECONDS = 0.5
_UPLOAD_BYTES = 200
# How an upstream ends.
ENDS = {
    'exits': {'exits': True, 'pause_seconds': _MIDDLE_SECONDS},
    'is killed': {'kill_seconds': _MIDDLE_SECONDS},
}


class LeavingStory:
    """A host, and an upstream that ends; its entry is removed afterwards.

    Parameters
    ==========

    end : str
        Key of :data:`ENDS`.
    states : bool
        Whether its entry says before that it leaves.
    removal : float or None
        Seconds from its end until its entry is removed; None if it stays.
    leave_seconds : float
        Time for which upstreams serve on that leave.
    is_store_disturbed : bool
        Whether the store fails while the upstream leaves.
    path : str
        ``'directly'`` or ``'through a peer'``.
    """

    def __init__(
        self,
        end,
        *,
        states=True,
        removal=0,
        leave_seconds=0.0,
        is_store_disturbed=False,
        path='directly',
    ):
        self.upstream = LimitedUpstream(**ENDS[end])
        self.removal = removal
        self.host = ForwardHost(upstreams=0)
        core = self.host.factory.core
        self.registry = core.registry
        self.registry.exits.leave_seconds = leave_seconds
        connect_closes(core)
        self.closes = core.client.closes
        self._apply(leaving=False)
        self.tunnel = TunnelStory(self.upstream.address)
        if path != 'directly':
            core.client.paths = self.tunnel.client.paths
            self.tunnel.server.closes = self.closes
        self.states = states
        self.is_store_disturbed = is_store_disturbed
        self.is_leaving = False
        self.looks = LoopingCall(self._look)

    def received(self, route):
        """Return what the caller of a route gets."""
        self._begin()
        return received_through(self.host, route, body=bytes(_UPLOAD_BYTES))

    def received_by_two(self, route):
        """Return the bytes that two callers get at the same time."""
        self._begin()
        sent = request(b'/%s/x' % route, b'Connection: close\r\n')
        callers = [self.host.send(sent) for _ in range(2)]
        run_reactor_until(lambda: all(caller.closed for caller in callers))
        return [caller.received for caller in callers]

    def stop(self):
        """End all parts."""
        if self.looks.running:
            self.looks.stop()
        self.tunnel.stop()
        self.host.stop()
        self.upstream.stop()

    def _begin(self):
        self.looks.start(_LOOK_SECONDS, now=False)

    def _leave(self):
        self.is_leaving = True
        if self.is_store_disturbed:
            self.registry.store_failed_at = reactor.seconds() - 3
        if self.states:
            self._apply(leaving=True)

    def _look(self):
        # A witness stands by once an answer without a length has begun.
        if self.closes.witnesses and not self.is_leaving:
            self._leave()
        if self.upstream.process.poll() is None:
            return
        self.looks.stop()
        if self.removal is not None:
            reactor.callLater(self.removal, self.registry.apply, 'i', None)

    def _apply(self, *, leaving):
        entry = Upstream('i', 'desk', self.upstream.address, 'd', 100, leaving)
        self.registry.apply('i', entry)


def received_by_kind(end, **options):
    """Return what the caller of each kind of route gets, by kind."""
    results = {}
    for kind, route in ROUTES.items():
        story = LeavingStory(end, **options)
        results[kind] = story.received(route)
        story.stop()
    return results


def received_by_two(end):
    """Return what two callers at once get of each kind of route."""
    results = {}
    for kind, route in ROUTES.items():
        story = LeavingStory(end)
        results[kind] = story.received_by_two(route)
        story.stop()
    return results


class JudgedExit:
    """An upstream that leaves, in virtual time, and what becomes of its entry.

    Attributes
    ==========

    clock : Clock
        The time.
    registry : Registry
        Has the entry.
    ident : str
        Identifier of the upstream whose connection closes.
    removal : float
        Seconds from the close until the entry is removed.
    states_late : bool
        Whether the entry says only after the close that the upstream leaves.
    results : list of bool
        Whether the upstream counts as one that has left.
    """

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(100)
        self.registry = Registry(self.clock)
        self._apply(leaving=True)
        self.ident = 'i'
        self.removal = 0.3
        self.states_late = False
        self.results = []

    def close(self, sign):
        """Let the upstream close its last connection beside a sign."""
        _SIGNS[sign](self)
        self.clock.callLater(self.removal, self.remove)
        if self.states_late:
            self._apply(leaving=False)
        judged = self.registry.exits.has_left(
            self.registry.upstreams,
            '10.0.0.1:1',
            self.clock.seconds(),
            self.ident,
        )
        Deferred.fromCoroutine(judged).addCallback(self.results.append)
        if self.states_late:
            self._apply(leaving=True)

    def remove(self):
        """Remove the entry."""
        self.registry.apply('i', None)

    def _apply(self, *, leaving):
        entry = Upstream('i', 'desk', '10.0.0.1:1', 'd', leaving=leaving)
        self.registry.apply('i', entry)


def _removed_before(seconds, story):
    story.remove()
    story.clock.advance(seconds)


def _removed_after(seconds, story):
    story.removal = seconds


def _disturbed(story):
    story.registry.store_failed_at = story.clock.seconds() - 3


def _stated_late(story):
    story.states_late = True


def _serving(story):
    story.registry.exits.leave_seconds = 13.0


def _of_another(story):
    story.ident = 'j'


_SIGNS = {
    'its entry is removed 0.3 seconds later': partial(_removed_after, 0.3),
    'its entry was removed 0.2 seconds before': partial(_removed_before, 0.2),
    'its entry was removed 2 seconds before': partial(_removed_before, 2.0),
    'its entry is removed 2.4 seconds later': partial(_removed_after, 2.4),
    'its entry stays': partial(_removed_after, 60.0),
    'the store has failed 3 seconds before': _disturbed,
    'its entry says so since the close only': _stated_late,
    'it should serve for 10 more seconds': _serving,
    'its entry is that of another identifier': _of_another,
}
