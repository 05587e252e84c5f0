"""Daemon of a forwarding entry host: start, readiness and shutdown."""

from dataclasses import replace
from functools import partial

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater

from pollenstile.forward import events
from pollenstile.forward._assembly import build_parts, link_peers
from pollenstile.forward._departure import departure_of
from pollenstile.forward._enginespeeds import build_condition_sharing
from pollenstile.forward._frontend import CallerFactory
from pollenstile.forward._overload import ConnectionGate
from pollenstile.forward._gauges import TIMES, add_gauges
from pollenstile.forward._settings import update_seconds
from pollenstile.forward._shutdown import shut_down
from pollenstile.forward._start import StartProgress
from pollenstile.forward._storewatches import StoreWatches
from pollenstile.ops.logs import silent_log
from pollenstile.ops.measures import Measures, metrics_page
from pollenstile.ops.pages import PageFactory
from pollenstile.ops.settings import format_address
from pollenstile.peer import Beat, parse_keys, tcp_listen
from pollenstile.platform import EraStore, StoreEra
from pollenstile.tunnel.events import TUNNEL_LISTENING

# Time between checks whether another host now owns a queue of this one.
_REVIEW_PERIOD_SECONDS = 0.25
# Time between checks whether a starting host has the state it needs to join.
_JOIN_CHECK_SECONDS = 0.05
# Number of connections that may wait to be accepted; a burst of connections
# must not exceed it.
_BACKLOG = 512
_NOT_READY = 503
# The shared key, and one that hosts had drawn while the store lacked it.
_MAX_KEYS = 2


class ForwardDaemon:
    """One entry host.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Provides ports, connections and timers.
    settings : HostSettings
        Addresses and time bounds.
    store : Store
        Holds the configuration, the registry and the entries of hosts.
    adapter : object
        Provides ``names``, ``codec``, ``decode_table(value)`` and
        ``decode_upstream(name, value)``.
    rng : random.Random
        Source of jitter and random choices; seeded in tests.
    suspend_clock : function
        Returns seconds, including time spent suspended.
    log : function
        Writes events.
    """

    __slots__ = (
        'adapter',
        'condition_sharing',
        'factory',
        'leaving',
        'log',
        'measures',
        'parts',
        'ports',
        'reactor',
        'review',
        'rng',
        'settings',
        'start_progress',
        'store',
        'watches',
    )

    def __init__(
        self,
        reactor,
        settings,
        store,
        adapter,
        rng,
        suspend_clock,
        log=silent_log,
    ):
        self.reactor = reactor
        self.settings = settings
        self.store = store
        self.adapter = adapter
        self.rng = rng
        self.measures = Measures(log, TIMES)
        self.log = self.measures.write
        self.leaving = False
        self.ports = []
        self.review = LoopingCall(self._review)
        self.start_progress = StartProgress(reactor, self.log)
        self.parts = build_parts(
            reactor,
            settings,
            EraStore(store, StoreEra(self.log)),
            adapter,
            rng,
            suspend_clock,
            self.log,
        )
        self.parts.hub.beat = self._beat
        self.condition_sharing = build_condition_sharing(self.parts, self.log)
        self.watches = StoreWatches(
            self.parts,
            adapter.decode_upstream,
            reactor,
            rng,
            self.log,
        )
        self.factory = CallerFactory(
            self.parts.core,
            reactor,
            ConnectionGate(reactor, settings.descriptors, self.log),
        )

    def start(self):
        """Listen for callers, start reading the store and join the fleet."""
        settings = self.settings
        core = self.parts.core
        self.parts.stages.owner_wait.expect()
        core.registry.listeners.append(self._registry_changed)
        core.configuration.listeners.append(self._table_changed)
        core.configuration.loop.on_read = core.registry.note_read
        self.parts.members.listeners.append(self._hosts_changed)
        callers = self._listen(settings.callers, self.factory)
        ready = self._listen(
            settings.ready, PageFactory(self._ready_page, self.reactor)
        )
        if settings.metrics is not None:
            add_gauges(self.measures, self.parts, self.factory)
            page = metrics_page(self.measures)
            self._listen(settings.metrics, PageFactory(page, self.reactor))
        self.log(
            events.FORWARD_STARTED,
            callers=format_address(_bound_address(callers)),
            ready=format_address(_bound_address(ready)),
            peers=format_address(settings.peers),
            domain=settings.domain,
            used_ms=self.start_progress.used_ms(),
        )
        self.review.clock = self.reactor
        self.review.start(_REVIEW_PERIOD_SECONDS, now=False)
        Deferred.fromCoroutine(core.configuration.loop.run())
        Deferred.fromCoroutine(self._join())
        self.watches.start(settings.drain_seconds)
        self.factory.gate.start()

    def is_ready(self):
        """Return whether the load balancer should send callers to this host."""
        core = self.parts.core
        ready = (
            not self.leaving
            and self._has_initial_state()
            and core.configuration.is_fresh()
        )
        if ready and self.start_progress.ready_at is None:
            self.start_progress.note_ready(core.configuration, core.registry)
        return ready

    def reload(self, settings):
        """Apply changed time bounds and retry budgets.

        Explanation
        ===========

        Changed addresses are applied only at the next start, as listening on
        another address would disconnect the callers.
        """
        self.settings = settings
        core = self.parts.core
        core.configuration.revoke_seconds = settings.revoke_seconds
        core.configuration.apply_seconds = settings.apply_seconds
        self.parts.relay.follower.update_validity_seconds = update_seconds(
            settings
        )
        core.budget.ratio = settings.repeat_ratio
        core.budget.slack = settings.repeat_slack
        core.budget.window = settings.repeat_window
        self.log(events.SETTINGS_TAKEN, revoke_s=settings.revoke_seconds)

    def stop(self):
        """Start to leave; return a Deferred that fires when all is stopped."""
        self.leaving = True
        self.parts.core.departure = departure_of(
            self.reactor.seconds(), self.settings.grace_seconds
        )
        self.parts.relay.source.leaving = True
        self.parts.core.rates.leave()
        self.parts.tunnels.leave()
        self.factory.leave()
        self.parts.hub.send_beats()
        self._review()
        self.log(events.FORWARD_LEAVING, in_flight=self.factory.in_flight)
        return Deferred.fromCoroutine(shut_down(self))

    def guard(self, step, action):
        """Call a function of a periodic step, whose failure is logged only."""
        try:
            action()
        except Exception as error:
            # An exception here must not end the periodic review or interrupt a
            # shutdown, which would cut off all requests in flight.
            self.log(
                events.FORWARD_CRASHED,
                level='error',
                step=step,
                error=repr(error),
            )

    async def _join(self):
        # A host without a registry has no workers. As the owner of a stage, it
        # would queue pieces that it can't run.
        while not self._has_initial_state():
            await deferLater(self.reactor, _JOIN_CHECK_SECONDS)
        self.parts.stages.owner_wait.note_state()
        if self.leaving:
            # Its entry would stay in the store after its end.
            return
        peer_key = self.parts.peer_key
        peer_key.on_change = partial(_set_key, self.parts)
        peer_key.on_change(await peer_key.read())
        if peer_key.was_over:
            self.parts.core.configuration.settle()
        hub = self.parts.hub
        port = tcp_listen(self.reactor, self.settings.peers, hub)
        self.ports.append(port)
        # With port 0 the system chooses a port, which is announced to peers.
        bound = _bound_address(port)
        address = format_address(self.settings.peers_seen or bound)
        hub.hello = replace(hub.hello, address=address)
        members = self.parts.members
        members.entry = replace(members.entry, address=address)
        self._listen_for_tunnels(address)
        hub.start()
        self._hosts_changed()
        self.parts.stages.owner_wait.note_joined()
        self.parts.relay.follower.start()
        self.start_progress.note_joined(format_address(bound), address)
        await members.register()

    def _listen_for_tunnels(self, peers_address):
        """Listen for peers; they reach this port like the one of the links."""
        if self.settings.tunnels is None:
            return
        tunnels = self.parts.tunnels
        port = tunnels.listen(*self.settings.tunnels)
        self.ports.append(port)
        host = peers_address.rpartition(':')[0]
        tunnels.address = f'{host}:{_bound_address(port)[1]}'
        self.log(TUNNEL_LISTENING, address=tunnels.address)

    def _has_initial_state(self):
        core = self.parts.core
        return core.configuration.table is not None and core.registry.known

    def _review(self):
        self.guard('review', self._run_review)

    def _run_review(self):
        owners = self.parts.owners.by_service
        self.parts.stages.review(owners, leaving=self.leaving)
        link_peers(self.parts)
        self.parts.record.expire()
        self.parts.core.origins.review()
        self.parts.software_record.review()
        self.parts.stream_record.review()
        self.parts.stream_handover.review()
        self.condition_sharing.review()
        self.start_progress.review(self.parts)
        upstreams = self.parts.core.registry.upstreams.values()
        self.parts.paths.forget({upstream.address for upstream in upstreams})
        self._forget_statements()

    def _forget_statements(self):
        core = self.parts.core
        if not core.permissions.knows_any():
            return
        views = core.registry.views.values()
        core.permissions.forget_old({view.incarnation for view in views})

    def _ready_page(self, request):
        """Return an empty body, and set the status for the load balancer."""
        if not self.is_ready():
            request.setResponseCode(_NOT_READY)
        return b''

    def _beat(self):
        return Beat(
            version=self.parts.core.configuration.version,
            leaving=self.leaving,
            quarantine=self.parts.core.quarantine.verdicts.digest(),
        )

    def _listen(self, address, factory):
        host, number = address
        port = self.reactor.listenTCP(number, factory, _BACKLOG, interface=host)
        self.ports.append(port)
        return port

    def _registry_changed(self):
        upstreams = self.parts.core.registry.upstreams.values()
        self.parts.stages.domains = {
            upstream.address: upstream.domain for upstream in upstreams
        }
        self.parts.owners.configure()

    def _table_changed(self, table):
        self._hosts_changed()
        self.parts.owners.configure()

    def _hosts_changed(self):
        parts = self.parts
        hosts = parts.members.hosts
        parts.core.budget.hosts = len(hosts) + 1
        parts.stages.ownership.update_hosts(hosts)
        parts.relay.readers.update_hosts(hosts)
        parts.origin_sharing.update_hosts()
        if parts.members.known:
            domains = {name: peer.domain for name, peer in hosts.items()}
            parts.core.cold.update_hosts(domains)
            parts.core.rates.update_hosts(domains)
        table = parts.core.configuration.table
        if table is None:
            return
        parts.stages.limits = {
            service.name: service.stage
            for service in table.services.values()
            if service.stage
        }
        link_peers(parts)


def _set_key(parts, key):
    """Set the key that hosts share; links with another one stay open."""
    hub = parts.hub
    hub.keys = (*parse_keys(key.decode()), *hub.keys)[:_MAX_KEYS]
    parts.core.quarantine.key = key


def _bound_address(port):
    """Return the address of a listening port, with the number in use."""
    bound = port.getHost()
    return bound.host, bound.port
