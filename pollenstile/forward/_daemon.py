"""An entry host that forwards: started, ready, stopped."""

from dataclasses import replace

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.resource import Resource
from twisted.web.server import Site

from pollenstile.forward import events
from pollenstile.forward._assembly import built_parts, link_peers
from pollenstile.forward._frontend import CallerFactory
from pollenstile.forward._gauges import TIMES, add_gauges
from pollenstile.forward._settings import word_seconds
from pollenstile.forward._storewatches import StoreWatches
from pollenstile.ops.http import disable_access_log
from pollenstile.ops.logs import silent_log
from pollenstile.ops.measures import Measures, MetricsResource
from pollenstile.ops.settings import format_address
from pollenstile.peer import Beat, parse_keys, tcp_listen

# Seconds for which a leaving host still takes requests: the balancer asks
# each second and needs two answers that it is not ready.
_LAME_DUCK = 2.3
# Seconds left of the grace time when the host stops, whatever is in flight.
_GRACE_MARGIN = 0.6
# Seconds between looks whether all is finished.
_IDLE_PERIOD = 0.05
# Seconds between looks whether another host owns a queue of this one now.
_REVIEW_PERIOD = 0.25
# Seconds for connections to take what was written to them.
_FLUSH = 0.3
# Seconds between looks whether a starting host knows enough to join.
_JOIN_PERIOD = 0.05
# Connections that wait to be accepted; a burst must not lose any.
_BACKLOG = 512
_NOT_READY = 503


class _Ready(Resource):
    """Answers whether the host takes requests."""

    isLeaf = True

    def __init__(self, daemon):
        super().__init__()
        self.daemon = daemon

    def render(self, request):
        """Answer; called by twisted."""
        if not self.daemon.is_ready():
            request.setResponseCode(_NOT_READY)
        return b''


class ForwardDaemon:
    """One entry host.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Makes ports, connections and timers.
    settings : HostSettings
        Where to listen.
    store : Store
        Configuration, registry and the hosts' own entries.
    adapter : object
        With ``names``, ``codec``, ``decode_table(value)`` and
        ``decode_upstream(name, value)``.
    rng : random.Random
        Seeded under test.
    suspend_clock : function
        Returns seconds, suspended time included.
    log : function
        Writes events.
    """

    __slots__ = (
        'adapter',
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
        'store',
        'was_ready',
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
        self.was_ready = False
        self.ports = []
        self.review = LoopingCall(self._review)
        self.parts = built_parts(
            reactor,
            settings,
            store,
            adapter,
            rng,
            suspend_clock,
            self.log,
        )
        self.parts.hub.beat = self._beat
        self.watches = StoreWatches(
            self.parts,
            adapter.decode_upstream,
            reactor,
            rng,
            self.log,
        )
        self.factory = CallerFactory(self.parts.core, reactor)

    def start(self):
        """Listen, read the store, join the fleet."""
        settings = self.settings
        core = self.parts.core
        core.registry.listeners.append(self._registry_changed)
        core.configuration.listeners.append(self._table_changed)
        core.configuration.loop.on_read = core.registry.note_read
        self.parts.members.listeners.append(self._hosts_changed)
        callers = self._listen(settings.callers, self.factory)
        ready = self._listen(
            settings.ready,
            disable_access_log(Site(_Ready(self), reactor=self.reactor)),
        )
        if settings.metrics is not None:
            add_gauges(self.measures, self.parts, self.factory)
            site = Site(MetricsResource(self.measures), reactor=self.reactor)
            self._listen(settings.metrics, disable_access_log(site))
        self.log(
            events.FORWARD_STARTED,
            callers=format_address(_bound(callers)),
            ready=format_address(_bound(ready)),
            peers=format_address(settings.peers),
            domain=settings.domain,
        )
        self.review.clock = self.reactor
        self.review.start(_REVIEW_PERIOD, now=False)
        Deferred.fromCoroutine(core.configuration.loop.run())
        Deferred.fromCoroutine(self._join())
        self.watches.start(settings.drain_seconds)

    def is_ready(self):
        """Return whether the balancer should send callers here."""
        core = self.parts.core
        ready = (
            not self.leaving
            and self._knows_enough()
            and core.configuration.is_fresh()
        )
        if ready and not self.was_ready:
            self.was_ready = True
            self.log(
                events.FORWARD_READY,
                version=core.configuration.table.version,
                upstreams=len(core.registry.upstreams),
            )
        return ready

    def reload(self, settings):
        """Take changed bounds.

        Explanation
        ===========

        Addresses stay as they are: a host that listened elsewhere would cut
        off its callers. They change with the next start.
        """
        self.settings = settings
        core = self.parts.core
        core.configuration.revoke_seconds = settings.revoke_seconds
        core.configuration.apply_seconds = settings.apply_seconds
        self.parts.relay.follower.word_seconds = word_seconds(settings)
        core.budget.ratio = settings.repeat_ratio
        core.budget.slack = settings.repeat_slack
        core.budget.window = settings.repeat_window
        self.log(events.SETTINGS_TAKEN, revoke_s=settings.revoke_seconds)

    def stop(self):
        """Leave: return a Deferred that fires when all is finished."""
        self.leaving = True
        self.parts.relay.source.leaving = True
        self.factory.leave()
        self.parts.hub.send_beats()
        self._review()
        self.log(events.FORWARD_LEAVING, in_flight=self.factory.in_flight)
        return Deferred.fromCoroutine(self._stopped())

    async def _stopped(self):
        began = self.reactor.seconds()
        latest = began + self.settings.grace_seconds - _GRACE_MARGIN
        # Nobody waits for this answer; the entry of a host that does not
        # answer is passed over anyway.
        Deferred.fromCoroutine(self.parts.members.leave())
        await deferLater(self.reactor, _LAME_DUCK)
        # Callers keep using open connections until they are closed; what
        # comes now could be cut off when the process is killed.
        self.factory.refusing = True
        self.factory.close_idle()
        while self._is_busy() and self.reactor.seconds() < latest:
            await deferLater(self.reactor, _IDLE_PERIOD)
        self.factory.close_idle()
        await deferLater(self.reactor, _FLUSH)
        self.parts.core.configuration.loop.running = False
        self.parts.relay.follower.stop()
        self.watches.stop()
        self.review.stop()
        self.parts.hub.stop()
        for port in self.ports:
            await port.stopListening()
        self.log(events.FORWARD_STOPPED, in_flight=self.factory.in_flight)

    def _is_busy(self):
        return self.factory.in_flight or self.parts.owners.is_busy()

    async def _join(self):
        # A host without a registry has no workers: as the owner of a stage it
        # would let pieces wait for nothing.
        while not self._knows_enough():
            await deferLater(self.reactor, _JOIN_PERIOD)
        key = await self.parts.members.peer_key()
        hub = self.parts.hub
        hub.keys = parse_keys(key.decode())
        self.parts.core.quarantine.key = key
        port = tcp_listen(self.reactor, self.settings.peers, hub)
        self.ports.append(port)
        # Port 0 lets the system choose; peers are told what it chose.
        bound = _bound(port)
        address = format_address(self.settings.peers_seen or bound)
        hub.hello = replace(hub.hello, address=address)
        members = self.parts.members
        members.entry = replace(members.entry, address=address)
        hub.start()
        self._hosts_changed()
        self.parts.relay.follower.start()
        self.log(
            events.FORWARD_JOINED, peers=format_address(bound), seen=address
        )
        await members.register()

    def _knows_enough(self):
        core = self.parts.core
        return core.configuration.table is not None and core.registry.known

    def _review(self):
        try:
            self._reviewed()
        except Exception as error:
            # A fault here must not end the looks, nor a shutdown halfway:
            # all that is in flight would be cut off.
            self.log(
                events.FORWARD_CRASHED,
                level='error',
                step='review',
                error=repr(error),
            )

    def _reviewed(self):
        owners = self.parts.owners.by_service
        self.parts.stages.review(owners, leaving=self.leaving)
        link_peers(self.parts)
        self.parts.record.expire()

    def _beat(self):
        table = self.parts.core.configuration.table
        version = table.version if table else 0
        return Beat(
            version=version,
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
            one.address: one.domain for one in upstreams
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
        if parts.members.known:
            domains = {name: one.domain for name, one in hosts.items()}
            parts.core.cold.update_hosts(domains)
        table = parts.core.configuration.table
        if table is None:
            return
        parts.stages.limits = {
            one.name: one.stage for one in table.services.values() if one.stage
        }
        link_peers(parts)


def _bound(port):
    """Return IP number and port; port 0 lets the system choose one."""
    bound = port.getHost()
    return bound.host, bound.port
