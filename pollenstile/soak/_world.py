"""Simulated deployment of one run: hosts, upstreams, store and links."""

import random
from functools import partial

from twisted.internet.task import Clock

from pollenstile.fleet import CONFIG_KIND, CONFIG_NAME
from pollenstile.fleet._platform_reader import HISTORY_FIELD, MARK_FIELD
from pollenstile.manifest import text_from_manifest
from pollenstile.peer import VirtualWires
from pollenstile.soak._channel import Links
from pollenstile.soak._hosts import Host
from pollenstile.soak._manifest import DRAFT_ATTEMPTS, soak_manifest
from pollenstile.soak._records import Records
from pollenstile.soak._trace import Trace
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.virtual import Times, VirtualNetwork, VirtualUpstream

_HOST_DOMAINS = {'n1': 'north', 'n2': 'north', 's1': 'south', 'w1': 'west'}
_SAME_DOMAIN_LATENCY = 0.0005
_OTHER_DOMAIN_LATENCY = 0.0015
# Marks that a stored configuration has of the writes before it.
_HISTORY_LENGTH = 16
# Seconds after a return of the store until the operator writes again.
_REWRITE_SECONDS = 0.5
STORE_LATENCY_SECONDS = 0.004
_CALL_SECONDS = {'stage': 0.02, 'service': 0.03, 'engine': 0.05}
_TOKEN_GAP_SECONDS = 0.01
_START_SECONDS = 1000.0


class World:
    """State of one run.

    Parameters
    ==========

    seed : int
        Seed of the run's only random generator.
    log : function
        Log function for events.
    attempts : int
        Most attempts of the stage of the pipeline ``draft``.

    Attributes
    ==========

    hosts : dict
        The running or last :class:`Host` by name.
    former_hosts : list of Host
        Earlier runs of the hosts.
    manifest_of : function
        Returns the manifest of a revision.
    former_upstreams : list of VirtualUpstream
        Upstreams that were replaced.
    """

    __slots__ = (
        'caller_requests',
        'clock',
        'former_hosts',
        'former_upstreams',
        'hosts',
        'links',
        'manifest',
        'manifest_of',
        'network',
        'records',
        'revision',
        'rng',
        'store',
        'texts',
        'trace',
        'upstreams',
        'wires',
    )

    def __init__(self, seed, log, attempts=DRAFT_ATTEMPTS):
        self.clock = Clock()
        # Boot numbers are derived from the start time; 0 means none.
        self.clock.advance(_START_SECONDS)
        self.rng = random.Random(seed)
        self.trace = Trace(self.clock)
        self.records = Records(self.trace, log)
        self.links = Links()
        self.caller_requests = []
        self.former_hosts = []
        self.former_upstreams = []
        self.revision = 0
        self.manifest_of = partial(soak_manifest, attempts=attempts)
        self.manifest = self.manifest_of()
        self.store = MemoryStore(self.clock)
        self.store.latency = STORE_LATENCY_SECONDS
        self.texts = []
        self.wires = VirtualWires(
            self.clock,
            lambda one, other: _OTHER_DOMAIN_LATENCY,
            self.links.is_partitioned,
        )
        self.upstreams = self._build_upstreams()
        self.network = VirtualNetwork(
            self.clock,
            self.upstreams,
            self._latency,
            self.links.state,
        )
        self.hosts = {}
        for name in _HOST_DOMAINS:
            self.start(name)

    def chance(self, share):
        """Return True with a given probability."""
        return self.rng.random() < share

    def exchanges(self):
        """Return the exchanges of all callers."""
        return [
            exchange
            for caller_request in self.caller_requests
            for exchange in caller_request.exchanges
        ]

    def all_hosts(self):
        """Return every run of every host."""
        return [*self.former_hosts, *self.hosts.values()]

    def start(self, name):
        """Start a host that is not running."""
        previous = self.hosts.get(name)
        if previous is not None:
            self.former_hosts.append(previous)
        self.hosts[name] = Host(self, name, _HOST_DOMAINS[name])

    def balancer_targets(self):
        """Return the hosts that the load balancer may choose.

        Explanation
        ===========

        The balancer detects failures late, so killed hosts are included.
        """
        return list(self.hosts.values())

    def replace(self, name):
        """Start a new incarnation of an upstream at the same address."""
        old = self.upstreams[name]
        self.former_upstreams.append(old)
        new = self._build_upstream(name, old.kind, old.slots.max_running)
        number = sum(
            upstream.name == name for upstream in self.former_upstreams
        )
        new.slots.incarnation = f'{name}-{number + 1}'
        self.upstreams[name] = new
        self.records.leaving_since.pop(name, None)

    def all_upstreams(self):
        """Return all upstreams, including those that were replaced."""
        return [*self.former_upstreams, *self.upstreams.values()]

    def apply_configuration(self):
        """Write the next revision of the configuration to the store."""
        self.revision += 1
        text = text_from_manifest(self.manifest_of(self.revision))
        self.texts.append(text)
        value = self._newest_value()
        condition = None
        if self.store.objects.era is not None:
            # As an operator's command does: without it, a slow write of an
            # older text replaces a newer one, and hosts rightly take it.
            condition = self.store.objects.version_of(CONFIG_KIND, CONFIG_NAME)
        return self.store.put(CONFIG_KIND, CONFIG_NAME, value, condition)

    def return_store(self, copy):
        """Let the store come back from a copy; the operator writes again."""
        self.trace.note('store-returns')
        self.store.return_from(copy)
        self.clock.callLater(_REWRITE_SECONDS, self._write_newest)

    def _newest_value(self):
        marks = [f'mark {number}' for number in range(len(self.texts))]
        return {
            'text': self.texts[-1],
            MARK_FIELD: marks[-1],
            HISTORY_FIELD: marks[-_HISTORY_LENGTH:],
        }

    def _write_newest(self):
        value = self._newest_value()
        if self.store.objects.value_of(CONFIG_KIND, CONFIG_NAME) != value:
            self.store.write_at_once(CONFIG_KIND, CONFIG_NAME, value)

    def _build_upstreams(self):
        upstreams = {}
        for pool in self.manifest.pools.values():
            for name, upstream in pool.upstreams.items():
                upstreams[name] = self._build_upstream(
                    name,
                    pool.kind,
                    upstream.slots,
                )
        return upstreams

    def _build_upstream(self, name, kind, slots):
        usual = _CALL_SECONDS[kind]
        times = Times(
            lambda: usual * self.rng.uniform(0.5, 2.0),
            lambda: _TOKEN_GAP_SECONDS * self.rng.uniform(0.5, 2.0),
        )
        return VirtualUpstream(self.clock, name, kind, slots, times)

    def _latency(self, host, upstream):
        usual = (
            _SAME_DOMAIN_LATENCY
            if upstream.endswith(_HOST_DOMAINS[host])
            else _OTHER_DOMAIN_LATENCY
        )
        return usual * self.rng.uniform(0.9, 1.5)
