"""Whole entry hosts over a store, in virtual time.

Explanation
===========

The hosts are the daemons that run in production, with their hubs, watches and
relay; only ports, connections between hosts and the store are stand-ins. A
host's way to the store can be refused or fall silent while others are served.
"""

from dataclasses import dataclass, field
from random import Random

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed

from pollenstile.bench._storepath import StorePath
from pollenstile.forward import (
    DRAINED,
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

# Seconds that the virtual clock moves at a time.
STEP = 0.01
_COARSE_STEP = 0.05
# Seconds one way between hosts of a domain.
_WAY = 0.0005
# Seconds of a call of the store.
_STORE_SECONDS = 0.004
# Seconds until all hosts have started and follow a reader.
_SETTLE = 8.0
_PORT = 1
_DOMAIN = 'd'
# The kind of the upstreams' entries, and the one upstream that there is.
_UPSTREAMS = 'upstreams'
_UPSTREAM = 'u'


class VirtualReactor(VirtualClock):
    """A clock whose ports take no connections."""

    __slots__ = ()

    def listenTCP(self, number, factory, backlog=0, interface=''):
        """Return a port; called by the daemon."""
        return _Port(interface, number)


class _Port:
    """A port on which nobody calls."""

    __slots__ = ('address',)

    def __init__(self, host, number):
        self.address = IPv4Address('TCP', host, number)

    def getHost(self):
        """Return its address; called by the daemon."""
        return self.address

    def stopListening(self):
        """End at once; called by the daemon."""
        return succeed(None)


def _table(value):
    if not isinstance(value, int):
        raise ValueError('no version')
    return RouteTable(value)


def _upstream(name, value):
    if isinstance(value, dict):
        return Upstream(name, 's', value['address'], value['domain'])
    return Upstream(name, 's', 'u:1', _DOMAIN, leaving=value == 'leaving')


@dataclass(slots=True, frozen=True)
class _Adapter:
    """What a daemon asks of its platform; a configuration is its number."""

    names: HeaderNames = field(default_factory=HeaderNames)
    codec: PlainCodec = field(default_factory=PlainCodec)
    decode_table: object = _table
    decode_upstream: object = _upstream


class DomainHost:
    """One entry host.

    Attributes
    ==========

    domain : str
        Its failure domain.
    path : StorePath
        Its way to the store.
    frozen : bool
        Whether it answers nobody and does nothing.
    gone : bool
        Whether its process has ended.
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
            _Adapter(),
            Random(name),
            world.clock.seconds,
            log,
        )
        hub = self.daemon.parts.hub
        hub.dialer.connect = world.wires.connect_from(self.address)
        world.wires.hubs[self.address] = hub
        self.daemon.start()

    @property
    def core(self):
        """Return what its requests share."""
        return self.daemon.parts.core

    @property
    def configuration(self):
        """Return its configuration."""
        return self.core.configuration

    @property
    def version(self):
        """Return the version in force."""
        return self.configuration.table.version

    @property
    def following(self):
        """Return the reader that it follows; empty where it reads itself."""
        return self.daemon.parts.relay.follower.following

    def knows_leaving(self):
        """Return whether it knows that the upstream leaves."""
        registry = self.core.registry
        return registry.upstreams[_UPSTREAM].leaving

    def knows_drained(self):
        """Return whether it knows of the drained failure domain."""
        registry = self.core.registry
        return bool(registry.drained)

    def order(self):
        """Return the hosts in the order in which they read the store."""
        return self.daemon.parts.relay.readers.order

    def end(self):
        """End its process without a word."""
        self.gone = True
        self.daemon.parts.relay.follower.stop()
        self.configuration.loop.running = False
        self.daemon.watches.stop()
        self.daemon.review.stop()
        self.daemon.parts.hub.stop()


class DomainWorld:
    """Hosts of one failure domain or more, all started and following.

    Parameters
    ==========

    count : int
        Hosts.
    domains : int
        Failure domains, among which they are dealt.
    bounds : dict
        Settings of the hosts, by name.

    Attributes
    ==========

    hosts : dict
        By name, by domain, in the order in which they read the store.
    cut : set of str
        Failure domains that are cut off from all others.
    logged : list of tuple
        Seconds, host, event and fields.
    """

    __slots__ = (
        'bounds',
        'clock',
        'cut',
        'hosts',
        'logged',
        'store',
        'wires',
    )

    def __init__(self, count, domains=1, **bounds):
        self.bounds = bounds
        self.cut = set()
        self.clock = VirtualReactor()
        self.store = MemoryStore(self.clock)
        self.wires = VirtualWires(self.clock, _way, self._is_cut)
        self.logged = []
        self.write_configuration(1)
        self._write(_UPSTREAMS, _UPSTREAM, 'ready')
        self.store.latency = _STORE_SECONDS
        self.hosts = {}
        for number in range(count):
            self.add_host(f'h{number}', _domain(number % domains))
        self.advance(_SETTLE)
        order = [
            name
            for number in range(min(count, domains))
            for name in self.hosts[f'h{number}'].order()
        ]
        self.hosts = {name: self.hosts[name] for name in order}

    def add_host(self, name, domain):
        """Start a host; return it."""
        log = self._log_of(name)
        self.hosts[name] = DomainHost(self, name, domain, log)
        return self.hosts[name]

    def advance(self, seconds, look=None):
        """Let time pass; call a function at each step."""
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            if look is not None:
                look()

    def advance_coarsely(self, seconds):
        """Let a long time pass, in which nobody looks."""
        for _ in range(round(seconds / _COARSE_STEP)):
            self.clock.advance(_COARSE_STEP)

    def write_configuration(self, version):
        """Write a configuration; return once the store has acknowledged it."""
        self._write('config', 'main', version)

    def let_upstream_leave(self):
        """Write that the upstream leaves."""
        self._write(_UPSTREAMS, _UPSTREAM, 'leaving')

    def drain(self):
        """Write that a failure domain is drained."""
        self._write(DRAINED, _DOMAIN, {})

    def readers(self):
        """Return the hosts that others of their domain read the store by."""
        by_domain = {}
        for host in self.hosts.values():
            by_domain.setdefault(host.domain, []).append(host)
        return [host for own in by_domain.values() for host in own[:2]]

    def running(self):
        """Return the hosts that run."""
        return [
            host
            for host in self.hosts.values()
            if not (host.frozen or host.gone)
        ]

    def hosts_in_contact(self):
        """Return the hosts that run and are in touch with the store."""
        return [host for host in self.running() if host.path.is_in_touch()]

    def calls(self):
        """Return the calls of the store that all hosts have made."""
        return sum(host.path.calls for host in self.hosts.values())

    def _write(self, kind, name, value):
        done = Deferred.fromCoroutine(self.store.put(kind, name, value))
        while not done.called:
            self.clock.advance(STEP)

    def _is_cut(self, near, far):
        by_address = {host.address: host for host in self.hosts.values()}
        ends = [by_address.get(one) for one in (near, far)]
        known = [host for host in ends if host is not None]
        if any(host.frozen for host in known):
            return True
        domains = {host.domain for host in known}
        return len(domains) > 1 and bool(domains & self.cut)

    def _log_of(self, name):
        def log(event, level='info', **fields):
            now = self.clock.seconds()
            self.logged.append((now, name, event.name, fields))

        return log


def _way(near, far):
    return _WAY


def _domain(number):
    return f'{_DOMAIN}{number}' if number else _DOMAIN
