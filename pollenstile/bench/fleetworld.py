"""Simulate the fleet code of entry hosts in virtual time.

Explanation
===========

The production hubs, sessions, tables and watches of several hosts run over
virtual connections and stores in memory. Benchmarks and tests use this module;
the simulated hosts serve no requests.
"""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

from twisted.internet.defer import Deferred, succeed

from pollenstile.entry import build_fleet, build_node
from pollenstile.fleet import CONFIG_KIND, CONFIG_NAME
from pollenstile.manifest import (
    Domain,
    Manifest,
    Model,
    Pipeline,
    Pool,
    Stage,
    Team,
    Upstream,
    text_from_manifest,
)
from pollenstile.ops.logs import silent_log
from pollenstile.peer import VirtualWires
from pollenstile.platform import Budget, PacedStore
from pollenstile.standin.clock import VirtualClock
from pollenstile.standin.hostlist import MemoryHosts
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.partition import PartitionedStore
from pollenstile.upstream import Load

STORE_LATENCY = 0.004
DOMAIN_LATENCY = 0.0015
NEAR_LATENCY = 0.0003
STEP = 0.01
_SEEDS = 3
_SETTLE_SECONDS = 8.0
_FIRST_BOOT = 1000.0


class FleetUpstream:
    """State of a simulated upstream that its load reports contain."""

    __slots__ = ('asked', 'dead', 'leaving', 'number')

    def __init__(self):
        self.number = 1
        self.leaving = False
        self.dead = False
        self.asked = 0

    def load(self, name):
        """Return the load report of the upstream."""
        return Load(
            leaving=self.leaving,
            incarnation=f'{name}-{self.number}',
        )

    def restart(self):
        """Replace the process by a new one with this name and address."""
        self.number += 1
        self.leaving = False


class FleetHost:
    """One simulated entry host and its components."""

    __slots__ = ('address', 'domain', 'events', 'fleet', 'name', 'node')

    def __init__(self, name, domain, address):
        self.name = name
        self.domain = domain
        self.address = address
        self.events = []
        self.node = None
        self.fleet = None

    @property
    def version(self):
        """The configuration version in force."""
        return self.node.in_force.version

    @property
    def table(self):
        """The table of known hosts and upstreams."""
        return self.fleet.table

    @property
    def hub(self):
        """The hub with the links to peers."""
        return self.fleet.hub

    @property
    def tracker(self):
        """The upstream tracker that routing reads."""
        return self.node.core.tracker

    def log(self, event, level='info', **fields):
        """Record the name and the fields of a log event."""
        self.events.append((event.name, fields))


def fleet_manifest(domains, upstreams, weight=1.0, teams=1):
    """Return a manifest with engines spread over failure domains.

    Parameters
    ==========

    domains : iterable of str
        Names of the failure domains.
    upstreams : int
        The number of engines.
    weight : float
        The weight of each team.
    teams : int
        The number of teams.
    """
    names = list(domains)
    engines = {}
    for number in range(upstreams):
        domain = names[number % len(names)]
        engines[f'engine-{number}'] = Upstream(domain, f'10.9.0.1:{number + 1}')
    digests = [f'{number:064d}' for number in range(teams)]
    return Manifest(
        name='fleet',
        domains={name: Domain('here') for name in names},
        models={'demo': Model('1')},
        pools={'engines': Pool('engine', engines, models=['demo'])},
        pipelines={
            'draft': Pipeline(
                4000,
                ['team-0'],
                [Stage('generate', 'engines', model='demo', max_tokens=8)],
            ),
        },
        teams={
            f'team-{number}': Team([digest], weight=weight)
            for number, digest in enumerate(digests)
        },
    )


class FleetWorld:
    """Simulated hosts with their connections, platform and upstreams.

    Parameters
    ==========

    manifest : Manifest
        The first configuration; it defines the failure domains of the fleet.
    hosts : int
        The number of entry hosts, spread over the domains.
    seed : int
        Seed of all random choices.
    keep_events : bool
        Whether hosts record their log events.

    Attributes
    ==========

    cut_platform : set of str
        Domains that cannot reach the platform.
    cut_pairs : set of frozenset
        Pairs of domains that are partitioned from each other.
    host_locations : dict
        Domain and address of each host, by name.
    """

    __slots__ = (
        'clock',
        'cut_pairs',
        'cut_platform',
        'host_locations',
        'hosts',
        'keep_events',
        'key',
        'list',
        'manifest',
        'random',
        'seeds',
        'starts',
        'store',
        'upstreams',
        'wires',
    )

    def __init__(self, manifest, hosts, seed=1, *, keep_events=True):
        self.clock = VirtualClock()
        self.clock.advance(_FIRST_BOOT)
        self.random = Random(seed)
        self.manifest = manifest
        self.keep_events = keep_events
        self.key = 'shared'
        self.hosts = {}
        self.host_locations = {}
        self.starts = 0
        self.cut_platform = set()
        self.cut_pairs = set()
        self.store = MemoryStore(self.clock)
        self.store.latency = STORE_LATENCY
        self.list = MemoryHosts(self.clock)
        self.wires = VirtualWires(self.clock, self._latency, self._is_cut)
        self.upstreams = {}
        for pool in manifest.pools.values():
            for name in pool.upstreams:
                self.upstreams[name] = FleetUpstream()
        domains = list(manifest.domains)
        for number in range(hosts):
            domain = domains[number % len(domains)]
            self.host_locations[f'{domain}-{number}'] = (
                domain,
                f'10.0.{number // 250}.{number % 250 + 1}:82',
            )
        self.seeds = [place[1] for place in self.host_locations.values()][
            :_SEEDS
        ]

    def put(self, text, if_version=None):
        """Write a configuration and return a Deferred of the outcome."""
        value = {'text': text, 'apply': f'{self.random.getrandbits(64):x}'}
        return Deferred.fromCoroutine(
            self.store.put(CONFIG_KIND, CONFIG_NAME, value, if_version),
        )

    def start(self, name, key=None, boot=None):
        """Start a host as a new process and return it."""
        domain, address = self.host_locations[name]
        self.starts += 1
        host = FleetHost(name, domain, address)
        random = Random(f'{name}/{self.starts}/{self.random.random()}')
        settings = self._settings(host, self.key if key is None else key)
        log = host.log if self.keep_events else silent_log
        host.node = build_node(self.clock, random, settings, None, log=log)
        host.fleet = build_fleet(
            host.node,
            settings,
            self.wires.connect_from(address),
            self._load_reader(host),
            store=self._store(host, random, log),
            read_hosts=self._hosts_reader(host),
        )
        if boot is not None:
            host.hub.hello = replace(host.hub.hello, boot=boot)
        self.hosts[name] = host
        self.wires.hubs[address] = host.fleet.hub
        host.fleet.start()
        return host

    def kill(self, name):
        """End the process of a host without notifying peers."""
        host = self.hosts.pop(name)
        host.fleet.hub.stopped = True
        host.fleet.stop()
        return host

    def leave(self, name):
        """Let a host announce that it leaves, then stop it, as in a restart."""
        self.hosts[name].fleet.leave()
        self.run(1.0)
        host = self.hosts.pop(name)
        host.fleet.stop()

    def run(self, seconds):
        """Advance the virtual clock in steps.

        Explanation
        ===========

        Each message is delivered at the end of a step, so its latency is
        rounded up to a multiple of the step.
        """
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)

    def run_until(self, condition, most, step=STEP):
        """Advance the virtual clock until a condition holds.

        Parameters
        ==========

        condition : function
            Returns whether to stop.
        most : float
            Limit of the waiting time in seconds.
        step : float
            Seconds of each step of the clock.

        Returns
        =======

        float or None
            Elapsed seconds; None if the condition does not hold within
            ``most`` seconds.
        """
        started = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - started > most:
                return None
            self.clock.advance(step)
        return self.clock.seconds() - started

    def versions(self):
        """Return the configuration version in force at each host."""
        return {name: host.version for name, host in self.hosts.items()}

    def all_have(self, version):
        """Return whether a version is in force at every running host."""
        return set(self.versions().values()) == {version}

    def dispatching_hosts(self, upstream):
        """Return the names of the hosts that would send work to an upstream."""
        now = self.clock.seconds()
        dispatching_hosts = []
        for name, host in self.hosts.items():
            state = host.tracker.state(upstream)
            if not state.leaving and state.ejected_until <= now:
                dispatching_hosts.append(name)
        return dispatching_hosts

    def _settings(self, host, key):
        return SimpleNamespace(
            host=host.name,
            domain=host.domain,
            max_running=100,
            peer_key=key,
            peer_listen=_split_address(host.address),
            peers=[_split_address(seed) for seed in self.seeds],
        )

    def _store(self, host, random, log):
        store = PartitionedStore(
            self.store,
            lambda: host.domain in self.cut_platform,
        )
        budget = Budget(20.0, 40.0, self.clock.seconds())
        return PacedStore(store, self.clock, random, budget, log)

    def _hosts_reader(self, host):
        def read_hosts():
            if host.domain in self.cut_platform:
                return Deferred()
            return self.list.listed()

        return read_hosts

    def _load_reader(self, host):
        def read_load(name, declared):
            upstream = self.upstreams[name]
            upstream.asked += 1
            pair = frozenset((host.domain, declared.domain))
            if upstream.dead or pair in self.cut_pairs:
                return succeed(None)
            return succeed(upstream.load(name))

        return read_load

    def _domain_of(self, address):
        hub = self.wires.hubs.get(address)
        return hub.hello.domain if hub else ''

    def _latency(self, origin, address):
        if self._domain_of(origin) == self._domain_of(address):
            return NEAR_LATENCY
        return DOMAIN_LATENCY

    def _is_cut(self, origin, address):
        pair = frozenset((self._domain_of(origin), self._domain_of(address)))
        return pair in self.cut_pairs


def start_world(manifest, hosts, seed=1, **options):
    """Return a world after the first configuration is in force everywhere."""
    world = FleetWorld(manifest, hosts, seed, **options)
    world.put(text_from_manifest(manifest), 0)
    for name in world.host_locations:
        world.start(name)
    world.run(_SETTLE_SECONDS)
    return world


def changed_text(manifest, **changes):
    """Return the text of a manifest with changed fields."""
    return text_from_manifest(replace(manifest, **changes))


def cut_domain(world, domain):
    """Partition a domain from all other domains."""
    for other in world.manifest.domains:
        if other != domain:
            world.cut_pairs.add(frozenset((domain, other)))


def _split_address(address):
    host, _, port = address.rpartition(':')
    return host, int(port)
