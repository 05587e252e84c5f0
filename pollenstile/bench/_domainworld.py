"""Simulate complete entry hosts and their store in virtual time.

Explanation
===========

The hosts run the daemons that run in production, with their hubs, watches and
relay. Only ports, connections between hosts and the store are simulated. The
store calls of one host can be refused or left unanswered while the store
answers other hosts.
"""

from dataclasses import dataclass, field
from functools import partial
from random import Random

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed

from pollenstile.bench._storepath import StorePath
from pollenstile.forward import (
    DRAINED,
    PEER_KEY,
    ForwardDaemon,
    HeaderNames,
    HostSettings,
    PlainCodec,
    Upstream,
)
from pollenstile.peer import VirtualWires
from pollenstile.routes import RouteTable
from pollenstile.standin.clock import VirtualClock
from pollenstile.standin.objectapi import MemoryStore

# Seconds by which the virtual clock advances in each step.
STEP = 0.01
_COARSE_STEP = 0.05
# One-way latency between hosts, in seconds.
_ONE_WAY_SECONDS = 0.0005
# Latency of a store call, in seconds.
_STORE_SECONDS = 0.004
# Seconds after which all hosts have started and follow a reader.
_SETTLE_SECONDS = 8.0
_PORT = 1
_DOMAIN = 'd'
# The object kind of upstream entries, and the name of the only upstream.
_UPSTREAMS = 'upstreams'
_UPSTREAM = 'u'
# Fingerprints, which break ties between upstreams, depend on this key: with a
# random one no run would repeat another.
_KEY = {'key': 'simulated'}


class VirtualReactor(VirtualClock):
    """A virtual clock with a ``listenTCP`` that accepts no connections."""

    __slots__ = ()

    def listenTCP(self, number, factory, backlog=0, interface=''):
        """Return a port that accepts no connections."""
        return _Port(interface, number)


class _Port:
    """A port that accepts no connections."""

    __slots__ = ('address',)

    def __init__(self, host, number):
        self.address = IPv4Address('TCP', host, number)

    def getHost(self):
        """Return the address of the port."""
        return self.address

    def stopListening(self):
        """Return a Deferred that has already fired."""
        return succeed(None)


def _table(world, value):
    if not isinstance(value, int):
        raise ValueError('no version')
    return RouteTable(value, world.by_host, world.services, world.keys)


def _upstream(name, value):
    if isinstance(value, dict):
        return Upstream(
            name,
            value.get('service', 's'),
            value['address'],
            value['domain'],
            slots=value.get('slots', 1),
            leaving=value.get('leaving', False),
            software=value.get('software', ''),
        )
    return Upstream(name, 's', 'u:1', _DOMAIN, leaving=value == 'leaving')


@dataclass(slots=True, frozen=True)
class _Adapter:
    """Platform adapter of a daemon; a configuration is a version number."""

    decode_table: object
    names: HeaderNames = field(default_factory=HeaderNames)
    codec: PlainCodec = field(default_factory=PlainCodec)
    decode_upstream: object = _upstream


class _ListeningHub:
    """A hub as a target of connections.

    Explanation
    ===========

    A host listens for peers once it has read the key that all hosts share.
    """

    __slots__ = ('accept', 'hub')

    def __init__(self, hub):
        self.hub = hub
        self.accept = hub.accept

    @property
    def stopped(self):
        """Whether the hub accepts no connections."""
        return self.hub.stopped or not self.hub.keys


class DomainHost:
    """One simulated entry host.

    Attributes
    ==========

    domain : str
        The failure domain of the host.
    path : StorePath
        The connection of the host to the store.
    frozen : bool
        Whether the process is paused: it neither answers nor works.
    gone : bool
        Whether the process has ended.
    """

    __slots__ = (
        'address',
        'daemon',
        'domain',
        'frozen',
        'gone',
        'name',
        'path',
    )

    def __init__(self, world, name, domain, log):
        self.name = name
        self.domain = domain
        self.address = f'{name}:{_PORT}'
        self.frozen = False
        self.gone = False
        self.path = StorePath(world.store, world.clock)
        self.path.watch_delay = world.watch_delay(name)
        place = (name, _PORT)
        self.daemon = ForwardDaemon(
            world.clock,
            HostSettings(
                name,
                domain,
                place,
                place,
                place,
                **world.bounds,
            ),
            self.path,
            _Adapter(partial(_table, world)),
            Random(name),
            world.clock.seconds,
            log,
        )
        self.daemon.start_progress.used_seconds = _no_seconds
        hub = self.daemon.parts.hub
        hub.dialer.connect = world.wires.connect_from(self.address)
        world.wires.hubs[self.address] = _ListeningHub(hub)
        self.daemon.start()

    @property
    def core(self):
        """Return the state that all requests of the host share."""
        return self.daemon.parts.core

    @property
    def configuration(self):
        """Return the configuration of the host."""
        return self.core.configuration

    @property
    def version(self):
        """Return the configuration version in force."""
        return self.configuration.table.version

    @property
    def following(self):
        """Return the followed reader; empty if the host reads the store."""
        return self.daemon.parts.relay.follower.following

    def knows_leaving(self):
        """Return whether the host has learned that the upstream is leaving."""
        registry = self.core.registry
        return registry.upstreams[_UPSTREAM].leaving

    def knows_drained(self):
        """Return whether the host has learned of the drained domain."""
        registry = self.core.registry
        return bool(registry.drained)

    def order(self):
        """Return the host names by their rank as readers of the store."""
        return self.daemon.parts.relay.readers.order

    def end(self):
        """End the process without notifying peers."""
        self.gone = True
        self.path.ended = True
        self.daemon.parts.relay.follower.stop()
        self.configuration.loop.running = False
        self.daemon.watches.stop()
        self.daemon.review.stop()
        self.daemon.parts.hub.stop()


class DomainWorld:
    """Started hosts of one or more failure domains, with their readers.

    Parameters
    ==========

    count : int
        The number of hosts.
    domains : int
        The number of failure domains; hosts are assigned round robin.
    has_upstream : bool
        Whether an upstream is registered from the start, which runs nothing.
    era : int or None
        The era that the store states at first.
    by_host : dict or None
        Routes of each configuration by host name; None for no routes.
    services : dict or None
        Services of each configuration by name; None for none.
    keys : dict or None
        Teams by key; None when callers need no keys.
    bounds : dict
        Settings of the hosts, by name.

    Attributes
    ==========

    hosts : dict
        Hosts by name, sorted by domain and then by rank as readers.
    cut : set of str
        Failure domains that are partitioned from all others.
    sides : dict
        Side of a partition of single hosts, by name.
    logged : list of tuple
        Log lines: time in seconds, host, event name and fields.
    on_event : function
        Called with host name, event and fields of each log line.
    watch_delay : function
        Takes the name of a host that starts; returns the seconds by which its
        answers to watches arrive late.
    ended_calls : int
        Store calls of processes that other ones of their name have replaced.
    """

    __slots__ = (
        'bounds',
        'by_host',
        'clock',
        'cut',
        'ended_calls',
        'hosts',
        'keys',
        'logged',
        'on_event',
        'services',
        'sides',
        'store',
        'watch_delay',
        'wires',
    )

    def __init__(
        self,
        count,
        domains=1,
        *,
        has_upstream=True,
        era=None,
        by_host=None,
        services=None,
        keys=None,
        **bounds,
    ):
        self.bounds = bounds
        self.by_host = by_host or {}
        self.services = services or {}
        self.keys = keys
        self.on_event = _ignore
        self.watch_delay = _no_delay
        self.cut = set()
        self.ended_calls = 0
        self.sides = {}
        self.clock = VirtualReactor()
        self.store = MemoryStore(self.clock)
        self.store.objects.era = era
        self.wires = VirtualWires(self.clock, _one_way_latency, self._is_cut)
        self.logged = []
        self._write(*PEER_KEY, _KEY)
        self.write_configuration(1)
        if has_upstream:
            self._write(_UPSTREAMS, _UPSTREAM, 'ready')
        self.store.latency = _STORE_SECONDS
        self.hosts = {}
        for number in range(count):
            self.add_host(f'h{number}', _domain(number % domains))
        self.advance(_SETTLE_SECONDS)
        order = [
            name
            for number in range(min(count, domains))
            for name in self.hosts[f'h{number}'].order()
        ]
        self.hosts = {name: self.hosts[name] for name in order}

    def add_host(self, name, domain):
        """Start a host and return it."""
        log = self._log_of(name)
        replaced = self.hosts.get(name)
        self.ended_calls += replaced.path.calls if replaced else 0
        self.hosts[name] = DomainHost(self, name, domain, log)
        return self.hosts[name]

    def advance(self, seconds, on_step=None):
        """Advance the virtual clock; call a function after each step."""
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            if on_step is not None:
                on_step()

    def advance_coarsely(self, seconds):
        """Advance the virtual clock by a long time, in coarser steps."""
        for _ in range(round(seconds / _COARSE_STEP)):
            self.clock.advance(_COARSE_STEP)

    def delay_watches(self, delay_of):
        """Let the answers to watches of all hosts arrive late from now on.

        Parameters
        ==========

        delay_of : function
            Takes the name of a host; returns the seconds.
        """
        self.watch_delay = delay_of
        for name, host in self.hosts.items():
            host.path.watch_delay = delay_of(name)

    def write_configuration(self, version):
        """Write a configuration and wait for the store to acknowledge it."""
        self._write('config', 'main', version)

    def mark_upstream_leaving(self):
        """Write an upstream entry that says that the upstream is leaving."""
        self._write(_UPSTREAMS, _UPSTREAM, 'leaving')

    def mark_domain_drained(self):
        """Write an entry that marks the first failure domain as drained."""
        self._write(DRAINED, _DOMAIN, {})

    def cut_off(self, domain):
        """Partition a failure domain from the others and from the store."""
        self.cut.add(domain)
        for host in self.hosts.values():
            host.path.silent = host.domain == domain

    def heal(self):
        """End all partitions of failure domains."""
        self.cut.clear()
        for host in self.hosts.values():
            host.path.silent = False

    def readers(self):
        """Return the first two hosts of each domain, which are its readers."""
        by_domain = {}
        for host in self.hosts.values():
            by_domain.setdefault(host.domain, []).append(host)
        return [host for members in by_domain.values() for host in members[:2]]

    def running(self):
        """Return the hosts that are neither frozen nor ended."""
        return [
            host
            for host in self.hosts.values()
            if not (host.frozen or host.gone)
        ]

    def hosts_in_contact(self):
        """Return the running hosts that the store answers."""
        return [host for host in self.running() if host.path.is_in_contact()]

    def calls(self):
        """Return the number of store calls that all hosts have made."""
        running = sum(host.path.calls for host in self.hosts.values())
        return self.ended_calls + running

    def _write(self, kind, name, value):
        done = Deferred.fromCoroutine(self.store.put(kind, name, value))
        while not done.called:
            self.clock.advance(STEP)

    def _is_cut(self, near, far):
        by_address = {host.address: host for host in self.hosts.values()}
        ends = [by_address.get(address) for address in (near, far)]
        known = [host for host in ends if host is not None]
        if any(host.frozen for host in known):
            return True
        if len({self.sides.get(host.name) for host in known}) > 1:
            return True
        domains = {host.domain for host in known}
        return len(domains) > 1 and bool(domains & self.cut)

    def _log_of(self, name):
        def log(event, level='info', **fields):
            now = self.clock.seconds()
            self.logged.append((now, name, event.name, fields))
            self.on_event(name, event, fields)

        return log


def _no_seconds():
    return 0.0


def _no_delay(name):
    return 0.0


def _ignore(name, event, fields):
    """Do nothing for a log line."""


def _one_way_latency(near, far):
    return _ONE_WAY_SECONDS


def _domain(number):
    return f'{_DOMAIN}{number}' if number else _DOMAIN
