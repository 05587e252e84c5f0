"""Placement rounds: read the engines' states, plan, and order."""

import itertools
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, gatherResults

from pollenstile.placement import events
from pollenstile.placement._enginespec import declared_holding, domain_engines
from pollenstile.placement._enginesteps import advance_engine
from pollenstile.placement._loadlimits import (
    Loads,
    LoadTiming,
    drop_finished_loads,
)
from pollenstile.placement._orders import EngineState
from pollenstile.placement._planning import compute_placement, unplaced_models
from pollenstile.placement._steps import DrainTiming, deferred_drains

_SWAPPING_SHARE = 4


@dataclass(slots=True, frozen=True)
class PlacerTiming:
    """Intervals in seconds and limits of a placer.

    Parameters
    ==========

    replan : float
        Age of a plan at which it is computed again from the present demand.
    settled_read : float
        Age at which the state of a settled engine is read again. The states
        of other engines are read in each round.
    refusal_delay : float
        Time until an engine that refused an order gets the next one.
    unseen : float
        Time without an answer after which an engine is left out of the plan.
    drain : DrainTiming
        Timing of drains before swaps.
    loads : LoadTiming
        Limits on loads.
    """

    replan: float = 30.0
    settled_read: float = 10.0
    refusal_delay: float = 10.0
    unseen: float = 30.0
    drain: DrainTiming = field(default_factory=DrainTiming)
    loads: LoadTiming = field(default_factory=LoadTiming)


def always_allow(engines, states):
    """Return True: drains and plans are always allowed."""
    return True


def any_engine(name):
    """Return True: every declared engine is used."""
    return True


class Placer:
    """State of the placer of one failure domain.

    Parameters
    ==========

    domain : str
        Name of the failure domain.
    lease_manager : LeaseManager
        Decides whether orders may be sent.
    store : Store
        Where records are written.
    orders : object
        Has ``read_state(engine, upstream)``, which reads an engine's state, and
        ``send(engine, upstream, order)``; both return Deferreds.
    ticket : function
        Takes a model and a version, returns a Deferred as
        :func:`~pollenstile.platform.request_ticket` does.
    clock : IReactorTime
        Times drains, loads and plans.
    random : random.Random
        Source of the jitter.
    log : function
        Writes events.

    Public state
    ============

    manifest : Manifest or None
        The manifest in force.
    demand : dict
        Model to calls per second in this domain.
    plan_for : function
        Computes a plan; :func:`compute_placement` by default.
    usable : function
        Takes an engine's name, returns whether it is to hold models. False
        for an engine that is leaving.
    may_replan : function
        Takes engines and their states, returns whether a change of demand
        may lead to a new plan.
    may_drain : function
        Takes an engine's state and the models to drain.
    records : dict
        Engine to the version and the record last read or written.
    draining : dict
        Engine to its models that are being drained, with the start time.
    settled : dict
        Engine to its state and when that was read, for engines that need no
        step.
    not_before : dict
        Engine to when it may get the next order.
    last_logged : dict
        Engine to its last event, which is not logged twice in a row.
    """

    __slots__ = (
        'busy',
        'clock',
        'demand',
        'domain',
        'draining',
        'fence',
        'incarnations',
        'last_logged',
        'lease_manager',
        'loads',
        'log',
        'manifest',
        'may_drain',
        'may_replan',
        'not_before',
        'orders',
        'plan',
        'plan_for',
        'plan_key',
        'planned_at',
        'random',
        'records',
        'seen_at',
        'sequence',
        'settled',
        'store',
        'ticket',
        'timing',
        'usable',
    )

    def __init__(
        self, domain, lease_manager, store, orders, ticket, clock, random
    ):
        self.domain = domain
        self.lease_manager = lease_manager
        self.store = store
        self.orders = orders
        self.ticket = ticket
        self.clock = clock
        self.random = random
        self.log = lease_manager.log
        self.timing = PlacerTiming()
        self.manifest = None
        self.demand = {}
        self.plan_for = compute_placement
        self.may_drain = always_allow
        self.may_replan = always_allow
        self.usable = any_engine
        self.sequence = itertools.count(1)
        self.busy = False
        self.reset(0)

    def reset(self, fence):
        """Drop all state, because another holder may have acted since."""
        self.fence = fence
        self.records = {}
        self.draining = {}
        self.incarnations = {}
        self.seen_at = {}
        self.settled = {}
        self.not_before = {}
        self.loads = Loads()
        self.plan = {}
        self.plan_key = None
        self.planned_at = 0.0
        self.last_logged = {}

    def log_once(self, event, engine, level='info', **fields):
        """Log an event of an engine unless it equals the last one."""
        logged = (event.number, *sorted(fields.items()))
        if self.last_logged.get(engine) == logged:
            return
        self.last_logged[engine] = logged
        self.log(event, level=level, engine=engine, **fields)


async def placer_round(placer):
    """Read the engines of the domain and take the next step of each."""
    if (
        placer.busy
        or placer.manifest is None
        or not placer.lease_manager.holds()
    ):
        return
    placer.busy = True
    try:
        await _round(placer)
    finally:
        placer.busy = False


async def _round(placer):
    fence = placer.lease_manager.lease.fence
    if fence != placer.fence:
        placer.reset(fence)
    engines = domain_engines(placer.manifest, placer.domain)
    states = await _read_states(placer, engines)
    if not states:
        return
    usable = _usable_engines(placer, engines)
    # An engine that is leaving gets no orders and keeps its models.
    states = {name: states[name] for name in states if name in usable}
    wanted = _wanted_holdings(placer, usable, states)
    drop_finished_loads(placer.loads, states, wanted)
    deferred = deferred_drains(
        states,
        wanted,
        placer.draining,
        max(1, len(usable) // _SWAPPING_SHARE),
    )
    steps = []
    for name, state in states.items():
        step = advance_engine(
            placer,
            name,
            engines[name],
            state,
            wanted.get(name, {}),
            deferred.get(name, ''),
        )
        steps.append(Deferred.fromCoroutine(step))
    await gatherResults(steps, consumeErrors=True)


async def _read_states(placer, engines):
    names = [name for name in sorted(engines) if _is_read_due(placer, name)]
    reads = [
        placer.orders.read_state(name, engines[name].upstream) for name in names
    ]
    answers = await gatherResults(reads, consumeErrors=True)
    states = {name: each[0] for name, each in placer.settled.items()}
    now = placer.clock.seconds()
    for name, answer in zip(names, answers, strict=True):
        placer.seen_at.setdefault(name, now)
        if not isinstance(answer, EngineState):
            placer.log_once(events.ENGINE_UNSEEN, name, reason=answer.reason)
            continue
        placer.seen_at[name] = now
        states[name] = answer
        placer.settled[name] = (answer, now)
        _note_incarnation(placer, name, answer.incarnation)
    return states


def _is_read_due(placer, name):
    settled = placer.settled.get(name)
    if settled is None:
        return True
    if placer.clock.seconds() - settled[1] < placer.timing.settled_read:
        return False
    placer.settled.pop(name)
    return True


def _note_incarnation(placer, name, incarnation):
    before = placer.incarnations.get(name, incarnation)
    placer.incarnations[name] = incarnation
    if before != incarnation:
        placer.log_once(
            events.ENGINE_RESTARTED,
            name,
            before=before,
            incarnation=incarnation,
        )


def _usable_engines(placer, engines):
    """Return the engines that were seen lately and are not leaving."""
    oldest = placer.clock.seconds() - placer.timing.unseen
    return {
        name: spec
        for name, spec in engines.items()
        if placer.seen_at[name] >= oldest and placer.usable(name)
    }


def _wanted_holdings(placer, engines, states):
    """Return the wanted holdings of each engine; plan again if due."""
    manifest = placer.manifest
    key = (id(manifest), tuple(sorted(engines)))
    now = placer.clock.seconds()
    due = now - placer.planned_at >= placer.timing.replan
    due = due and placer.may_replan(engines, states)
    if due or key != placer.plan_key:
        _replan(placer, engines, states)
        placer.plan_key = key
        placer.planned_at = now
    wanted = {}
    for name, models in placer.plan.items():
        wanted[name] = {
            model: declared_holding(manifest, model) for model in models
        }
    return wanted


def _replan(placer, engines, states):
    sizes = {}
    for spec in engines.values():
        for model in spec.models:
            sizes[model] = placer.manifest.models[model].memory_mb
    # An engine whose state could not be read this time is assumed to hold
    # what was planned for it.
    held = dict(placer.plan)
    for name, state in states.items():
        held[name] = (*state.models, *state.loading)
    plan = placer.plan_for(engines, sizes, placer.demand, held)
    if plan != placer.plan:
        placer.log(
            events.PLAN,
            domain=placer.domain,
            fence=placer.fence,
            plan=plan,
            demand=placer.demand,
        )
    missing = unplaced_models(engines, plan)
    if missing:
        placer.log_once(
            events.UNPLACED, '', level='warning', models=','.join(missing)
        )
    placer.plan = plan
