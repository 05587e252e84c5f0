"""The daemon: listening, flushing, leaving."""

from dataclasses import replace

from twisted.internet.defer import Deferred, gatherResults, succeed
from twisted.internet.task import LoopingCall, deferLater

from pollenstile.entry import events
from pollenstile.entry._admin import AdminFace
from pollenstile.entry._face import CallerResource
from pollenstile.ops.http import site_for
from pollenstile.peer import tcp_listen
from pollenstile.peer.events import PEERS_OFF

_FLUSH_PERIOD = 1.0
_MS = 1000
# Releases of keys are tried for this long, and callers may take this long to
# read what is left of their answers.
_FLUSH_SECONDS = 2.0
# A lease that can't be given back runs out by itself.
_HAND_OVER_SECONDS = 10.0
_DRAIN_SECONDS = 30.0


class Daemon:
    """A host that listens.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Makes ports and timers.
    node : Node
        What is served.
    settings : Settings
        Where to listen.
    fleet : Fleet or None
        Configuration, membership and peers.
    statsd : statsd.StatsClient or None
        Where metrics go.
    """

    __slots__ = (
        'admin_port',
        'caller_port',
        'fleet',
        'loops',
        'node',
        'peer_port',
        'reactor',
        'settings',
        'statsd',
    )

    def __init__(self, reactor, node, settings, fleet=None, statsd=None):
        self.reactor = reactor
        self.node = node
        self.settings = settings
        self.fleet = fleet
        self.statsd = statsd
        self.loops = []
        self.caller_port = None
        self.admin_port = None
        self.peer_port = None

    def start(self):
        """Listen, join the fleet, flush metrics."""
        self.caller_port = self._listen(
            self.settings.listen,
            CallerResource(self.node),
        )
        self.admin_port = self._listen(
            self.settings.admin,
            AdminFace(self.node, self.fleet),
        )
        flush = LoopingCall(self.node.metrics.flush, self.statsd)
        flush.clock = self.reactor
        flush.start(_FLUSH_PERIOD, now=False)
        self.loops.append(flush)
        if self.fleet is not None:
            self._join()
        if self.node.placement is not None:
            self.node.placement.start()
        self.node.core.log(
            events.STARTED,
            listen=address_of(self.caller_port),
            admin=address_of(self.admin_port),
            domain=self.settings.domain,
        )

    def _join(self):
        hub = self.fleet.hub
        if hub.keys:
            address = self.settings.peer_listen
            self.peer_port = tcp_listen(self.reactor, address, hub)
            shown = address_of(self.peer_port)
            hub.hello = replace(hub.hello, address=shown)
        else:
            self.node.core.log(PEERS_OFF, level='warning')
        self.fleet.start()

    def _listen(self, address, resource):
        host, port = address
        site = site_for(resource, self.reactor)
        return self.reactor.listenTCP(port, site, interface=host)

    def stop(self):
        """Leave: return a Deferred that fires when all is finished.

        Explanation
        ===========

        The platform's balancer learns late that a host leaves. The host says
        at once that it is not ready, listens on for the declared lame-duck
        time, refuses what is new, and finishes what is in flight: requests,
        claims, and answers that their callers have not read yet.
        """
        self.node.leaving = True
        self.caller_port.factory.channels.closing = True
        self.node.core.log(events.LEAVING, in_flight=self.node.in_flight)
        if self.fleet is not None:
            self.fleet.leave()
        return Deferred.fromCoroutine(self._stopped())

    async def _stopped(self):
        snapshot = self.node.in_force.snapshot
        wait = snapshot.manifest.policy.lame_duck_ms / _MS if snapshot else 0
        handed_over = self._handed_over()
        await deferLater(self.reactor, wait)
        await self.caller_port.stopListening()
        await self.node.when_idle()
        await gatherResults([self._flushed(), self._drained(), handed_over])
        await self._closed()
        self.node.core.log(events.STOPPED)

    def _handed_over(self):
        if self.node.placement is None:
            return succeed(None)
        leaving = Deferred.fromCoroutine(self.node.placement.leave())
        return leaving.addTimeout(
            _HAND_OVER_SECONDS,
            self.reactor,
            onTimeoutCancel=lambda *_: None,
        )

    async def _closed(self):
        if self.node.placement is not None:
            self.node.placement.stop()
        for loop in self.loops:
            loop.stop()
        if self.fleet is not None:
            self.fleet.stop()
        if self.peer_port is not None:
            await self.peer_port.stopListening()
        await self.admin_port.stopListening()
        self.node.metrics.flush(self.statsd)

    def _flushed(self):
        if self.node.claims is None:
            return succeed(None)
        return self.node.claims.flush_records().addTimeout(
            _FLUSH_SECONDS,
            self.reactor,
            onTimeoutCancel=lambda *_: None,
        )

    def _drained(self):
        return self.caller_port.factory.channels.close_gracefully().addTimeout(
            _DRAIN_SECONDS,
            self.reactor,
            onTimeoutCancel=self._abort,
        )

    def _abort(self, *_):
        # A caller that reads nothing more can't keep the host for good.
        number = self.caller_port.factory.channels.abort()
        self.node.core.log(events.CUT_OFF, level='warning', callers=number)


def address_of(port):
    """Return ``IP:PORT`` of a listening port."""
    host = port.getHost()
    return f'{host.host}:{host.port}'
