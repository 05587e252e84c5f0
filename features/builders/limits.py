"""Entry hosts with a small manifest over upstreams in virtual time."""

import random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.entry import built_node
from pollenstile.fleet import Snapshot
from pollenstile.manifest import (
    Domain,
    Manifest,
    Pipeline,
    Policy,
    Pool,
    Stage,
    Team,
    Upstream,
)
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.outcomes import Answered, Refused
from pollenstile.pipeline import Request, outcome_of
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    calm_network,
)

WORK = 0.1
SLOTS = 4
_TICK = 0.01
_DEADLINES = {'urgent': 1000, 'normal': 2000, 'batch': 10000}


def small_manifest(upstreams=4, max_queue=2000):
    """Return a manifest with one pool and a pipeline for each class."""
    members = {}
    for number in range(upstreams):
        members[f'u{number}'] = Upstream(
            'here',
            f'127.0.0.1:{9000 + number}',
            SLOTS,
        )
    pipelines = {}
    teams = {'large': Team(['a' * 64], 4.0)}
    for number in range(3):
        teams[f'small{number}'] = Team([f'{number}' * 64], 1.0)
    for urgency, deadline in _DEADLINES.items():
        stage = Stage(
            'call',
            'workers',
            hedge=True,
            expect_ms=int(WORK * 1000),
        )
        pipelines[urgency] = Pipeline(
            deadline,
            list(teams),
            [stage],
            urgency=urgency,
        )
    return Manifest(
        'limits',
        {'here': Domain('here')},
        {'workers': Pool('stage', members)},
        pipelines,
        teams,
        policy=Policy(max_queue=max_queue),
    )


def unchanged(node):
    """Leave a node as it is built."""


class Story:
    """Hosts, upstreams and what callers got.

    Parameters
    ==========

    hosts : int
        Entry hosts, each with its own view.
    change : function
        Takes each node after it is built; removes a guard where asked.
    max_queue : int
        Requests that a host keeps waiting.
    """

    def __init__(self, hosts=2, change=unchanged, max_queue=2000):
        self.clock = Clock()
        self.rng = random.Random(7)
        self.manifest = small_manifest(max_queue=max_queue)
        self.snapshot = Snapshot(1, self.manifest)
        self.upstreams = {}
        for name in self.manifest.pools['workers'].upstreams:
            self.upstreams[name] = VirtualUpstream(
                self.clock,
                name,
                'stage',
                SLOTS,
                Times(self._work, float),
            )
        network = calm_network(self.clock, self.upstreams)
        self.nodes = []
        for number in range(hosts):
            node = self._node(f'h{number}', network)
            change(node)
            self.nodes.append(node)
        self.told = []

    def _work(self):
        return self.rng.uniform(0.8, 1.2) * WORK

    def _node(self, name, network):
        settings = settings_from(
            None,
            ENTRY,
            {'POLLENSTILE_HOST': name, 'POLLENSTILE_DOMAIN': 'here'},
        )
        return built_node(
            self.clock,
            random.Random(self.rng.getrandbits(32)),
            settings,
            network.transport_from(name),
        )

    def ask(self, team, urgency):
        """Ask a random host; the result is kept in ``told``."""
        node = self.rng.choice(self.nodes)
        now = self.clock.seconds()
        request = Request(
            node.next_ident(),
            urgency,
            self.snapshot,
            team,
            'report',
            now + _DEADLINES[urgency] / 1000,
        )
        told = {'team': team, 'urgency': urgency, 'asked': now}
        told['deadline'] = request.deadline
        self.told.append(told)
        running = Deferred.fromCoroutine(outcome_of(node.core, request))
        running.addCallback(self._keep, told)

    def _keep(self, outcome, told):
        told['outcome'] = outcome
        told['at'] = self.clock.seconds()

    def load(self, seconds, rates):
        """Ask at rates a second, by team and class, for some time."""
        for _ in range(round(seconds / _TICK)):
            for (team, urgency), rate in rates.items():
                if self.rng.random() < rate * _TICK:
                    self.ask(team, urgency)
            self.clock.advance(_TICK)

    def drain(self, seconds=12):
        """Let all that is open come to its end."""
        for _ in range(round(seconds / _TICK)):
            self.clock.advance(_TICK)

    def attained(self, since=0, **wanted):
        """Return the share answered in time of those that match."""
        total = 0
        good = 0
        for told in self.told:
            if told['asked'] < since:
                continue
            if any(told[key] != value for key, value in wanted.items()):
                continue
            total += 1
            answered = isinstance(told.get('outcome'), Answered)
            good += answered and told['at'] <= told['deadline']
        assert total, 'nobody asked'
        return good / total

    def refusals(self):
        """Return those that were refused as not run."""
        return [
            told
            for told in self.told
            if isinstance(told.get('outcome'), Refused)
        ]

    def calls(self):
        """Return the calls that each upstream has started."""
        return {name: len(one.runs) for name, one in self.upstreams.items()}
