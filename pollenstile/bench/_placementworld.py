"""The virtual failure domain of ``pollenstile bench placement``."""

import random

from twisted.internet.task import Clock

from pollenstile.manifest import Domain, Manifest, Model, Pool, Upstream
from pollenstile.ops.logs import silent_log
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
)
from pollenstile.standin._slots import Slots
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.orders import Holdings, MemoryOrders
from pollenstile.standin.weightstore import MemoryWeights

_DOMAIN = 'erie-hall'
_MODELS = ('draft', 'summary', 'tags', 'urgency')
_SIZE = 70000
_SLOTS = 4
_WORK = 0.8
_DEADLINE = 4.0
_WARM = 60


class _Engine:
    """Slots of one engine, and its calls in flight by model."""

    __slots__ = ('holdings', 'running', 'slots')

    def __init__(self, holdings):
        self.holdings = holdings
        self.slots = Slots(_SLOTS, holdings.name)
        self.running = {}
        holdings.running = self.calls

    def calls(self):
        """Return the calls in flight by model."""
        return {model: count for model, count in self.running.items() if count}

    def total(self):
        """Return all calls in flight."""
        return sum(self.running.values())


class _Call:
    """One call: it waits, works, and ends once."""

    __slots__ = ('engine', 'model', 'timer', 'work', 'working', 'world')

    def __init__(self, world, engine, model, work):
        self.world = world
        self.engine = engine
        self.model = model
        self.work = work
        self.working = False
        self.timer = world.clock.callLater(_DEADLINE, self.expire)
        engine.running[model] = engine.running.get(model, 0) + 1

    def begin(self):
        """Work until done, or until the deadline if that comes first."""
        self.working = True
        left = self.timer.getTime() - self.world.clock.seconds()
        if self.work <= left:
            self.timer.cancel()
            self.world.clock.callLater(self.work, self.finish)

    def finish(self):
        """Answer in time."""
        self.world.answered += self.model in self.engine.holdings.models
        self.end()

    def expire(self):
        """Give up at the deadline."""
        if self.working or self.engine.slots.remove_waiting(self.begin):
            self.end()

    def end(self):
        """Give the slot back."""
        self.engine.running[self.model] -= 1
        if self.working:
            self.engine.slots.release()


class World:
    """One failure domain, its callers and its placer.

    Parameters
    ==========

    engines : int
        Each with room for one model.
    load_seconds : float
        Time of one load.
    shares_at : function
        Takes a second and the models, returns the shares of demand.
    seed : int
        Of arrivals and work.

    Public state
    ============

    arrived, answered : int
        Calls after the start, and those answered in time.
    """

    __slots__ = (
        'answered',
        'arrived',
        'clock',
        'end',
        'engines',
        'placement',
        'placer',
        'rate',
        'rng',
        'shares_at',
    )

    def __init__(self, engines, load_seconds, shares_at, seed):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.shares_at = shares_at
        self.arrived = 0
        self.answered = 0
        self.rate = 0.0
        self.end = 0.0
        names = [f'e{number:02d}' for number in range(1, engines + 1)]
        self.engines = {}
        for number, name in enumerate(names):
            holdings = Holdings(
                self.clock,
                name,
                dict.fromkeys(_MODELS, _SIZE),
                _SIZE,
                checks=True,
                load_seconds=load_seconds,
            )
            model = _MODELS[number % len(_MODELS)]
            holdings.models = {model: Holding('1')}
            self.engines[name] = _Engine(holdings)
        self.placer = _placer(self, _manifest(names))
        store = self.placer.store
        self.placement = Placement(
            self.placer,
            ServingIndex(silent_log),
            DemandCounter(),
            DemandExchange(_DOMAIN, 'bench', store, self.clock),
        )

    def run(self, seconds, rate):
        """Let calls arrive at a rate for some seconds."""
        self.rate = rate
        self.end = _WARM + seconds
        self.placement.start()
        self._arrive()
        while self.clock.seconds() < self.end:
            due = self.clock.getDelayedCalls()[0].getTime()
            self.clock.advance(max(due - self.clock.seconds(), 0.0))

    def swaps(self):
        """Return the loads of all engines."""
        return sum(each.holdings.loaded for each in self.engines.values())

    def load_seconds(self):
        """Return the seconds that all engines took to load."""
        return sum(
            each.holdings.loaded * each.holdings.load_seconds
            for each in self.engines.values()
        )

    def _arrive(self):
        now = self.clock.seconds()
        self.clock.callLater(self.rng.expovariate(self.rate), self._arrive)
        shares = self.shares_at(max(now - _WARM, 0.0), _MODELS)
        model = self.rng.choices(_MODELS, [shares[each] for each in _MODELS])[0]
        work = self.rng.expovariate(1 / _WORK)
        self.placement.demand.count(model)
        counted = _WARM <= now < self.end - _DEADLINE
        self.arrived += counted
        engine = self._least_busy(model)
        if engine is None:
            return
        call = _Call(self if counted else _Uncounted(self), engine, model, work)
        engine.slots.acquire(call.begin)

    def _least_busy(self, model):
        best = None
        for name, engine in self.engines.items():
            if model not in engine.holdings.models:
                continue
            if not self.placement.holds(name, model):
                continue
            if best is None or engine.total() < best.total():
                best = engine
        return best


class _Uncounted:
    """Takes the place of a world for calls that are not counted."""

    __slots__ = ('answered', 'clock')

    def __init__(self, world):
        self.clock = world.clock
        self.answered = 0


def _manifest(names):
    upstreams = {}
    for name in names:
        upstreams[name] = Upstream(
            _DOMAIN,
            '127.0.0.1:1',
            _SLOTS,
            'checked',
            _SIZE,
        )
    return Manifest(
        'bench',
        {_DOMAIN: Domain('lakes')},
        {'engines': Pool('engine', upstreams, list(_MODELS))},
        {},
        {},
        {model: Model('1', _SIZE) for model in _MODELS},
    )


def _placer(world, manifest):
    clock = world.clock
    store = MemoryStore(clock)
    lease_manager = LeaseManager(
        Lease('bench', LeaseTiming()),
        _DOMAIN,
        store,
        clock.seconds,
        silent_log,
    )
    holdings = {name: each.holdings for name, each in world.engines.items()}
    placer = Placer(
        _DOMAIN,
        lease_manager,
        store,
        MemoryOrders(clock, holdings),
        MemoryWeights(clock, rate=0.1, burst=2).ticket,
        clock,
        random.Random(1),
    )
    placer.manifest = manifest
    return placer
