"""Hosts, upstreams, store, links and callers of one run."""

import random

from twisted.internet.task import Clock

from pollenstile.fleet import CONFIG_KIND, CONFIG_NAME
from pollenstile.manifest import text_from_manifest
from pollenstile.peer import VirtualWires
from pollenstile.soak._hosts import Host
from pollenstile.soak._manifest import soak_manifest
from pollenstile.soak._records import Records
from pollenstile.soak._trace import Trace
from pollenstile.soak._wire import Links
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.virtual import Times, VirtualNetwork, VirtualUpstream

_HOSTS = {'n1': 'north', 'n2': 'north', 's1': 'south', 'w1': 'west'}
_NEAR = 0.0005
_FAR = 0.0015
STORE_LATENCY = 0.004
_WORK = {'stage': 0.02, 'service': 0.03, 'engine': 0.05}
_GAP = 0.01
_FIRST_BOOT = 1000.0


class World:
    """Everything in one run.

    Parameters
    ==========

    seed : int
        Of the run's only random generator.
    log : function
        Writes events.

    Attributes
    ==========

    hosts : dict
        Name to the :class:`Host` that runs, or ran last.
    dead : list of Host
        Earlier starts.
    former : list of VirtualUpstream
        Upstreams that were replaced.
    """

    __slots__ = (
        'asks',
        'clock',
        'dead',
        'former',
        'hosts',
        'links',
        'manifest',
        'network',
        'records',
        'revision',
        'rng',
        'store',
        'trace',
        'upstreams',
        'wires',
    )

    def __init__(self, seed, log):
        self.clock = Clock()
        # Boot numbers come from the time of the start; 0 is none.
        self.clock.advance(_FIRST_BOOT)
        self.rng = random.Random(seed)
        self.trace = Trace(self.clock)
        self.records = Records(self.trace, log)
        self.links = Links()
        self.asks = []
        self.dead = []
        self.former = []
        self.revision = 0
        self.manifest = soak_manifest()
        self.store = MemoryStore(self.clock)
        self.store.latency = STORE_LATENCY
        self.wires = VirtualWires(
            self.clock,
            lambda one, other: _FAR,
            self.links.is_parted,
        )
        self.upstreams = self._built_upstreams()
        self.network = VirtualNetwork(
            self.clock,
            self.upstreams,
            self._latency,
            self.links.state,
        )
        self.hosts = {}
        for name in _HOSTS:
            self.start(name)

    def chance(self, share):
        """Return whether something of a probability happens."""
        return self.rng.random() < share

    def exchanges(self):
        """Return all that callers sent."""
        return [one for ask in self.asks for one in ask.exchanges]

    def all_hosts(self):
        """Return every start of every host."""
        return [*self.dead, *self.hosts.values()]

    def start(self, name):
        """Start a host that is not running."""
        former = self.hosts.get(name)
        if former is not None:
            self.dead.append(former)
        self.hosts[name] = Host(self, name, _HOSTS[name])

    def living(self):
        """Return the hosts that a caller may be sent to.

        Explanation
        ===========

        The balancer learns late, so dead hosts are among them.
        """
        return list(self.hosts.values())

    def replace(self, name):
        """Start an upstream anew: a new incarnation at the same address."""
        old = self.upstreams[name]
        self.former.append(old)
        new = self._built_upstream(name, old.kind, old.slots.max_running)
        number = sum(one.name == name for one in self.former)
        new.slots.incarnation = f'{name}-{number + 1}'
        self.upstreams[name] = new
        self.records.leaving.pop(name, None)

    def all_upstreams(self):
        """Return every upstream that ever was."""
        return [*self.former, *self.upstreams.values()]

    def apply(self):
        """Let an operator put another configuration."""
        self.revision += 1
        text = text_from_manifest(soak_manifest(self.revision))
        return self.store.put(CONFIG_KIND, CONFIG_NAME, {'text': text})

    def _built_upstreams(self):
        upstreams = {}
        for pool in self.manifest.pools.values():
            for name, upstream in pool.upstreams.items():
                upstreams[name] = self._built_upstream(
                    name,
                    pool.kind,
                    upstream.slots,
                )
        return upstreams

    def _built_upstream(self, name, kind, slots):
        usual = _WORK[kind]
        times = Times(
            lambda: usual * self.rng.uniform(0.5, 2.0),
            lambda: _GAP * self.rng.uniform(0.5, 2.0),
        )
        return VirtualUpstream(self.clock, name, kind, slots, times)

    def _latency(self, host, upstream):
        usual = _NEAR if upstream.endswith(_HOSTS[host]) else _FAR
        return usual * self.rng.uniform(0.9, 1.5)
