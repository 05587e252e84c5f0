"""Builders of requests over scripted upstreams in virtual time."""

from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.entry import build_node
from pollenstile.manifest import (
    Domain,
    Manifest,
    Model,
    Pipeline,
    Policy,
    Pool,
    Stage,
    Team,
    Upstream,
    text_from_manifest,
)
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.pipeline import Request, run_request
from pollenstile.soak._clock import advance_exactly
from pollenstile.standin.virtual import (
    UP,
    Times,
    VirtualNetwork,
    VirtualUpstream,
)

TEAM = 'callers'
TOKENS = 6
_FIRST_PORT = 9000
_WORK = 0.02
_GAP = 0.01
_LATENCY = 0.001
_ROUNDING = 0.001


def _pool(kind, name, count, first, **fields):
    upstreams = {
        f'{name}-{place + 1}': Upstream('here', f'127.0.0.1:{first + place}')
        for place in range(count)
    }
    return Pool(kind, upstreams, **fields)


def _pipelines():
    encode = Stage('encode', 'encoders', expect_ms=30)
    hedged = Stage('encode', 'encoders', expect_ms=30, hedge=True)
    patient = Stage('encode', 'encoders', expect_ms=300, attempts=1)
    generate = Stage(
        'generate',
        'engines',
        model='writer',
        expect_ms=100,
        max_tokens=TOKENS,
    )
    book = Stage('book', 'desk', idempotent=False, attempts=1, expect_ms=30)
    teams = [TEAM]
    return {
        'find': Pipeline(1000, teams, [encode]),
        'race': Pipeline(1000, teams, [hedged]),
        'slow': Pipeline(1000, teams, [patient]),
        'draft': Pipeline(1500, teams, [generate]),
        'answer': Pipeline(2000, teams, [encode, generate]),
        'book': Pipeline(1000, teams, [book], idempotent=False),
        'order': Pipeline(1500, teams, [encode, book], idempotent=False),
    }


def requests_manifest(upstreams=2):
    """Return a manifest with a pool of each kind, all in one domain."""
    pools = {
        'encoders': _pool('stage', 'encoder', upstreams, _FIRST_PORT),
        'engines': _pool(
            'engine',
            'engine',
            upstreams,
            _FIRST_PORT + 100,
            models=['writer'],
        ),
        'desk': _pool('service', 'desk', upstreams, _FIRST_PORT + 200),
    }
    return Manifest(
        'requests',
        {'here': Domain('region')},
        pools,
        _pipelines(),
        {TEAM: Team(['ab' * 32])},
        {'writer': Model('1')},
        Policy(silence_ms=300),
    )


def _upstreams(clock, manifest):
    times = Times(lambda: _WORK, lambda: _GAP)
    built = {}
    for pool in manifest.pools.values():
        for name, declared in pool.upstreams.items():
            built[name] = VirtualUpstream(
                clock,
                name,
                pool.kind,
                declared.slots,
                times,
            )
    return built


def _unchanged(call, sink):
    return sink


class Sent:
    """One request: what was passed on, and its outcomes."""

    __slots__ = ('ended', 'outcomes', 'request', 'running', 'tokens')

    def __init__(self, request):
        self.request = request
        self.tokens = []
        self.outcomes = []
        self.running = None
        self.ended = 0.0

    @property
    def outcome(self):
        """The only outcome."""
        assert len(self.outcomes) == 1, self.outcomes
        return self.outcomes[0]


class World:
    """A node over virtual upstreams, and a hook on what it hears.

    Attributes
    ==========

    hook : function
        ``hook(call, sink)`` returns the sink that is used instead.
    calls : list of Call
        In the order in which they were sent.
    cancelled : list of str
        Attempts that the node cancelled.
    links : dict
        Upstream to the state of the link to it.
    """

    __slots__ = (
        'calls',
        'cancelled',
        'clock',
        'hook',
        'links',
        'names',
        'node',
        'sent',
        'upstreams',
    )

    def __init__(self, manifest, seed=1):
        self.clock = Clock()
        self.calls = []
        self.cancelled = []
        self.names = []
        self.links = {}
        self.sent = []
        self.hook = _unchanged
        self.upstreams = _upstreams(self.clock, manifest)
        network = VirtualNetwork(
            self.clock,
            self.upstreams,
            lambda origin, name: _LATENCY,
            lambda origin, name: self.links.get(name, UP),
        )
        environment = {'POLLENSTILE_HOST': 'h', 'POLLENSTILE_DOMAIN': 'here'}
        self.node = build_node(
            self.clock,
            Random(seed),
            settings_from(None, ENTRY, environment),
            self._hooked(network.transport_from('h')),
        )
        self.node.in_force.offer(1, text_from_manifest(manifest), 'test')

    def _hooked(self, transport):
        def start(name, upstream, call, sink):
            self.calls.append(call)
            self.names.append(name)
            cancel = transport(name, upstream, call, self.hook(call, sink))

            def noted():
                self.cancelled.append(call.attempt)
                cancel()

            return noted

        return start

    def send(self, name, content='leak', budget=None, key=''):
        """Start a request; return what comes of it."""
        snapshot = self.node.in_force.snapshot
        declared = self.pipeline(name).deadline_ms / 1000
        request = Request(
            self.node.next_ident(),
            name,
            snapshot,
            TEAM,
            content,
            self.clock.seconds() + (budget or declared),
            key,
        )
        sent = Sent(request)
        self.sent.append(sent)
        sent.running = Deferred.fromCoroutine(
            run_request(self.node.core, request, sent.tokens.append),
        )
        self.node.track(sent.running)
        sent.running.addBoth(self._ended, sent)
        return sent

    def pipeline(self, name):
        """Return a pipeline as declared."""
        snapshot = self.node.in_force.snapshot
        return snapshot.manifest.pipelines[name]

    def _ended(self, outcome, sent):
        sent.outcomes.append(outcome)
        sent.ended = self.clock.seconds()

    def in_time(self):
        """Return whether each outcome came before its deadline."""
        return all(
            sent.ended <= sent.request.deadline + _ROUNDING
            for sent in self.sent
        )

    def fault(self, pool, name, value):
        """Set a fault of every upstream of a pool, by its first letters."""
        for upstream in self.upstreams.values():
            if upstream.name.startswith(pool):
                setattr(upstream.faults, name, value)

    def wait(self, seconds):
        """Let time pass."""
        advance_exactly(self.clock, seconds)

    def runs(self):
        """Return the attempts that upstreams ran."""
        return [run for one in self.upstreams.values() for run in one.runs]

    def total(self, name):
        """Return a counter."""
        return self.node.metrics.total(name)
