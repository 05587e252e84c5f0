"""An entry host that forwards: parts put together, started, stopped."""

import time
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.resource import Resource
from twisted.web.server import Site

from pollenstile.forward import events
from pollenstile.forward._budget import RepeatBudget
from pollenstile.forward._client import HttpClient
from pollenstile.forward._configuration import ConfigurationReader
from pollenstile.forward._core import ForwardCore
from pollenstile.forward._face import CallerFactory
from pollenstile.forward._members import HOSTS, Members
from pollenstile.forward._registry import Registry
from pollenstile.forward._stagecalls import StageCalls
from pollenstile.ops.logs import silent_log
from pollenstile.peer import (
    LEAST_VERSION,
    VERSION,
    Beat,
    Hello,
    Hub,
    keys_from,
    tcp_connect,
    tcp_listen,
)
from pollenstile.platform import WatchTiming, watch
from pollenstile.stagework import Owner, StageClient

_MS = 1000
UPSTREAMS = 'upstreams'
# Registry and hosts: a watch is answered within this time, so one that went
# silent is noticed soon enough to stop sending to an upstream that leaves
# (2 s after it said so).
_REGISTRY_TIMING = WatchTiming(
    poll=1.2,
    margin=0.5,
    rearm=0.05,
    list_every=20.0,
    list_within=1.5,
    backoff=0.15,
    backoff_cap=0.5,
)
_HOSTS_TIMING = WatchTiming(
    poll=10.0,
    margin=1.5,
    rearm=0.2,
    list_every=20.0,
    list_within=2.0,
    backoff=0.3,
    backoff_cap=2.0,
)
# Links to owners of stages: one that is frozen or cut off is noticed in about
# a second, half of what a request may take.
_LINK_TICK = 0.2
_LINK_BEAT = 0.35
_LINK_SILENCE = 1.2
# Seconds for which a leaving host still takes requests: the balancer asks
# each second and needs two answers that it is not ready.
_LAME_DUCK = 2.3
# Seconds left of the grace time when the host stops, whatever is in flight.
_GRACE_MARGIN = 0.6
# Seconds between looks whether another host owns a queue of this one now.
_REVIEW_PERIOD = 0.25
# Seconds for connections to take what was written to them.
_FLUSH = 0.3
_NOT_READY = 503
# Seconds between looks whether a starting host knows enough to join.
_JOIN_PERIOD = 0.05


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Where a host listens, and the bounds it keeps.

    Parameters
    ==========

    host, domain : str
        Names of host and failure domain.
    callers, ready, peers : tuple
        IP number and port: for callers, the balancer's question, and peers.
    ready_path : bytes
        Of the balancer's question.
    revoke_seconds : float
        Within this time a key that was taken away stops working.
    repeat_ratio, repeat_slack, repeat_window : float
        See :class:`RepeatBudget`.
    grace_seconds : float
        From the signal to stop until the process is killed.
    """

    host: str
    domain: str
    callers: tuple
    ready: tuple
    peers: tuple
    ready_path: bytes = b'/ready'
    revoke_seconds: float = 5.0
    repeat_ratio: float = 0.1
    repeat_slack: float = 10.0
    repeat_window: float = 10.0
    grace_seconds: float = 8.0


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
    """

    __slots__ = (
        'adapter',
        'calls',
        'configuration',
        'core',
        'factory',
        'hub',
        'leaving',
        'log',
        'members',
        'owners',
        'ports',
        'reactor',
        'registry',
        'rng',
        'settings',
        'stages',
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
        self.log = log
        self.leaving = False
        self.was_ready = False
        self.owners = {}
        self.ports = []
        self.watches = []
        self.registry = Registry(reactor, log)
        self.configuration = ConfigurationReader(
            store,
            reactor,
            suspend_clock,
            rng,
            adapter.decode_table,
            settings.revoke_seconds,
            log,
        )
        self.hub = self._built_hub()
        self.members = Members(
            store,
            reactor,
            settings.host,
            self.hub.hello.address,
            settings.domain,
            log,
        )
        self.stages = StageClient(
            settings.host,
            self.hub,
            reactor,
            self.owner,
            log,
        )
        client = HttpClient(reactor)
        self.calls = StageCalls(
            reactor,
            client,
            adapter.codec,
            adapter.names,
            log,
        )
        self.calls.on_misdirected = self.registry.drop
        self.core = ForwardCore(
            reactor,
            rng,
            settings.domain,
            client,
            self.registry,
            self.configuration,
            RepeatBudget(
                reactor,
                settings.repeat_ratio,
                settings.repeat_slack,
                settings.repeat_window,
            ),
            self.stages,
            adapter.names,
            log,
        )
        self.factory = CallerFactory(self.core, reactor, 60)

    def start(self):
        """Listen, read the store, join the fleet."""
        settings = self.settings
        self.registry.listeners.append(self._configure_owners)
        self.configuration.listeners.append(self._new_table)
        self.configuration.on_read = self._noted_read
        self.members.listeners.append(self._linked)
        self._listen(settings.callers, self.factory)
        ready = Site(_Ready(self), reactor=self.reactor)
        ready.log = _log_nothing
        self._listen(settings.ready, ready)
        self.ports.append(tcp_listen(self.reactor, settings.peers, self.hub))
        self.log(
            events.FORWARD_STARTED,
            callers=_shown(settings.callers),
            peers=_shown(settings.peers),
            domain=settings.domain,
        )
        review = LoopingCall(self._review)
        review.clock = self.reactor
        review.start(_REVIEW_PERIOD, now=False)
        _run(self.configuration.run())
        _run(self._join())
        registry = self._watch(
            UPSTREAMS,
            self._upstream_changed,
            _REGISTRY_TIMING,
        )
        registry.ready.addCallback(self._registry_known)
        self._watch(HOSTS, self.members.take, _HOSTS_TIMING)

    def is_ready(self):
        """Return whether the balancer should send callers here."""
        ready = (
            not self.leaving
            and self._knows_enough()
            and self.configuration.is_proven()
        )
        if ready and not self.was_ready:
            self.was_ready = True
            self.log(
                events.FORWARD_READY,
                version=self.configuration.table.version,
                upstreams=len(self.registry.upstreams),
            )
        return ready

    def _knows_enough(self):
        table = self.configuration.table
        return table is not None and self.registry.known

    def owner(self, service):
        """Return this host's queue of a stage service."""
        owner = self.owners.get(service)
        if owner is None:
            owner = Owner(
                self.reactor,
                service,
                self.calls.call,
                self.calls.release,
                self.core.budget.spend,
                self.log,
            )
            self.owners[service] = owner
            self._configure_owner(owner)
        return owner

    def stop(self):
        """Leave: return a Deferred that fires when all is finished."""
        self.leaving = True
        self.factory.leave()
        self.hub.beat_now()
        self._review()
        self.log(events.FORWARD_LEAVING, in_flight=self.factory.in_flight)
        return Deferred.fromCoroutine(self._stopped())

    def _review(self):
        self.stages.review(self.owners, leaving=self.leaving)

    async def _stopped(self):
        began = self.reactor.seconds()
        latest = began + self.settings.grace_seconds - _GRACE_MARGIN
        # Nobody waits for this answer; the entry of a host that does not
        # answer is passed over anyway.
        _run(self.members.leave())
        await deferLater(self.reactor, _LAME_DUCK)
        # Callers keep using open connections until they are closed; what
        # comes now could be cut off when the process is killed.
        self.factory.refusing = True
        self.factory.close_idle()
        while self._is_busy() and self.reactor.seconds() < latest:
            await deferLater(self.reactor, 0.05)
        self.factory.close_idle()
        await deferLater(self.reactor, _FLUSH)
        self.configuration.running = False
        for running in self.watches:
            running.stop()
        self.hub.stop()
        self.log(events.FORWARD_STOPPED, in_flight=self.factory.in_flight)

    def _is_busy(self):
        owned = any(owner.jobs for owner in self.owners.values())
        return self.factory.in_flight or owned

    async def _join(self):
        # A host without a registry has no workers: as the owner of a stage it
        # would let pieces wait for nothing.
        while not self._knows_enough():
            await deferLater(self.reactor, _JOIN_PERIOD)
        key = await self.members.peer_key()
        self.hub.keys = keys_from(key.decode())
        self.hub.start()
        self._linked()
        await self.members.register()

    def _built_hub(self):
        settings = self.settings
        hello = Hello(
            version=VERSION,
            least=LEAST_VERSION,
            host=settings.host,
            domain=settings.domain,
            address=_shown(settings.peers),
            boot=int(time.time() * _MS),
        )
        hub = Hub(
            self.reactor,
            self.rng,
            hello,
            (),
            tcp_connect(self.reactor),
            self.log,
        )
        hub.tick = _LINK_TICK
        hub.beat_period = _LINK_BEAT
        hub.silence_limit = _LINK_SILENCE
        hub.beat = self._beat
        return hub

    def _beat(self):
        table = self.configuration.table
        return Beat(version=table.version if table else 0, leaving=self.leaving)

    def _listen(self, address, factory):
        host, port = address
        self.ports.append(
            self.reactor.listenTCP(port, factory, 512, interface=host),
        )

    def _watch(self, kind, callback, timing):
        running = watch(
            self.store,
            kind,
            callback,
            self.reactor,
            self.rng,
            self.log,
            timing=timing,
        )
        self.watches.append(running)
        return running

    def _upstream_changed(self, change):
        upstream = None
        if change.value is not None:
            upstream = self.adapter.decode_upstream(change.name, change.value)
        self.registry.take(change.name, upstream)

    def _registry_known(self, running):
        self.registry.known = True
        self._configure_owners()
        return running

    def _noted_read(self, answered):
        if not answered:
            self.registry.store_failed_at = self.reactor.seconds()

    def _new_table(self, table):
        self._linked()
        self._configure_owners()

    def _linked(self):
        self.core.budget.hosts = len(self.members.hosts) + 1
        self.stages.hosts = self.members.hosts
        table = self.configuration.table
        if table is None:
            return
        self.stages.limits = {
            one.name: one.stage for one in table.services.values() if one.stage
        }
        self.stages.link_owners(self.stages.limits)

    def _configure_owners(self):
        self.stages.domains = {
            one.address: one.domain for one in self.registry.upstreams.values()
        }
        for owner in self.owners.values():
            self._configure_owner(owner)

    def _configure_owner(self, owner):
        table = self.configuration.table
        service = table.services.get(owner.service) if table else None
        if service is None or service.stage is None:
            return
        owner.configure(
            service.stage,
            self.registry.stage_upstreams(owner.service),
        )


def _shown(address):
    host, port = address
    return f'{host}:{port}'


def _log_nothing(request):
    """Write no access log: events take its place."""


def _run(coroutine):
    return Deferred.fromCoroutine(coroutine)
