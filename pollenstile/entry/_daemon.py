"""Starts an entry host's listeners and shuts the host down gracefully."""

from dataclasses import replace

from twisted.internet.defer import Deferred, gatherResults, succeed
from twisted.internet.task import LoopingCall, deferLater

from pollenstile.entry import events
from pollenstile.entry._admin import AdminResource
from pollenstile.entry._frontend import CallerResource
from pollenstile.entry._grace import plan_grace
from pollenstile.entry._unread import refuse_unread
from pollenstile.ops.http import site_for
from pollenstile.ops.lateness import reading_time
from pollenstile.ops.timers import cancel_timer_after
from pollenstile.peer import tcp_listen
from pollenstile.peer.events import PEERS_OFF

_METRICS_PERIOD_SECONDS = 1.0
_MS = 1000
# Releases of idempotency keys are retried for this long at shutdown.
_CLAIMS_FLUSH_SECONDS = 2.0
# A lease that is not released within this time expires by itself.
_HANDOVER_SECONDS = 10.0
# Requests that a log line names at most.
_MAX_NAMED_REQUESTS = 50


class Daemon:
    """An entry host with its listeners.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Creates ports and timers.
    node : Node
        State of the host.
    settings : Settings
        Provides the addresses to listen on.
    fleet : Fleet or None
        Configuration, membership and peers.
    statsd : statsd.StatsClient or None
        Receives the metrics.
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
        """Open the ports, join the fleet and start to flush metrics."""
        self.caller_port = self._listen(
            self.settings.listen,
            CallerResource(self.node),
        )
        self.admin_port = self._listen(
            self.settings.admin,
            AdminResource(self.node, self.fleet),
        )
        flush = LoopingCall(self.node.metrics.flush, self.statsd)
        flush.clock = self.reactor
        flush.start(_METRICS_PERIOD_SECONDS, now=False)
        self.loops.append(flush)
        if self.fleet is not None:
            self._join_fleet()
        if self.node.placement is not None:
            self.node.placement.start()
        self.node.core.log(
            events.STARTED,
            listen=address_of(self.caller_port),
            admin=address_of(self.admin_port),
            domain=self.settings.domain,
        )

    def _join_fleet(self):
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
        """Shut down gracefully; return a Deferred that fires at the end.

        Explanation
        ===========

        The platform's load balancer notices with a delay that a host leaves.
        The host reports at once that it is not ready, keeps listening for the
        declared lame-duck time, refuses new requests, and finishes the work in
        flight: requests, claims, and answers that callers have not read yet.
        What can't be finished in the grace is ended before it is over, see
        :func:`~pollenstile.entry._grace.plan_grace`.
        """
        now = self.reactor.seconds()
        plan = plan_grace(now, self.settings.grace_seconds, self._lame_duck())
        self.node.leave(plan.tells_at)
        self.caller_port.factory.channels.closing = True
        self.node.core.log(events.LEAVING, in_flight=self.node.in_flight)
        if self.fleet is not None:
            self.fleet.leave()
        return Deferred.fromCoroutine(self._shut_down(plan))

    def _lame_duck(self):
        snapshot = self.node.in_force.snapshot
        return snapshot.manifest.policy.lame_duck_ms / _MS if snapshot else 0

    async def _shut_down(self, plan):
        handover = self._hand_over_leases(plan)
        await deferLater(self.reactor, self._seconds_until(plan.listens_until))
        await self.caller_port.stopListening()
        await self._finish_requests(plan.tells_at, begun=False)
        await self._finish_requests(plan.resets_at, begun=True)
        await gatherResults(
            [self._flush_claims(plan), self._drain_connections(plan), handover]
        )
        await self._close()
        self.node.core.log(events.STOPPED)

    def _seconds_until(self, moment):
        return max(0, moment - self.reactor.seconds())

    async def _finish_requests(self, until, *, begun):
        """Wait for the requests in flight, and end those that remain."""
        await self._idle_or_after(self._seconds_until(until))
        # Answers that arrived while the host itself stood still are read first.
        pause = reading_time(self.reactor.seconds(), until)
        if pause:
            await self._idle_or_after(pause)
        in_flight = self.node.in_flight
        if not in_flight:
            return
        self.node.core.log(
            events.GRACE_ENDED,
            level='warning',
            in_flight=in_flight,
            ended=self.node.end_requests(begun=begun),
        )

    def _idle_or_after(self, seconds):
        return self.node.when_idle().addTimeout(
            seconds,
            self.reactor,
            onTimeoutCancel=lambda *_: None,
        )

    def _hand_over_leases(self, plan):
        if self.node.placement is None:
            return succeed(None)
        leaving = Deferred.fromCoroutine(self.node.placement.leave())
        return leaving.addTimeout(
            min(_HANDOVER_SECONDS, self._seconds_until(plan.closes_at)),
            self.reactor,
            onTimeoutCancel=lambda *_: None,
        )

    async def _close(self):
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

    def _flush_claims(self, plan):
        if self.node.claims is None:
            return succeed(None)
        return self.node.claims.flush_records().addTimeout(
            min(_CLAIMS_FLUSH_SECONDS, self._seconds_until(plan.closes_at)),
            self.reactor,
            onTimeoutCancel=lambda *_: None,
        )

    def _drain_connections(self, plan):
        channels = self.caller_port.factory.channels
        refusing = self.reactor.callLater(
            self._seconds_until(plan.resets_at),
            refuse_unread,
            channels,
            self.node.core.log,
        )
        drained = channels.close_gracefully().addTimeout(
            self._seconds_until(plan.closes_at),
            self.reactor,
            onTimeoutCancel=self._abort_connections,
        )
        return cancel_timer_after(drained, refusing)

    def _abort_connections(self, *_):
        # A caller that no longer reads must not block the shutdown forever.
        channels = self.caller_port.factory.channels
        requests = sorted(
            channel.request for channel in channels.open if channel.request
        )
        self.node.core.log(
            events.CUT_OFF,
            level='warning',
            callers=channels.abort(),
            request=requests[-_MAX_NAMED_REQUESTS:],
        )


def address_of(port):
    """Return the address of a listening port as ``IP:PORT``."""
    host = port.getHost()
    return f'{host.host}:{host.port}'
