"""Simulate hosts with real hubs, stage clients and queues in virtual time.

Explanation
===========

The upstreams are those of ``_stageworld``. Hosts exchange the same sessions,
heartbeats and requests as separate processes, over virtual connections.
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

# Seconds by which the virtual clock advances in each step.
_STEP = 0.002
# The periods that a forwarding host uses, in seconds.
_TICK_SECONDS = 0.2
_BEAT_SECONDS = 0.35
_SILENCE_SECONDS = 1.2
_REVIEW_SECONDS = 0.25
# Seconds after which all links are open.
_SETTLE_SECONDS = 2.0


class StageHost:
    """One simulated host: its hub, its stage client and its queues.

    Attributes
    ==========

    dead : bool
        Whether the host has lost power.
    """

    __slots__ = ('client', 'clock', 'dead', 'fleet', 'hub', 'name', 'owners')

    def __init__(self, fleet, name, boot=1):
        self.fleet = fleet
        self.clock = self.make_clock()
        self.name = name
        self.dead = False
        self.owners = {}
        self.hub = self.make_hub(
            self.clock,
            Random(name),
            Hello(VERSION, MIN_VERSION, name, 'd', name, boot),
            parse_keys('key'),
            fleet.wires.connect_from(name),
            fleet.log,
        )
        self.hub.tick = _TICK_SECONDS
        self.hub.beat_period = _BEAT_SECONDS
        self.hub.silence_limit = _SILENCE_SECONDS
        fleet.wires.hubs[name] = self.hub
        self.client = StageClient(
            name, self.hub, self.clock, self.owner, fleet.log
        )
        self.client.limits = fleet.services
        self.client.domains = fleet.domains
        StageService(self.client)

    def owner(self, service):
        """Return the queue of a service at this host; create it if needed."""
        owner = self.owners.get(service)
        if owner is None:
            owner = Owner(
                self.clock,
                service,
                self.call,
                self._free,
                self.spend,
                self.fleet.log,
            )
            members = stage_workers(service, self.fleet.count)
            owner.configure(
                self.fleet.services[service],
                members,
                graded=self.fleet.graded,
                promises=self.fleet.promises,
            )
            self.owners[service] = owner
        return owner

    def review(self):
        """Periodically update links to owners and hand over queues."""
        if self.dead:
            return
        ownership = self.client.ownership
        self.hub.dialer.wanted = ownership.wanted_links(self.fleet.services)
        self.client.review(self.owners, leaving=False)
        self.clock.callLater(_REVIEW_SECONDS, self.review)

    def lose_power(self):
        """End the host without notice: links go silent and calls are lost."""
        self.dead = True
        self.fleet.dark.add(self.name)
        self.hub.stopped = True

    def make_clock(self):
        """Return the clock of this host."""
        return self.fleet.clock

    def make_hub(self, *arguments):
        """Return the hub of this host."""
        return Hub(*arguments)

    def spend(self, service, number):
        """Count retries and allow them all."""
        self.fleet.budget += number
        return True

    def call(self, worker, pieces, seconds):
        """Call an upstream; the Deferred never fires if the host is dead."""
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
    """Hosts that share the upstreams of several services.

    Parameters
    ==========

    services : dict
        :class:`StageLimits` by service name.
    hosts : int
        The number of hosts.
    latency : float
        One-way latency between two hosts, in seconds.
    count : int
        The number of upstreams of each service.

    Attributes
    ==========

    dark : set of str
        Names of the hosts that have lost power.
    promises : bool
        Whether the queues promise return times to refused callers.
    parted : set of frozenset
        Pairs of hosts that are partitioned from each other.
    callers : Counter
        The number of upstream calls, by service and calling host.
    log : function
        Writes the events of all hosts.
    graded : bool
        Whether the queues admit by shares.
    """

    __slots__ = (
        'budget',
        'callers',
        'clock',
        'count',
        'dark',
        'domains',
        'graded',
        'hosts',
        'log',
        'names',
        'parted',
        'promises',
        'services',
        'upstreams',
        'wires',
    )

    def __init__(
        self,
        services,
        hosts,
        latency,
        count=4,
        log=silent_log,
        *,
        graded=False,
    ):
        self.clock = VirtualClock()
        self.graded = graded
        self.log = log
        self.services = services
        self.count = count
        self.budget = 0
        self.promises = False
        self.dark = set()
        self.parted = set()
        self.callers = Counter()
        self.wires = VirtualWires(self.clock, lambda *_: latency, self._is_cut)
        self.upstreams = {}
        self.domains = {}
        for name, limits in services.items():
            for worker in stage_workers(name, count):
                self.upstreams[worker.address] = self.make_upstream(
                    worker.address, limits
                )
                self.domains[worker.address] = worker.domain
        self.names = [f'h{number}' for number in range(hosts)]
        self.hosts = [self.make_host(name) for name in self.names]
        for host in self.hosts:
            self._join(host)
        self.advance(_SETTLE_SECONDS)

    def make_upstream(self, address, limits):
        """Return an upstream."""
        return StageUpstream(self.clock, address, limits)

    def make_host(self, name, boot=1):
        """Return a host."""
        return StageHost(self, name, boot)

    def client(self, number):
        """Return the stage client of a running host."""
        living = [host for host in self.hosts if not host.dead]
        return living[number % len(living)].client

    def owner_of(self, service):
        """Return the host that owns the queue of a service."""
        living = [host for host in self.hosts if not host.dead]
        first = living[0].client.ownership.candidates(service, leaving=False)
        return next(host for host in living if host.name == first[0])

    def advance(self, seconds):
        """Advance the virtual clock."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)

    def lose_owner(self, service, after):
        """Schedule a power loss of the host that owns a service."""
        self.clock.callLater(after, partial(self._lose_owner, service))

    def lose_hosts(self, share, after, back_after):
        """Schedule a simultaneous power loss of a share of the hosts.

        Parameters
        ==========

        after : float
            Seconds until the power loss.
        back_after : float
            Seconds from the power loss until the hosts start again.
        """
        self.clock.callLater(after, self._lose_hosts, share, back_after)

    def exists(self, handle):
        """Return whether a result is still stored."""
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
        """Restart a host that lost power, as a new process of this name."""
        self.dark.discard(host.name)
        restarted = self.make_host(host.name, host.hub.hello.boot + 1)
        self.hosts[self.hosts.index(host)] = restarted
        self._join(restarted)

    def _lose_owner(self, service):
        self.owner_of(service).lose_power()

    def _is_cut(self, origin, address):
        if frozenset((origin, address)) in self.parted:
            return True
        return bool(self.dark & {origin, address})
