"""Builders of placement: hosts, engines and a store on virtual clocks."""

from dataclasses import replace
from random import Random

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from pollenstile.entry import add_placement, build_node
from pollenstile.manifest import (
    Domain,
    Manifest,
    Model,
    Pipeline,
    Pool,
    Stage,
    Team,
    Upstream,
    text_from_manifest,
)
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.placement import (
    LEASES,
    DemandCounter,
    DemandExchange,
    Holding,
    Lease,
    LeaseManager,
    LeaseTiming,
    Placement,
    Placer,
    ServingIndex,
)
from pollenstile.platform import EraStore, StoreEra, paused
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.orders import Holdings, MemoryOrders
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    healthy_network,
)
from pollenstile.standin.weightstore import MemoryWeights

DOMAIN = 'erie-hall'
STEP = 0.25
_SIZE = 8


class HostStore:
    """One host's connection to the store, which can be cut."""

    __slots__ = ('cut', 'cut_on_lease_write', 'store', 'unreachable_store')

    def __init__(self, clock, store):
        self.store = store
        self.cut = False
        self.cut_on_lease_write = False
        self.unreachable_store = MemoryStore(clock)
        self.unreachable_store.down = True

    async def put(self, *arguments):
        """Write; the connection may be set to break after a lease write."""
        if self.cut:
            return await self.unreachable_store.put(*arguments)
        if self.cut_on_lease_write and arguments[0] == LEASES:
            self.store.lose_answers = 1
            self.cut = True
        return await self.store.put(*arguments)

    def __getattr__(self, name):
        """Return the method of the store, or of one that is unreachable."""
        return getattr(self.unreachable_store if self.cut else self.store, name)


class Host:
    """One entry host's placement; its clock stops while it is paused."""

    __slots__ = (
        'clock',
        'lease_manager',
        'log_lines',
        'paused',
        'pending_calls',
        'placement',
        'placer',
        'rate',
        'store',
        'suspended',
        'ticket_gate',
        'ticket_requests',
        'weights',
    )

    def __init__(self, world, name, timing):
        self.clock = Clock()
        self.rate = 1.0
        self.paused = False
        self.suspended = 0.0
        self.pending_calls = {}
        self.ticket_requests = 0
        self.log_lines = []
        self.ticket_gate = None
        self.weights = world.weights
        self.store = HostStore(world.clock, world.store)
        reached = EraStore(self.store, StoreEra())
        self.lease_manager = LeaseManager(
            Lease(name, timing),
            DOMAIN,
            reached,
            self.boot_seconds,
            self.log,
            lambda _attempt: paused(self.clock, 4.0),
        )
        self.placer = Placer(
            DOMAIN,
            self.lease_manager,
            reached,
            world.orders,
            self.ticket,
            self.clock,
            Random(1),
        )
        self.placer.manifest = world.manifest
        self.placement = Placement(
            self.placer,
            ServingIndex(self.log),
            DemandCounter(),
            DemandExchange(DOMAIN, name, reached, self.clock),
        )

    @property
    def fence(self):
        """Fencing number of the host, 0 if it is not the holder."""
        return self.lease_manager.lease.fence

    def boot_seconds(self):
        """Return seconds, including those during which it was paused."""
        return self.clock.seconds() + self.suspended

    def log(self, event, level='info', **fields):
        """Keep a log line."""
        self.log_lines.append((event.name, fields))

    def logged(self, name):
        """Return how often an event was logged."""
        return sum(line[0] == name for line in self.log_lines)

    def ticket(self, model, version):
        """Return the weight store's answer, delayed until the gate opens."""
        self.ticket_requests += 1
        answer = self.weights.ticket(model, version)
        if self.ticket_gate is None:
            return answer
        waiting = Deferred()
        self.ticket_gate.addCallback(_release, waiting)
        return waiting.addCallback(lambda _: answer)

    def count_calls(self, rates):
        """Count the calls of one step at these rates."""
        for model, rate in rates.items():
            self.pending_calls[model] = (
                self.pending_calls.get(model, 0) + rate * STEP
            )
            while self.pending_calls[model] >= 1:
                self.pending_calls[model] -= 1
                self.placement.demand.count(model)

    def advance(self, seconds):
        """Let time pass; the host's clock stops while it is paused."""
        if self.paused:
            self.suspended += seconds * self.rate
        else:
            self.clock.advance(seconds * self.rate)


def _release(outcome, waiting):
    waiting.callback(None)
    return outcome


class World:
    """Engines, hosts and the platform of one failure domain."""

    __slots__ = (
        'clock',
        'drain_times',
        'engines',
        'fences',
        'hosts',
        'manifest',
        'models',
        'orders',
        'overlaps',
        'rates',
        'served_at',
        'store',
        'timing',
        'weights',
    )

    def __init__(self, engines, models, fencing='ignored', memory=_SIZE):
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.store.objects.era = 0
        self.weights = MemoryWeights(self.clock, rate=1.0, burst=4)
        self.timing = LeaseTiming()
        self.models = models
        self.manifest = manifest_of(engines, models, fencing, memory)
        self.engines = {}
        for name in engines:
            self.engines[name] = Holdings(
                self.clock,
                name,
                dict.fromkeys(models, _SIZE),
                memory,
                checks=fencing == 'checked',
                load_seconds=5,
            )
        self.orders = MemoryOrders(self.clock, self.engines)
        self.hosts = {}
        self.overlaps = 0
        self.rates = {}
        self.served_at = {}
        self.drain_times = []
        self.fences = []

    def start_host(self, name):
        """Start a host and return it."""
        self.hosts[name] = Host(self, name, self.timing)
        self.hosts[name].placement.start()
        return self.hosts[name]

    def advance_until(self, condition):
        """Let time pass until a condition is true, at most 100 s."""
        for _ in range(round(100 / STEP)):
            if condition():
                return
            self.advance(STEP)
        assert condition(), 'the condition did not become true in 100 s'

    def holders(self):
        """Return the hosts that may send orders now."""
        return [
            name
            for name, each in self.hosts.items()
            if each.lease_manager.holds()
        ]

    def advance(self, seconds):
        """Let time pass for all, and record lease holders and drains."""
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            for host in self.hosts.values():
                host.advance(STEP)
                host.count_calls(self.rates)
            self._record_holders()
            self._record_drains()

    def serving(self, model):
        """Return the engines that hold a model and get new work for it."""
        # The host that started last is never cut off from the store.
        holds = tuple(self.hosts.values())[-1].placement.holds
        serving = []
        for name, engine in self.engines.items():
            if model in engine.models and holds(name, model):
                serving.append(name)
        return serving

    def loading(self):
        """Return how many engines load now."""
        return sum(bool(each.loading) for each in self.engines.values())

    def held_models(self, name):
        """Return the models and versions of an engine as a string."""
        models = sorted(self.engines[name].models.items())
        return ', '.join(f'{model}:{each.version}' for model, each in models)

    def accepted_orders(self, holder):
        """Return the orders of a host that engines accepted."""
        return [
            order
            for engine in self.engines.values()
            for order in engine.orders
            if order.ident.startswith(f'{holder}/')
        ]

    def _record_holders(self):
        holders = self.holders()
        self.overlaps += len(holders) > 1
        for name in holders:
            fence = self.hosts[name].fence
            if (fence, name) not in self.fences:
                self.fences.append((fence, name))

    def _record_drains(self):
        """Record for how long an engine got no work before an unload."""
        now = self.clock.seconds()
        for model in self.models:
            for name in self.serving(model):
                self.served_at[name, model] = now
        for served, last in tuple(self.served_at.items()):
            if served[1] not in self.engines[served[0]].models:
                self.drain_times.append(now - last)
                self.served_at.pop(served)


def routed_node(clock, manifest):
    """Return a node over virtual engines, and the engines."""
    engines = {}
    for name, upstream in manifest.pools['engines'].upstreams.items():
        times = Times(lambda: 0.05, lambda: 0.01)
        slots = upstream.slots
        engines[name] = VirtualUpstream(clock, name, 'engine', slots, times)
    network = healthy_network(clock, engines)
    environment = {'POLLENSTILE_HOST': 'a', 'POLLENSTILE_DOMAIN': DOMAIN}
    node = build_node(
        clock,
        Random(1),
        settings_from(None, ENTRY, environment),
        network.transport_from('a'),
    )
    store = MemoryStore(clock)
    orders = MemoryOrders(clock, {})
    add_placement(node, store, orders, succeed_at_once, clock.seconds)
    node.in_force.offer(1, text_from_manifest(_with_pipeline(manifest)), 'test')
    return node, engines


def _with_pipeline(manifest):
    """Return the manifest with a pipeline of one stage added."""
    stage = Stage('write', 'engines', model='draft', max_tokens=4)
    return replace(
        manifest,
        pipelines={'tickets': Pipeline(4000, ['dispatch'], [stage])},
        teams={'dispatch': Team(['0' * 64])},
    )


def manifest_of(engines, models, fencing='ignored', memory=_SIZE, version='1'):
    """Return a manifest with one pool of engines."""
    upstreams = {}
    for name in engines:
        upstreams[name] = Upstream(
            DOMAIN,
            f'127.0.0.1:{len(upstreams) + 1}',
            fencing=fencing,
            memory_mb=memory,
        )
    return Manifest(
        'test',
        {DOMAIN: Domain('lakes')},
        {'engines': Pool('engine', upstreams, list(models))},
        {},
        {},
        {model: Model(version, _SIZE) for model in models},
    )


def set_held_model(engine, model, version='1'):
    """Make a stand-in hold just this model."""
    engine.models = {model: Holding(version)}


def succeed_at_once():
    """Return a fired Deferred; replaces a guard that a scenario removes."""
    return succeed(True)
