"""Builders of placement: hosts, engines, a store, on virtual clocks."""

from dataclasses import replace
from random import Random

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from pollenstile.entry import build_node, add_placement
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
    DemandCounter,
    DemandExchange,
    Holding,
    ServingIndex,
    LeaseManager,
    Lease,
    LeaseTiming,
    Placement,
    Placer,
    LEASES,
)
from pollenstile.platform import paused
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.orders import Holdings, MemoryOrders
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    calm_network,
)
from pollenstile.standin.weightstore import MemoryWeights

DOMAIN = 'erie-hall'
STEP = 0.25
_SIZE = 8


class HostStore:
    """One host's way to the store, which can be cut."""

    __slots__ = ('cut', 'cut_by_write', 'down_store', 'store')

    def __init__(self, clock, store):
        self.store = store
        self.cut = False
        self.cut_by_write = False
        self.down_store = MemoryStore(clock)
        self.down_store.down = True

    async def put(self, *arguments):
        """Write; the way may break at that."""
        if self.cut:
            return await self.down_store.put(*arguments)
        if self.cut_by_write and arguments[0] == LEASES:
            self.store.lose_answers = 1
            self.cut = True
        return await self.store.put(*arguments)

    def __getattr__(self, name):
        """Return the method of the store, or of one that is down."""
        return getattr(self.down_store if self.cut else self.store, name)


class Host:
    """One entry host's placement; its clock stops while it is paused."""

    __slots__ = (
        'asked',
        'clock',
        'due',
        'keeper',
        'lines',
        'paused',
        'placement',
        'placer',
        'rate',
        'store',
        'suspended',
        'ticket_gate',
        'weights',
    )

    def __init__(self, world, name, timing):
        self.clock = Clock()
        self.rate = 1.0
        self.paused = False
        self.suspended = 0.0
        self.due = {}
        self.asked = 0
        self.lines = []
        self.ticket_gate = None
        self.weights = world.weights
        self.store = HostStore(world.clock, world.store)
        self.keeper = LeaseManager(
            Lease(name, timing),
            DOMAIN,
            self.store,
            self.boot_seconds,
            self.log,
            lambda _attempt: paused(self.clock, 4.0),
        )
        self.placer = Placer(
            DOMAIN,
            self.keeper,
            self.store,
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
            DemandExchange(DOMAIN, name, self.store, self.clock),
        )

    @property
    def fence(self):
        """Its fencing number, 0 when it has none."""
        return self.keeper.lease.fence

    def boot_seconds(self):
        """Return seconds, those in which it was paused included."""
        return self.clock.seconds() + self.suspended

    def log(self, event, level='info', **fields):
        """Keep a line."""
        self.lines.append((event.name, fields))

    def logged(self, name):
        """Return how often an event was logged."""
        return sum(line[0] == name for line in self.lines)

    def ticket(self, model, version):
        """Return the weight store's answer, late while a gate is closed."""
        self.asked += 1
        answer = self.weights.ticket(model, version)
        if self.ticket_gate is None:
            return answer
        waiting = Deferred()
        self.ticket_gate.addCallback(_opened, waiting)
        return waiting.addCallback(lambda _: answer)

    def call(self, rates):
        """Count the calls of one step at these rates."""
        for model, rate in rates.items():
            self.due[model] = self.due.get(model, 0) + rate * STEP
            while self.due[model] >= 1:
                self.due[model] -= 1
                self.placement.demand.count(model)

    def advance(self, seconds):
        """Let time pass, seen or not."""
        if self.paused:
            self.suspended += seconds * self.rate
        else:
            self.clock.advance(seconds * self.rate)


def _opened(outcome, waiting):
    waiting.callback(None)
    return outcome


class World:
    """Engines, hosts and the platform of one failure domain."""

    __slots__ = (
        'clock',
        'engines',
        'fences',
        'gaps',
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
        self.gaps = []
        self.fences = []

    def host(self, name):
        """Return a host that has started."""
        self.hosts[name] = Host(self, name, self.timing)
        self.hosts[name].placement.start()
        return self.hosts[name]

    def until(self, condition):
        """Let time pass until a condition holds, at most 100 s."""
        for _ in range(round(100 / STEP)):
            if condition():
                return
            self.advance(STEP)
        assert condition(), 'the condition never held'

    def holders(self):
        """Return the hosts that may give orders now."""
        return [
            name for name, each in self.hosts.items() if each.keeper.holds()
        ]

    def advance(self, seconds):
        """Let time pass everywhere, and note holders."""
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            for host in self.hosts.values():
                host.advance(STEP)
                host.call(self.rates)
            self._note()
            self._note_work()

    def serving(self, model):
        """Return the engines that hold a model and get new work for it."""
        # The host that came last is never cut off from the store.
        holds = tuple(self.hosts.values())[-1].placement.holds
        serving = []
        for name, engine in self.engines.items():
            if model in engine.models and holds(name, model):
                serving.append(name)
        return serving

    def loading(self):
        """Return how many engines load now."""
        return sum(bool(each.loading) for each in self.engines.values())

    def held(self, name):
        """Return models and versions of an engine as one text."""
        models = sorted(self.engines[name].models.items())
        return ', '.join(f'{model}:{each.version}' for model, each in models)

    def orders_of(self, holder):
        """Return the orders of a host that engines took."""
        return [
            order
            for engine in self.engines.values()
            for order in engine.orders
            if order.ident.startswith(f'{holder}/')
        ]

    def _note(self):
        holders = self.holders()
        self.overlaps += len(holders) > 1
        for name in holders:
            fence = self.hosts[name].fence
            if (fence, name) not in self.fences:
                self.fences.append((fence, name))

    def _note_work(self):
        """Note how long an engine got no work before it lost a model."""
        now = self.clock.seconds()
        for model in self.models:
            for name in self.serving(model):
                self.served_at[name, model] = now
        for served, last in tuple(self.served_at.items()):
            if served[1] not in self.engines[served[0]].models:
                self.gaps.append(now - last)
                self.served_at.pop(served)


def routed_node(clock, manifest):
    """Return a node over virtual engines, and these."""
    engines = {}
    for name, upstream in manifest.pools['engines'].upstreams.items():
        times = Times(lambda: 0.05, lambda: 0.01)
        slots = upstream.slots
        engines[name] = VirtualUpstream(clock, name, 'engine', slots, times)
    network = calm_network(clock, engines)
    environment = {'POLLENSTILE_HOST': 'a', 'POLLENSTILE_DOMAIN': DOMAIN}
    node = build_node(
        clock,
        Random(1),
        settings_from(None, ENTRY, environment),
        network.transport_from('a'),
    )
    store = MemoryStore(clock)
    orders = MemoryOrders(clock, {})
    add_placement(node, store, orders, no_work, clock.seconds)
    node.in_force.offer(1, text_from_manifest(_served(manifest)), 'test')
    return node, engines


def _served(manifest):
    """Return a manifest with a pipeline of one stage besides."""
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


def loaded(engine, model, version='1'):
    """Let a stand-in hold one model from the start."""
    engine.models = {model: Holding(version)}


def no_work():
    """Return a Deferred: in place of a guard that is taken out."""
    return succeed(True)
