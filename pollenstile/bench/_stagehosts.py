"""Hosts with real hubs, stage clients and queues, in virtual time.

Explanation
===========

The upstreams are those of ``_stageworld``; between hosts there are sessions,
heartbeats and asks as between processes, over virtual connections.
"""

from collections import Counter
from functools import partial
from random import Random

from twisted.internet.defer import Deferred

from pollenstile.bench._stageworld import StageUpstream, stage_workers
from pollenstile.forward._members import PeerHost
from pollenstile.ops.logs import silent_log
from pollenstile.peer import (
    MIN_VERSION,
    VERSION,
    Hello,
    Hub,
    VirtualWires,
    parse_keys,
)
from pollenstile.stagework import Owner, StageClient, StageService
from pollenstile.standin.clock import VirtualClock

# Seconds that the virtual clock moves at a time.
_STEP = 0.002
# As a forwarding host has them: see its assembly and its daemon.
_TICK = 0.2
_BEAT = 0.35
_SILENCE = 1.2
_REVIEW = 0.25
# Seconds until all links are there.
_SETTLE = 2.0


class StageHost:
    """One host: its hub, its client, its queues.

    Attributes
    ==========

    dead : bool
        Whether it has lost power.
    """

    __slots__ = ('client', 'dead', 'fleet', 'hub', 'name', 'owners')

    def __init__(self, fleet, name, boot=1):
        self.fleet = fleet
        self.name = name
        self.dead = False
        self.owners = {}
        self.hub = Hub(
            fleet.clock,
            Random(name),
            Hello(VERSION, MIN_VERSION, name, 'd', name, boot),
            parse_keys('key'),
            fleet.wires.connect_from(name),
            silent_log,
        )
        self.hub.tick = _TICK
        self.hub.beat_period = _BEAT
        self.hub.silence_limit = _SILENCE
        fleet.wires.hubs[name] = self.hub
        self.client = StageClient(name, self.hub, fleet.clock, self.owner)
        self.client.limits = fleet.services
        self.client.domains = fleet.domains
        StageService(self.client)

    def owner(self, service):
        """Return this host's queue of a service."""
        owner = self.owners.get(service)
        if owner is None:
            owner = Owner(
                self.fleet.clock,
                service,
                self._call,
                self._free,
                self.fleet.spend,
            )
            members = stage_workers(service, self.fleet.count)
            owner.configure(self.fleet.services[service], members)
            self.owners[service] = owner
        return owner

    def review(self):
        """Keep links to owners, and hand queues over, again and again."""
        if self.dead:
            return
        ownership = self.client.ownership
        self.hub.dialer.wanted = ownership.wanted_links(self.fleet.services)
        self.client.review(self.owners, leaving=False)
        self.fleet.clock.callLater(_REVIEW, self.review)

    def lose_power(self):
        """End without a word: its links fall silent, its calls are lost."""
        self.dead = True
        self.fleet.dark.add(self.name)
        self.hub.stopped = True

    def _call(self, worker, pieces, seconds):
        if self.dead:
            return Deferred()
        upstream = self.fleet.upstreams[worker.address]
        self.fleet.callers[pieces[0].group.service, self.name] += 1
        made = upstream.call(pieces, self.fleet.exists)
        return made.addCallback(self._unless_dead)

    def _unless_dead(self, made):
        return Deferred() if self.dead else made

    def _free(self, address, handles):
        for handle in handles:
            self.fleet.upstreams[address].results.pop(handle, None)
        done = Deferred()
        done.callback(True)
        return done


class HostFleet:
    """Hosts over the upstreams of several services.

    Parameters
    ==========

    services : dict
        :class:`StageLimits` by name.
    hosts : int
        How many.
    way : float
        Seconds between two hosts, one way.
    count : int
        Upstreams of each service.

    Attributes
    ==========

    parted : set of frozenset
        Pairs of hosts between which nothing passes.
    callers : Counter
        Calls of upstreams, by service and host.
    """

    __slots__ = (
        'budget',
        'callers',
        'clock',
        'count',
        'dark',
        'domains',
        'hosts',
        'names',
        'parted',
        'services',
        'upstreams',
        'wires',
    )

    def __init__(self, services, hosts, way, count=4):
        self.clock = VirtualClock()
        self.services = services
        self.count = count
        self.budget = 0
        self.dark = set()
        self.parted = set()
        self.callers = Counter()
        self.wires = VirtualWires(self.clock, lambda *_: way, self._is_cut)
        self.upstreams = {}
        self.domains = {}
        for name, limits in services.items():
            for one in stage_workers(name, count):
                self.upstreams[one.address] = StageUpstream(
                    self.clock, one.address, limits
                )
                self.domains[one.address] = one.domain
        self.names = [f'h{number}' for number in range(hosts)]
        self.hosts = [StageHost(self, name) for name in self.names]
        for host in self.hosts:
            self._join(host)
        self.advance(_SETTLE)

    def client(self, number):
        """Return the stage client of a host that lives."""
        living = [host for host in self.hosts if not host.dead]
        return living[number % len(living)].client

    def owner_of(self, service):
        """Return the host that owns a service's queue."""
        living = [host for host in self.hosts if not host.dead]
        first = living[0].client.ownership.candidates(service, leaving=False)
        return next(host for host in living if host.name == first[0])

    def advance(self, seconds):
        """Let virtual time pass."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)

    def lose_owner(self, service, after):
        """Let the host that owns a service lose power after some seconds."""
        self.clock.callLater(after, partial(self._lose_owner, service))

    def lose_hosts(self, share, after, back_after):
        """Let a share of the hosts lose power at once, and start again.

        Parameters
        ==========

        after, back_after : float
            Seconds until then, and for which they are away.
        """
        self.clock.callLater(after, self._lose_hosts, share, back_after)

    def spend(self, service, number):
        """Count repeats."""
        self.budget += number
        return True

    def exists(self, handle):
        """Return whether a result is there."""
        upstream = self.upstreams.get(handle.partition('/')[0])
        return upstream is not None and handle in upstream.results

    def _join(self, host):
        peers = {
            name: PeerHost(name) for name in self.names if name != host.name
        }
        host.client.ownership.update_hosts(peers)
        host.review()
        host.hub.start()

    def _lose_hosts(self, share, back_after):
        count = round(share * len(self.hosts))
        for host in self.hosts[:count]:
            host.lose_power()
            self.clock.callLater(back_after, self.restart, host)

    def restart(self, host):
        """Start a host that lost power: a new process under its name."""
        self.dark.discard(host.name)
        again = StageHost(self, host.name, host.hub.hello.boot + 1)
        self.hosts[self.hosts.index(host)] = again
        self._join(again)

    def _lose_owner(self, service):
        self.owner_of(service).lose_power()

    def _is_cut(self, origin, address):
        if frozenset((origin, address)) in self.parted:
            return True
        return bool(self.dark & {origin, address})
