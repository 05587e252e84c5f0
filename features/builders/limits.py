"""Load tests of entry hosts with a small manifest, in virtual time."""

import random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.entry import build_node
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
from pollenstile.pipeline import Request, run_request
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    healthy_network,
)

WORK_SECONDS = 0.1
SLOTS = 4
_TICK_SECONDS = 0.01
_DEADLINES_MS = {'urgent': 1000, 'normal': 2000, 'batch': 10000}


def small_manifest(upstreams=4, max_queue=2000):
    """Return a manifest with one pool and a pipeline per urgency class."""
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
    for urgency, deadline in _DEADLINES_MS.items():
        stage = Stage(
            'call',
            'workers',
            hedge=True,
            expect_ms=int(WORK_SECONDS * 1000),
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
    """Leave a node unchanged."""


class LoadTest:
    """Hosts, upstreams and records of all requests.

    Parameters
    ==========

    hosts : int
        Number of entry hosts, each with its own state.
    change : function
        Called with each node after it is built, e.g. to remove a limit.
    max_queue : int
        Maximum number of queued requests of a host.
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
        network = healthy_network(self.clock, self.upstreams)
        self.nodes = []
        for number in range(hosts):
            node = self._node(f'h{number}', network)
            change(node)
            self.nodes.append(node)
        self.records = []

    def _work(self):
        return self.rng.uniform(0.8, 1.2) * WORK_SECONDS

    def _node(self, name, network):
        settings = settings_from(
            None,
            ENTRY,
            {'POLLENSTILE_HOST': name, 'POLLENSTILE_DOMAIN': 'here'},
        )
        return build_node(
            self.clock,
            random.Random(self.rng.getrandbits(32)),
            settings,
            network.transport_from(name),
        )

    def ask(self, team, urgency):
        """Send a request to a random host; add a record to ``records``."""
        node = self.rng.choice(self.nodes)
        now = self.clock.seconds()
        request = Request(
            node.next_ident(),
            urgency,
            self.snapshot,
            team,
            'report',
            now + _DEADLINES_MS[urgency] / 1000,
        )
        record = {'team': team, 'urgency': urgency, 'asked': now}
        record['deadline'] = request.deadline
        self.records.append(record)
        running = Deferred.fromCoroutine(run_request(node.core, request))
        running.addCallback(self._record, record)

    def _record(self, outcome, record):
        record['outcome'] = outcome
        record['at'] = self.clock.seconds()

    def load(self, seconds, rates):
        """Send requests at rates per second, by team and class."""
        for _ in range(round(seconds / _TICK_SECONDS)):
            for (team, urgency), rate in rates.items():
                if self.rng.random() < rate * _TICK_SECONDS:
                    self.ask(team, urgency)
            self.clock.advance(_TICK_SECONDS)

    def drain(self, seconds=12):
        """Let all open requests end."""
        for _ in range(round(seconds / _TICK_SECONDS)):
            self.clock.advance(_TICK_SECONDS)

    def attainment(self, since=0, **wanted):
        """Return the share of matching requests that was answered in time."""
        total = 0
        good = 0
        for record in self.records:
            if record['asked'] < since:
                continue
            if any(record[key] != value for key, value in wanted.items()):
                continue
            total += 1
            answered = isinstance(record.get('outcome'), Answered)
            good += answered and record['at'] <= record['deadline']
        assert total, 'no request matches'
        return good / total

    def refusals(self):
        """Return the records of requests that were refused as not run."""
        return [
            record
            for record in self.records
            if isinstance(record.get('outcome'), Refused)
        ]

    def calls(self):
        """Return the number of calls that each upstream has started."""
        return {
            name: len(upstream.runs)
            for name, upstream in self.upstreams.items()
        }
