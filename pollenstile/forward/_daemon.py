"""Daemon of a forwarding entry host: start, readiness and shutdown."""

from functools import partial

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from pollenstile.forward import events
from pollenstile.forward._assembly import build_parts, link_peers
from pollenstile.forward._departure import departure_of
from pollenstile.forward._enginespeeds import build_condition_sharing
from pollenstile.forward._frontend import CallerFactory
from pollenstile.forward._joining import Joining, bound_address
from pollenstile.forward._overload import ConnectionGate
from pollenstile.forward._gauges import TIMES, add_gauges
from pollenstile.forward._settings import update_seconds
from pollenstile.forward._shutdown import shut_down
from pollenstile.forward._start import StartProgress
from pollenstile.forward._storewatches import StoreWatches
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_loop
from pollenstile.ops.measures import Measures, metrics_page
from pollenstile.ops.pages import PageFactory
from pollenstile.ops.settings import format_address
from pollenstile.ops.sources import running_code
from pollenstile.peer import Beat
from pollenstile.platform import EraStore, StoreEra

# Time between checks whether another host now owns a queue of this one.
_REVIEW_PERIOD_SECONDS = 0.25
# Number of connections that may wait to be accepted; a burst of connections
# must not exceed it.
_BACKLOG = 512
_NOT_READY = 503
_REVIEW = 'review'


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
        self.parts.members.listeners.append(self.hosts_changed)
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
            callers=format_address(bound_address(callers)),
            ready=format_address(bound_address(ready)),
            peers=format_address(settings.peers),
            domain=settings.domain,
            used_ms=self.start_progress.used_ms(),
            **running_code(__name__, type(self.adapter).__module__),
        )
        self.review.clock = self.reactor
        self.review.start(_REVIEW_PERIOD_SECONDS, now=False)
        read = core.configuration.loop.run
        start_loop(self.reactor, self.log, 'configuration reads', read)
        start_loop(self.reactor, self.log, 'join', Joining(self).join)
        self.watches.start(settings.drain_seconds)
        self.factory.gate.start()

    def is_ready(self):
        """Return whether the load balancer should send callers to this host."""
        core = self.parts.core
        ready = (
            not self.leaving
            and self.has_initial_state()
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

    def has_initial_state(self):
        """Return whether configuration and registry were read."""
        core = self.parts.core
        return core.configuration.table is not None and core.registry.known

    def _review(self):
        self.guard(_REVIEW, self._run_review)

    def _run_review(self):
        parts = self.parts
        for review in (
            self._review_stages,
            partial(link_peers, parts),
            parts.record.expire,
            parts.core.origins.review,
            parts.software_record.review,
            parts.stream_record.review,
            parts.stream_handover.review,
            self.condition_sharing.review,
            partial(self.start_progress.review, parts),
            self._forget_addresses,
            self._forget_statements,
        ):
            self.guard(_REVIEW, review)

    def _review_stages(self):
        owners = self.parts.owners.by_service
        self.parts.stages.review(owners, leaving=self.leaving)

    def _forget_addresses(self):
        upstreams = self.parts.core.registry.upstreams.values()
        self.parts.paths.forget({upstream.address for upstream in upstreams})

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
        self.hosts_changed()
        self.parts.owners.configure()

    def hosts_changed(self):
        """Tell the parts which hosts there are."""
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
