"""Simulate the failure domain of ``pollenstile bench placement``."""

import random

from twisted.internet.task import Clock

from pollenstile.manifest import Domain, Manifest, Model, Pool, Upstream
from pollenstile.ops.logs import silent_log
from pollenstile.placement import (
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
from pollenstile.standin._slots import Slots
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.orders import Holdings, MemoryOrders
from pollenstile.standin.weightstore import MemoryWeights

_DOMAIN = 'erie-hall'
_MODELS = ('draft', 'summary', 'tags', 'urgency')
_MODEL_SIZE = 70000
_SLOTS = 4
_WORK_SECONDS = 0.8
_DEADLINE_SECONDS = 4.0
_WARM_UP_SECONDS = 60


class _Engine:
    """Slots of one engine and its calls in flight by model."""

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
        """Return the total number of calls in flight."""
        return sum(self.running.values())


class _Call:
    """One call, which waits for a slot, runs, and ends exactly once."""

    __slots__ = ('engine', 'model', 'timer', 'work', 'working', 'world')

    def __init__(self, world, engine, model, work):
        self.world = world
        self.engine = engine
        self.model = model
        self.work = work
        self.working = False
        self.timer = world.clock.callLater(_DEADLINE_SECONDS, self.expire)
        engine.running[model] = engine.running.get(model, 0) + 1

    def begin(self):
        """Run until the work is done or the deadline has passed."""
        self.working = True
        remaining = self.timer.getTime() - self.world.clock.seconds()
        if self.work <= remaining:
            self.timer.cancel()
            self.world.clock.callLater(self.work, self.finish)

    def finish(self):
        """End the call with an answer in time."""
        self.world.answered += self.model in self.engine.holdings.models
        self.end()

    def expire(self):
        """End the call without an answer at its deadline."""
        if self.working or self.engine.slots.remove_waiting(self.begin):
            self.end()

    def end(self):
        """Release the slot."""
        self.engine.running[self.model] -= 1
        if self.working:
            self.engine.slots.release()


class World:
    """One simulated failure domain with its callers and its placer.

    Parameters
    ==========

    engines : int
        The number of engines, each with memory for one model.
    load_seconds : float
        Seconds of one model load.
    shares_at : function
        Takes a time in seconds and the models; returns the demand shares.
    seed : int
        Seed of arrivals and of the duration of calls.

    Attributes
    ==========

    arrived, answered : int
        The number of calls after the warm-up, and of those answered in time.
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
                dict.fromkeys(_MODELS, _MODEL_SIZE),
                _MODEL_SIZE,
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
        """Simulate calls at a rate for a number of seconds after warm-up."""
        self.rate = rate
        self.end = _WARM_UP_SECONDS + seconds
        self.placement.start()
        self._arrive()
        while self.clock.seconds() < self.end:
            due = self.clock.getDelayedCalls()[0].getTime()
            self.clock.advance(max(due - self.clock.seconds(), 0.0))

    def swaps(self):
        """Return the number of model loads of all engines."""
        return sum(engine.holdings.loaded for engine in self.engines.values())

    def load_seconds(self):
        """Return the total seconds of model loads of all engines."""
        return sum(
            engine.holdings.loaded * engine.holdings.load_seconds
            for engine in self.engines.values()
        )

    def _arrive(self):
        now = self.clock.seconds()
        self.clock.callLater(self.rng.expovariate(self.rate), self._arrive)
        shares = self.shares_at(max(now - _WARM_UP_SECONDS, 0.0), _MODELS)
        model = self.rng.choices(_MODELS, [shares[name] for name in _MODELS])[0]
        work = self.rng.expovariate(1 / _WORK_SECONDS)
        self.placement.demand.count(model)
        counted = _WARM_UP_SECONDS <= now < self.end - _DEADLINE_SECONDS
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
    """Stand-in for the world in calls that are not counted."""

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
            _MODEL_SIZE,
        )
    return Manifest(
        'bench',
        {_DOMAIN: Domain('lakes')},
        {'engines': Pool('engine', upstreams, list(_MODELS))},
        {},
        {},
        {model: Model('1', _MODEL_SIZE) for model in _MODELS},
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
    holdings = {name: engine.holdings for name, engine in world.engines.items()}
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
