"""Run a policy under one load scenario and measure the result."""

import random
from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from pollenstile.bench import policymix
from pollenstile.bench.policyworld import World
from pollenstile.outcomes import Answered, Refused
from pollenstile.pipeline import Request, run_request

_WARM_UP_SECONDS = 10.0
_MAX_ATTEMPTS = 3
_FLOOD_CAPACITIES = 1.5
_STRAGGLER_FACTOR = 10.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """A load scenario.

    Parameters
    ==========

    name : str
        The name in the printed table.
    load : float
        Request rate as a multiple of the capacity.
    straggler : bool
        Whether one engine is ten times slower after the warm-up.
    flood : bool
        Whether one team sends an additional load of 1.5 capacities.
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
class CallerRequest:
    """One request of a caller, including its retries after refusals."""

    flow: object
    urgency: str
    due: float
    flooding: bool = False
    attempts: int = 0
    seconds: float = 0.0
    outcome: object = None


@dataclass(slots=True)
class Result:
    """Measurements of one run.

    Parameters
    ==========

    attainment : dict
        Share of requests answered in time, by urgency class.
    small : float
        Share of requests answered in time over all small teams.
    goodput : float
        Requests answered in time per second.
    work : float
        Cost per second of the stages of these requests.
    cost : dict
        Cost of all work by pool, in the unit of the manifest.
    wasted : float
        Share of the cost that did not contribute to an answer in time.
    flows : dict
        Share of requests answered in time, by team and pipeline.
    outcomes : dict
        The number of final outcomes, by tag.
    refusals : int
        The number of refusals.
    slowest_refusal : float
        Maximum time in seconds from a request to its refusal.
    broken : int
        The number of broken invariants.
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
    """One run of a policy in a simulated world under load.

    Parameters
    ==========

    manifest : Manifest
        The deployment as declared.
    policy : Policy
        The policy of the hosts.
    scenario : Scenario
        The load scenario.
    seconds : float
        Length of the measured period.
    seed : int
        Seed of all random choices.
    """

    __slots__ = (
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
        'sent',
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
        self.sent = []
        self.refusals = []
        self.crashes = []
        self.open = 0
        self.measured_open = 0
        self.good = 0
        self.good_work = 0
        self.useful = 0
        self.stage_costs = _stage_costs(manifest)
        self.declared = manifest
        # Separate from the generator of the world, so that every policy
        # receives the same requests.
        self.rng = random.Random(seed + 1)

    def result(self):
        """Run the scenario to its end and return the Result."""
        clock = self.world.clock
        rate = policymix.capacity(self.declared, self.mix.flows)
        self._start_source(self.mix.flows, rate * self.scenario.load)
        clock.run(until=_WARM_UP_SECONDS)
        if self.scenario.straggler:
            upstream = self.world.network.upstreams[self.mix.straggler]
            upstream.faults.slow = _STRAGGLER_FACTOR
        if self.scenario.flood:
            self._start_flood(rate)
        clock.run(until=self.end())
        clock.run(until=clock.seconds() + 90, unless=self._is_over)
        if self.crashes:
            self.crashes[0].raiseException()
        return _build_result(self)

    def _is_over(self):
        return not self.measured_open

    def _start_flood(self, rate):
        flows = []
        for flow in self.mix.flows:
            if flow.team == self.mix.flooder:
                flows.append(flow)
        usual = sum(policymix.demand(self.declared, self.mix.flows).values())
        own = sum(policymix.demand(self.declared, flows).values())
        self._start_source(
            flows, _FLOOD_CAPACITIES * rate * usual / own, flooding=True
        )

    def _start_source(self, flows, rate, *, flooding=False):
        shares = [flow.share for flow in flows]
        rng = random.Random(self.rng.getrandbits(32))
        clock = self.world.clock

        def arrive():
            # Arrivals continue until all measured requests have ended, so that
            # the load does not drop while they are still in queues.
            if clock.seconds() >= self.end() and not self.measured_open:
                return
            flow = rng.choices(flows, shares)[0]
            self._send_new_request(flow, flooding=flooding)
            clock.callLater(rng.expovariate(rate), arrive)

        arrive()

    def _send_new_request(self, flow, *, flooding):
        pipeline = self.world.manifest.pipelines[flow.pipeline]
        now = self.world.clock.seconds()
        sent = CallerRequest(
            flow,
            pipeline.urgency,
            now + pipeline.deadline_ms / 1000,
            flooding,
        )
        if _WARM_UP_SECONDS <= now < self.end():
            self.sent.append(sent)
            self.measured_open += 1
        self.open += 1
        self._send_attempt(sent)

    def _send_attempt(self, sent):
        world = self.world
        sent.attempts += 1
        node = self.rng.choice(world.nodes)
        ident = node.next_ident()
        running = Deferred.fromCoroutine(
            run_request(
                node.core,
                Request(
                    ident,
                    sent.flow.pipeline,
                    node.in_force.snapshot,
                    sent.flow.team,
                    f'report {self.rng.randrange(1000)}',
                    sent.due - 2 * self.mix.client_latency,
                ),
            ),
        )
        started = world.clock.seconds()
        running.addCallback(self._handle_outcome, sent, ident, started)
        running.addErrback(self.crashes.append)

    def _handle_outcome(self, outcome, sent, ident, started):
        clock = self.world.clock
        if isinstance(outcome, Refused):
            self.refusals.append(clock.seconds() - started)
            wait = outcome.retry_after * self.rng.uniform(1, 1.2)
            retry_at = clock.seconds() + wait
            if wait and sent.attempts < _MAX_ATTEMPTS and retry_at < sent.due:
                clock.callLater(wait, self._send_attempt, sent)
                return
        sent.outcome = outcome
        sent.seconds = clock.seconds()
        in_time = self.in_time(sent)
        worked = self.world.worked.pop(ident, {})
        if in_time:
            self._note_useful(worked)
        if _WARM_UP_SECONDS <= sent.due - self._deadline(sent) < self.end():
            self.measured_open -= 1
        self.open -= 1

    def end(self):
        """Return the time on the clock at which the measured period ends."""
        return _WARM_UP_SECONDS + self.seconds

    def _deadline(self, sent):
        pipelines = self.world.manifest.pipelines
        return pipelines[sent.flow.pipeline].deadline_ms / 1000

    def _note_useful(self, worked):
        useful = 0
        for step, seconds in worked.items():
            useful += seconds * self.stage_costs[step]
        self.useful += useful
        if _WARM_UP_SECONDS <= self.world.clock.seconds() < self.end():
            self.good += 1
            self.good_work += useful

    def in_time(self, sent):
        """Return whether a caller received its answer before the deadline."""
        latency = 2 * self.mix.client_latency
        if not isinstance(sent.outcome, Answered):
            return False
        return sent.seconds + latency <= sent.due


def _build_result(run):
    result = Result(
        run.world.manifest.name,
        run.policy.name,
        run.scenario.name,
    )
    offered = Counter()
    good = Counter()
    outcomes = Counter()
    for sent in run.sent:
        keys = [sent.urgency, f'{sent.flow.team} {sent.flow.pipeline}']
        if sent.flow.team in run.mix.small:
            keys.append('small teams')
        offered.update(keys)
        outcomes[sent.outcome.tag if sent.outcome else 'none'] += 1
        if run.in_time(sent):
            good.update(keys)
    result.outcomes = dict(outcomes)
    for key in sorted(offered):
        shares = result.flows if ' ' in key else result.attainment
        shares[key] = good[key] / offered[key]
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
    result.wasted = max(0, 1 - (run.useful + _unfinished_cost(run)) / total)


def _unfinished_cost(run):
    """Return the cost of completed stages of requests that have not ended."""
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
