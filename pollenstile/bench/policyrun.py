"""One run of a policy under one load, and what came out."""

import random
from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from pollenstile.bench import policymix
from pollenstile.bench.policyworld import World
from pollenstile.outcomes import Answered, Refused
from pollenstile.pipeline import Request, run_request

_WARM_UP = 10.0
_MOST_ASKS = 3
_FLOOD = 1.5
_SLOW = 10.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """A load.

    Parameters
    ==========

    name : str
        For the table.
    load : float
        Requests, in capacities.
    straggler : bool
        Whether one engine is ten times slower after the warm-up.
    flood : bool
        Whether one team asks for another 1.5 capacities.
    """

    name: str
    load: float
    straggler: bool = False
    flood: bool = False


SCENARIOS = (
    Scenario('0.7x', 0.7),
    Scenario('1x', 1.0),
    Scenario('2x', 2.0),
    Scenario('straggler', 0.7, straggler=True),
    Scenario('flood', 0.7, flood=True),
)


@dataclass(slots=True)
class Asked:
    """One caller's request, with its repeats after refusals."""

    flow: object
    urgency: str
    due: float
    flooding: bool = False
    asks: int = 0
    seconds: float = 0.0
    outcome: object = None


@dataclass(slots=True)
class Result:
    """What one run showed.

    Parameters
    ==========

    attainment : dict
        Share answered in time, by class.
    small : float
        The same over small teams.
    goodput : float
        Requests answered in time, a second.
    work : float
        Cost of the stages of these requests, a second.
    cost : dict
        Cost of all work by stage, in the manifest's unit.
    wasted : float
        Share of the cost that no answer in time came from.
    flows : dict
        Share answered in time, by team and pipeline.
    outcomes : dict
        Final outcomes, by tag.
    slowest_refusal : float
        Seconds that a refused request had waited at most.
    broken : int
        Broken invariants.
    """

    deployment: str
    policy: str
    scenario: str
    attainment: dict = field(default_factory=dict)
    small: float = 0.0
    goodput: float = 0.0
    work: float = 0.0
    cost: dict = field(default_factory=dict)
    wasted: float = 0.0
    outcomes: dict = field(default_factory=dict)
    flows: dict = field(default_factory=dict)
    refusals: int = 0
    slowest_refusal: float = 0.0
    broken: int = 0


class Run:
    """A world under load.

    Parameters
    ==========

    manifest : Manifest
        A deployment as declared.
    policy : Policy
        What hosts are built with.
    scenario : Scenario
        The load.
    seconds : float
        Length of the measured part.
    seed : int
        For all that is random.
    """

    __slots__ = (
        'asked',
        'crashes',
        'declared',
        'good',
        'good_work',
        'measured_open',
        'mix',
        'open',
        'policy',
        'refusals',
        'rng',
        'scenario',
        'seconds',
        'stage_costs',
        'useful',
        'world',
    )

    def __init__(self, manifest, policy, scenario, seconds, seed):
        self.world = World(
            policymix.bench_manifest(manifest, hedge=policy.hedge),
            policy,
            seed,
        )
        self.mix = policymix.MIXES[manifest.name]
        self.policy = policy
        self.scenario = scenario
        self.seconds = seconds
        self.asked = []
        self.refusals = []
        self.crashes = []
        self.open = 0
        self.measured_open = 0
        self.good = 0
        self.good_work = 0
        self.useful = 0
        self.stage_costs = _stage_costs(manifest)
        self.declared = manifest
        # Apart from the world's, so that every policy meets the same callers.
        self.rng = random.Random(seed + 1)

    def result(self):
        """Run to the end and return the result."""
        clock = self.world.clock
        rate = policymix.capacity(self.declared, self.mix.flows)
        self._start_source(self.mix.flows, rate * self.scenario.load)
        clock.run(until=_WARM_UP)
        if self.scenario.straggler:
            upstream = self.world.network.upstreams[self.mix.straggler]
            upstream.faults.slow = _SLOW
        if self.scenario.flood:
            self._start_flood(rate)
        clock.run(until=self.end())
        clock.run(until=clock.seconds() + 90, unless=self._is_over)
        if self.crashes:
            self.crashes[0].raiseException()
        return _measured(self)

    def _is_over(self):
        return not self.measured_open

    def _start_flood(self, rate):
        flows = []
        for flow in self.mix.flows:
            if flow.team == self.mix.flooder:
                flows.append(flow)
        usual = sum(policymix.demand(self.declared, self.mix.flows).values())
        own = sum(policymix.demand(self.declared, flows).values())
        self._start_source(flows, _FLOOD * rate * usual / own, flooding=True)

    def _start_source(self, flows, rate, *, flooding=False):
        shares = [flow.share for flow in flows]
        rng = random.Random(self.rng.getrandbits(32))
        clock = self.world.clock

        def arrive():
            # On until the measured callers have their answers, so that no
            # queue drains before an idle end.
            if clock.seconds() >= self.end() and not self.measured_open:
                return
            flow = rng.choices(flows, shares)[0]
            self._ask_first(flow, flooding=flooding)
            clock.callLater(rng.expovariate(rate), arrive)

        arrive()

    def _ask_first(self, flow, *, flooding):
        pipeline = self.world.manifest.pipelines[flow.pipeline]
        now = self.world.clock.seconds()
        asked = Asked(
            flow,
            pipeline.urgency,
            now + pipeline.deadline_ms / 1000,
            flooding,
        )
        if _WARM_UP <= now < self.end():
            self.asked.append(asked)
            self.measured_open += 1
        self.open += 1
        self._ask(asked)

    def _ask(self, asked):
        world = self.world
        asked.asks += 1
        node = self.rng.choice(world.nodes)
        ident = node.next_ident()
        running = Deferred.fromCoroutine(
            run_request(
                node.core,
                Request(
                    ident,
                    asked.flow.pipeline,
                    node.in_force.snapshot,
                    asked.flow.team,
                    f'report {self.rng.randrange(1000)}',
                    asked.due - 2 * self.mix.client_latency,
                ),
            ),
        )
        started = world.clock.seconds()
        running.addCallback(self._told, asked, ident, started)
        running.addErrback(self.crashes.append)

    def _told(self, outcome, asked, ident, started):
        clock = self.world.clock
        if isinstance(outcome, Refused):
            self.refusals.append(clock.seconds() - started)
            wait = outcome.retry_after * self.rng.uniform(1, 1.2)
            again = clock.seconds() + wait
            if wait and asked.asks < _MOST_ASKS and again < asked.due:
                clock.callLater(wait, self._ask, asked)
                return
        asked.outcome = outcome
        asked.seconds = clock.seconds()
        in_time = self.in_time(asked)
        worked = self.world.worked.pop(ident, {})
        if in_time:
            self._note_useful(worked)
        if _WARM_UP <= asked.due - self._deadline(asked) < self.end():
            self.measured_open -= 1
        self.open -= 1

    def end(self):
        """Return when the measured part ends."""
        return _WARM_UP + self.seconds

    def _deadline(self, asked):
        pipelines = self.world.manifest.pipelines
        return pipelines[asked.flow.pipeline].deadline_ms / 1000

    def _note_useful(self, worked):
        useful = 0
        for step, seconds in worked.items():
            useful += seconds * self.stage_costs[step]
        self.useful += useful
        if _WARM_UP <= self.world.clock.seconds() < self.end():
            self.good += 1
            self.good_work += useful

    def in_time(self, asked):
        """Return whether a caller had its answer within its deadline."""
        latency = 2 * self.mix.client_latency
        if not isinstance(asked.outcome, Answered):
            return False
        return asked.seconds + latency <= asked.due


def _measured(run):
    result = Result(
        run.world.manifest.name,
        run.policy.name,
        run.scenario.name,
    )
    offered = Counter()
    good = Counter()
    outcomes = Counter()
    for asked in run.asked:
        keys = [asked.urgency, f'{asked.flow.team} {asked.flow.pipeline}']
        if asked.flow.team in run.mix.small:
            keys.append('small teams')
        offered.update(keys)
        outcomes[asked.outcome.tag if asked.outcome else 'none'] += 1
        if run.in_time(asked):
            good.update(keys)
    result.outcomes = dict(outcomes)
    for key in sorted(offered):
        kept = result.flows if ' ' in key else result.attainment
        kept[key] = good[key] / offered[key]
    result.small = result.flows.pop('small teams', 1.0)
    result.goodput = run.good / run.seconds
    result.work = run.good_work / run.seconds
    _add_cost(run, result)
    result.refusals = len(run.refusals)
    result.slowest_refusal = max(run.refusals, default=0)
    for node in run.world.nodes:
        result.broken += len(node.core.ledger.broken)
    return result


def _add_cost(run, result):
    manifest = run.world.manifest
    total = 0
    for name, pool in manifest.pools.items():
        busy = 0
        for upstream in pool.upstreams:
            busy += run.world.network.upstreams[upstream].busy
        result.cost[name] = busy * pool.cost
        total += busy * pool.cost
    result.wasted = max(0, 1 - (run.useful + _unfinished(run)) / total)


def _unfinished(run):
    """Return the cost of whole stages of requests that run on at the end."""
    cost = 0
    for steps in run.world.worked.values():
        for step, seconds in steps.items():
            cost += seconds * run.stage_costs[step]
    return cost


def _stage_costs(manifest):
    costs = {}
    for pipeline in manifest.pipelines.values():
        for stage in pipeline.stages:
            costs[stage.name] = manifest.pools[stage.pool].cost
    return costs
