"""Rounds of the placer: look at the engines, plan, and order."""

import itertools
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, gatherResults

from pollenstile.placement import events
from pollenstile.placement._conduct import conducted
from pollenstile.placement._facts import domain_engines, wanted_holding
from pollenstile.placement._loads import Loads, LoadTiming, ended_loads
from pollenstile.placement._orders import EngineState
from pollenstile.placement._steps import DrainTiming, deferred_drains
from pollenstile.placement._wanted import unplaced, compute_placement

_SWAPPING_SHARE = 4


@dataclass(slots=True, frozen=True)
class PlacerTiming:
    """Seconds and limits of a placer.

    Parameters
    ==========

    replan : float
        Age of a plan at which demand is looked at again.
    look : float
        Age at which the state of an engine that has settled is read again;
        others are read in each round.
    refused : float
        Time until an engine that refused an order gets the next.
    unseen : float
        Time without an answer after which an engine is planned without.
    drain : DrainTiming
        Of swaps.
    loads : LoadTiming
        Of loads.
    """

    replan: float = 30.0
    read_state: float = 10.0
    refused: float = 10.0
    unseen: float = 30.0
    drain: DrainTiming = field(default_factory=DrainTiming)
    loads: LoadTiming = field(default_factory=LoadTiming)


def always_allow(engines, states):
    """Return True: nothing is waited for."""
    return True


def any_engine(name):
    """Return True: every declared engine is used."""
    return True


class Placer:
    """State of one domain's placer.

    Parameters
    ==========

    domain : str
        Its failure domain.
    keeper : Keeper
        Says whether orders may be given.
    store : Store
        Where records are written.
    orders : object
        With ``read_state(engine, upstream)`` and ``send(engine, upstream, order)``,
        which return Deferreds.
    ticket : function
        Takes a model and a version, returns a Deferred as of
        :func:`~pollenstile.platform.request_ticket`.
    clock : IReactorTime
        For drains, loads and plans.
    random : random.Random
        Source of the jitter.
    log : function
        Writes events.

    Public state
    ============

    manifest : Manifest or None
        What is in force.
    demand : dict
        Model to calls a second in this domain.
    plan_for : function
        As :func:`compute_placement`, which it is at first.
    usable : function
        Takes an engine's name, returns whether it is to hold anything; not
        one that is leaving.
    may_replan : function
        Takes engines and their states, returns whether a change of demand is
        a reason to plan anew.
    may_drain : function
        Takes an engine's state and the models to drain.
    records : dict
        Engine to the version and the record last read or written.
    draining : dict
        Engine to its models that are being drained, with the time.
    settled : dict
        Engine to its state and when it was read, where nothing was to do.
    not_before : dict
        Engine to when it may get the next order.
    """

    __slots__ = (
        'busy',
        'clock',
        'demand',
        'domain',
        'draining',
        'fence',
        'incarnations',
        'keeper',
        'loads',
        'log',
        'manifest',
        'may_drain',
        'may_replan',
        'not_before',
        'numbers',
        'orders',
        'plan',
        'plan_for',
        'plan_key',
        'planned_at',
        'random',
        'records',
        'seen_at',
        'settled',
        'store',
        'ticket',
        'timing',
        'told',
        'usable',
    )

    def __init__(self, domain, keeper, store, orders, ticket, clock, random):
        self.domain = domain
        self.keeper = keeper
        self.store = store
        self.orders = orders
        self.ticket = ticket
        self.clock = clock
        self.random = random
        self.log = keeper.log
        self.timing = PlacerTiming()
        self.manifest = None
        self.demand = {}
        self.plan_for = compute_placement
        self.may_drain = always_allow
        self.may_replan = always_allow
        self.usable = any_engine
        self.numbers = itertools.count(1)
        self.busy = False
        self.forget(0)

    def forget(self, fence):
        """Start anew: another holder may have acted since."""
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
        self.told = {}

    def tell(self, event, engine, level='info', **fields):
        """Log an event of an engine, unless it was its last one."""
        told = (event.number, *sorted(fields.items()))
        if self.told.get(engine) == told:
            return
        self.told[engine] = told
        self.log(event, level=level, engine=engine, **fields)


async def placer_round(placer):
    """Look at every engine of the domain and take each one step further."""
    if placer.busy or placer.manifest is None or not placer.keeper.holds():
        return
    placer.busy = True
    try:
        await _round(placer)
    finally:
        placer.busy = False


async def _round(placer):
    fence = placer.keeper.lease.fence
    if fence != placer.fence:
        placer.forget(fence)
    engines = domain_engines(placer.manifest, placer.domain)
    states = await _looked(placer, engines)
    if not states:
        return
    present = _present(placer, engines)
    # One that is leaving gets no orders, and keeps what it has to the end.
    states = {name: states[name] for name in states if name in present}
    wanted = _wanted(placer, present, states)
    ended_loads(placer.loads, states, wanted)
    deferred = deferred_drains(
        states,
        wanted,
        placer.draining,
        max(1, len(present) // _SWAPPING_SHARE),
    )
    steps = []
    for name, state in states.items():
        step = conducted(
            placer,
            name,
            engines[name],
            state,
            wanted.get(name, {}),
            deferred.get(name, ''),
        )
        steps.append(Deferred.fromCoroutine(step))
    await gatherResults(steps, consumeErrors=True)


async def _looked(placer, engines):
    names = [name for name in sorted(engines) if _look_due(placer, name)]
    looks = [
        placer.orders.read_state(name, engines[name].upstream) for name in names
    ]
    answers = await gatherResults(looks, consumeErrors=True)
    states = {name: each[0] for name, each in placer.settled.items()}
    now = placer.clock.seconds()
    for name, answer in zip(names, answers, strict=True):
        placer.seen_at.setdefault(name, now)
        if not isinstance(answer, EngineState):
            placer.tell(events.ENGINE_UNSEEN, name, reason=answer.reason)
            continue
        placer.seen_at[name] = now
        states[name] = answer
        placer.settled[name] = (answer, now)
        _note_incarnation(placer, name, answer.incarnation)
    return states


def _look_due(placer, name):
    settled = placer.settled.get(name)
    if settled is None:
        return True
    if placer.clock.seconds() - settled[1] < placer.timing.read_state:
        return False
    placer.settled.pop(name)
    return True


def _note_incarnation(placer, name, incarnation):
    before = placer.incarnations.get(name, incarnation)
    placer.incarnations[name] = incarnation
    if before != incarnation:
        placer.tell(
            events.ENGINE_RESTARTED,
            name,
            before=before,
            incarnation=incarnation,
        )


def _present(placer, engines):
    """Return the engines to plan with: those seen lately and not leaving."""
    oldest = placer.clock.seconds() - placer.timing.unseen
    return {
        name: facts
        for name, facts in engines.items()
        if placer.seen_at[name] >= oldest and placer.usable(name)
    }


def _wanted(placer, engines, states):
    """Return the holdings that each engine is to have, planned if due."""
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
            model: wanted_holding(manifest, model) for model in models
        }
    return wanted


def _replan(placer, engines, states):
    sizes = {}
    for facts in engines.values():
        for model in facts.models:
            sizes[model] = placer.manifest.models[model].memory_mb
    # An engine that misses one look still holds what was planned for it.
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
    missing = unplaced(engines, plan)
    if missing:
        placer.tell(
            events.UNPLACED, '', level='warning', models=','.join(missing)
        )
    placer.plan = plan
