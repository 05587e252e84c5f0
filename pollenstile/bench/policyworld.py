"""Simulate the entry hosts and upstreams of a deployment in virtual time."""

import random
from functools import partial

from pollenstile.bench import policymix
from pollenstile.bench.policyclock import HeapClock
from pollenstile.entry import build_node
from pollenstile.manifest import text_from_manifest
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.standin.virtual import (
    UP,
    Times,
    VirtualNetwork,
    VirtualUpstream,
)
from pollenstile.upstream import Reply

_HOSTS = 6
_NEAR_LATENCY = 0.0003
_FAR_LATENCY = 0.0015


class World:
    """Simulated hosts and upstreams, with the processing time of requests.

    Parameters
    ==========

    manifest : Manifest
        A manifest in chunks; see :func:`policymix.bench_manifest`.
    policy : Policy
        The policy of each host.
    seed : int
        Seed of all random choices.

    Attributes
    ==========

    worked : dict
        Seconds of processing by request and step.
    """

    __slots__ = (
        'clock',
        'domains',
        'manifest',
        'network',
        'nodes',
        'rng',
        'worked',
    )

    def __init__(self, manifest, policy, seed):
        self.clock = HeapClock()
        self.rng = random.Random(seed)
        self.manifest = manifest
        self.domains = {}
        self.worked = {}
        self.network = VirtualNetwork(
            self.clock,
            self._upstreams(),
            self._latency,
            _always_up,
        )
        self.nodes = []
        names = list(manifest.domains)
        for number in range(_HOSTS):
            domain = names[number % len(names)]
            self.nodes.append(self._node(f'h{number}', domain, policy))

    def _upstreams(self):
        upstreams = {}
        means = _pool_means(self.manifest)
        for pool_name, pool in self.manifest.pools.items():
            for name, upstream in pool.upstreams.items():
                self.domains[name] = upstream.domain
                upstreams[name] = VirtualUpstream(
                    self.clock,
                    name,
                    pool.kind,
                    upstream.slots,
                    self._times(pool.kind, means[pool_name]),
                )
        return upstreams

    def _times(self, kind, mean):
        gap = partial(policymix.sampled, self.rng, policymix.chunk_gap())
        if kind == 'engine':
            return Times(partial(policymix.first_token, self.rng), gap)
        return Times(partial(policymix.sampled, self.rng, mean), gap)

    def _latency(self, origin, name):
        return _NEAR_LATENCY if self.domains[name] == origin else _FAR_LATENCY

    def _node(self, host, domain, policy):
        settings = settings_from(
            None,
            ENTRY,
            {'POLLENSTILE_HOST': host, 'POLLENSTILE_DOMAIN': domain},
        )
        node = build_node(
            self.clock,
            random.Random(self.rng.getrandbits(32)),
            settings,
            self._transport(domain),
        )
        policy.apply(node)
        node.in_force.offer(1, text_from_manifest(self.manifest), 'bench')
        return node

    def _transport(self, domain):
        start = self.network.transport_from(domain)

        def measured(name, upstream, call, sink):
            def record_event(event):
                if isinstance(event, Reply):
                    self._record_work(call, event)
                sink(event)

            return start(name, upstream, call, record_event)

        return measured

    def _record_work(self, call, reply):
        request, step, _ = call.attempt.rsplit('/', 2)
        steps = self.worked.setdefault(request, {})
        steps[step] = reply.busy_ms / 1000


def _pool_means(manifest):
    """Return the mean time of a call to each pool, for pools without stream."""
    means = dict.fromkeys(manifest.pools, 0.05)
    for pipeline in manifest.pipelines.values():
        for stage in pipeline.stages:
            means[stage.pool] = stage.expect_ms / 1000
    return means


def _always_up(origin, name):
    return UP
