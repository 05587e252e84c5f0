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
from pollenstile.soak._process import Process
from pollenstile.standin.virtual import (
    UP,
    Times,
    VirtualNetwork,
    VirtualUpstream,
)

TEAM = 'callers'
TOKENS = 6
_FIRST_PORT = 9000
_WORK_SECONDS = 0.02
_TOKEN_GAP_SECONDS = 0.01
_LATENCY_SECONDS = 0.001
_ROUNDING_SECONDS = 0.001


def _pool(kind, name, count, first, **fields):
    upstreams = {
        f'{name}-{position + 1}': Upstream(
            'here', f'127.0.0.1:{first + position}'
        )
        for position in range(count)
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
    """Return a manifest with one pool of each kind in one domain."""
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
    times = Times(lambda: _WORK_SECONDS, lambda: _TOKEN_GAP_SECONDS)
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


class SentRequest:
    """One request with its streamed tokens and its outcomes."""

    __slots__ = ('ended_at', 'outcomes', 'request', 'running', 'tokens')

    def __init__(self, request):
        self.request = request
        self.tokens = []
        self.outcomes = []
        self.running = None
        self.ended_at = 0.0

    @property
    def outcome(self):
        """The single outcome."""
        assert len(self.outcomes) == 1, self.outcomes
        return self.outcomes[0]


class World:
    """A node with virtual upstreams, and a hook for the events of calls.

    Attributes
    ==========

    hook : function
        ``hook(call, sink)`` returns the sink that replaces the given one.
    calls : list of Call
        Calls in the order in which they were sent.
    called_names : list of str
        Upstreams of these calls, in the same order.
    cancelled : list of str
        Attempts that the node cancelled.
    still : set of str
        Upstreams that stand still: what they send is held.
    held : list of tuple
        Upstream, attempt, sink and event of what is held, in order.
    links : dict
        Maps an upstream to the state of the link to it.
    process : Process
        The host's process, which can be paused.
    sent : list of SentRequest
        Requests in the order in which they were started.
    """

    __slots__ = (
        'called_names',
        'calls',
        'cancelled',
        'clock',
        'held',
        'hook',
        'links',
        'node',
        'process',
        'sent',
        'still',
        'upstreams',
    )

    def __init__(self, manifest, seed=1):
        self.clock = Clock()
        self.process = Process(self.clock)
        self.calls = []
        self.cancelled = []
        self.called_names = []
        self.links = {}
        self.sent = []
        self.still = set()
        self.held = []
        self.hook = _unchanged
        self.upstreams = _upstreams(self.clock, manifest)
        network = VirtualNetwork(
            self.clock,
            self.upstreams,
            lambda origin, name: _LATENCY_SECONDS,
            lambda origin, name: self.links.get(name, UP),
        )
        environment = {'POLLENSTILE_HOST': 'h', 'POLLENSTILE_DOMAIN': 'here'}
        self.node = build_node(
            self.process,
            Random(seed),
            settings_from(None, ENTRY, environment),
            self._hook_transport(network.transport_from('h')),
        )
        self.node.in_force.offer(1, text_from_manifest(manifest), 'test')

    def _hook_transport(self, transport):
        def start(name, upstream, call, sink):
            self.calls.append(call)
            self.called_names.append(name)
            hooked = self.hook(call, sink)

            def hold_or_pass(event):
                if name in self.still:
                    self.held.append((name, call.attempt, hooked, event))
                    return
                self.process.deliver(hooked, event)

            cancel = transport(name, upstream, call, hold_or_pass)

            def cancel_and_record():
                self.cancelled.append(call.attempt)
                cancel()

            return cancel_and_record

        return start

    def go_on(self, names=None):
        """Let all upstreams, or those of the names, go on where they were."""
        moving = set(self.upstreams if names is None else names)
        self.still -= moving
        held = self.held
        self.held = []
        for name, attempt, sink, event in held:
            if name not in moving:
                self.held.append((name, attempt, sink, event))
            elif attempt not in self.cancelled:
                sink(event)

    def send(self, name, content='leak', budget=None, key=''):
        """Start a request; return its record."""
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
        sent = SentRequest(request)
        self.sent.append(sent)
        sent.running = Deferred.fromCoroutine(
            run_request(self.node.core, request, sent.tokens.append),
        )
        self.node.track(sent.running)
        sent.running.addBoth(self._record_outcome, sent)
        return sent

    def pipeline(self, name):
        """Return the declaration of a pipeline."""
        snapshot = self.node.in_force.snapshot
        return snapshot.manifest.pipelines[name]

    def _record_outcome(self, outcome, sent):
        sent.outcomes.append(outcome)
        sent.ended_at = self.clock.seconds()

    def in_time(self):
        """Return whether each request ended before its deadline."""
        return all(
            sent.ended_at <= sent.request.deadline + _ROUNDING_SECONDS
            for sent in self.sent
        )

    def set_fault(self, pool, name, value):
        """Set a fault of all upstreams whose names start with ``pool``."""
        for upstream in self.upstreams.values():
            if upstream.name.startswith(pool):
                setattr(upstream.faults, name, value)

    def wait(self, seconds):
        """Advance the virtual clock."""
        advance_exactly(self.clock, seconds)

    def runs(self):
        """Return the attempts that upstreams ran."""
        return [
            run for upstream in self.upstreams.values() for run in upstream.runs
        ]

    def total(self, name):
        """Return the value of a counter."""
        return self.node.metrics.total(name)
