"""``pollenstile bench shared``: cost of the work that hosts share.

Explanation
===========

Hubs run real sessions over virtual connections. The benchmark measures the
process time for two workloads over a period of virtual time: hosts of a domain
that follow one reader of the store, by the number of hosts; and groups of stage
work that one host forwards to the owner of their queue. One process runs all
hosts, so the slope over the number of hosts is the cost of one host.
"""

import json
import time
from random import Random

from twisted.internet.defer import Deferred

from pollenstile.forward import Configuration
from pollenstile.ops.logs import silent_log
from pollenstile.peer import (
    MIN_VERSION,
    VERSION,
    Hello,
    Hub,
    VirtualWires,
    parse_keys,
)
from pollenstile.platform import watch
from pollenstile.relay import (
    RELAY_SUBJECT,
    Follower,
    Readers,
    RelayStore,
    Source,
)
from pollenstile.routes import RouteTable, StageLimits
from pollenstile.stagework import (
    Group,
    Owner,
    Result,
    StageClient,
    StageService,
    Worker,
)
from pollenstile.standin.clock import VirtualClock
from pollenstile.standin.objectapi import MemoryStore

_KIND = 'upstreams'
_DOMAIN = 'd'
_READER = 'h0'
_STEP = 0.01
_ONE_WAY_SECONDS = 0.0005
_SERVICE = 'encode'
_LIMITS = StageLimits(1, 50, 0.24, 0.004, 5_000_000)
_PIECES = 4
# Seconds until the deadline of a group.
_DEADLINE_SECONDS = 9.0
_MS = 1000


class _Host:
    """One simulated host of a domain: a hub and a member of the relay."""

    def __init__(self, fleet, name):
        self.name = name
        self.hub = Hub(
            fleet.clock,
            Random(name),
            Hello(VERSION, MIN_VERSION, name, _DOMAIN, name, 1),
            parse_keys('key'),
            fleet.wires.connect_from(name),
            silent_log,
        )
        fleet.wires.hubs[name] = self.hub
        clock = fleet.clock
        self.configuration = Configuration(
            fleet.store, clock, clock.seconds, Random(name), RouteTable, 5.0
        )
        source = Source(name, clock, clock.seconds, self.configuration)
        self.hub.requests.subjects[RELAY_SUBJECT] = source.answer
        readers = Readers(self.hub, name, _DOMAIN, 1.0)
        readers.order = [_READER]
        self.follower = Follower(
            clock,
            clock.seconds,
            self.hub.ask,
            self.configuration,
            readers.current,
        )
        self.configuration.loop.can_skip_reads = self.follower.is_following
        self.configuration.loop.has_followers = source.is_followed
        relayed = RelayStore(fleet.store, clock, self.follower, (_KIND,))
        running = watch(
            relayed, _KIND, source.note, clock, Random(name), silent_log
        )
        source.add(_KIND, running)
        if name != _READER:
            self.hub.dialer.wanted = {_READER: _READER}
        self.hub.start()
        Deferred.fromCoroutine(self.configuration.loop.run())
        self.follower.start()


class _Fleet:
    """Hosts of one domain that share a store in memory."""

    def __init__(self, hosts, upstreams):
        self.clock = VirtualClock()
        self.wires = VirtualWires(
            self.clock, lambda *_: _ONE_WAY_SECONDS, lambda *_: False
        )
        self.store = MemoryStore(self.clock)
        _run_call(self.store.put('config', 'main', 1))
        for number in range(upstreams):
            entry = {'service': 's', 'address': f'10.0.0.{number}:8000'}
            _run_call(self.store.put(_KIND, f'i-{number}', entry))
        self.hosts = [_Host(self, f'h{number}') for number in range(hosts)]
        self.advance(4.0)

    def advance(self, seconds):
        """Advance the virtual clock."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)


def relay_cost(hosts, upstreams, seconds):
    """Return the process time, bytes and store calls of a domain per second."""
    fleet = _Fleet(hosts, upstreams)
    calls = sum(fleet.store.calls.values())
    sent = sum(host.hub.bytes_sent() for host in fleet.hosts)
    began = time.process_time()
    fleet.advance(seconds)
    used = time.process_time() - began
    now_sent = sum(host.hub.bytes_sent() for host in fleet.hosts)
    now_calls = sum(fleet.store.calls.values())
    return {
        'hosts': hosts,
        'cpu_ms_s': round(used * _MS / seconds, 3),
        'bytes_s': round((now_sent - sent) / seconds),
        'store_calls_s': round((now_calls - calls) / seconds, 2),
    }


def group_cost(groups):
    """Return the process time of a group at requester, owner and their hubs."""
    fleet = _Fleet(2, 0)
    requester = [_client(fleet, host) for host in fleet.hosts][1]
    completed = []
    began = time.process_time()
    for number in range(groups):
        due = fleet.clock.seconds() + _DEADLINE_SECONDS
        ident = f'r{number}'
        group = Group(
            ident, _SERVICE, 0, _PIECES, key=ident, due=due, deadline=due
        )
        requester.submit(group, None).addCallback(completed.append)
        fleet.clock.advance(_STEP)
    fleet.advance(2.0)
    used = time.process_time() - began
    return {
        'groups': len(completed),
        'cpu_ms_group': round(used * _MS / max(1, len(completed)), 3),
    }


def _client(fleet, host):
    owner = _owner(fleet.clock)
    client = StageClient(host.name, host.hub, fleet.clock, lambda _: owner)
    client.limits = {_SERVICE: _LIMITS}
    client.ownership.orders = {_SERVICE: [_READER, 'h1']}
    StageService(client)
    return client


def _owner(clock):
    def call(worker, pieces, seconds):
        done = Deferred()
        made = [
            Result(f'{worker.address}/{piece.group.request}.{piece.number}')
            for piece in pieces
        ]
        clock.callLater(0.05, done.callback, made)
        return done

    def free(address, handles):
        done = Deferred()
        done.callback(True)
        return done

    owner = Owner(clock, _SERVICE, call, free, lambda *_: True)
    workers = [
        Worker(f'w{number}', f'10.0.1.{number}:1', _DOMAIN)
        for number in range(8)
    ]
    owner.configure(_LIMITS, workers)
    return owner


def add_parser(benches):
    """Add ``bench shared``."""
    parser = benches.add_parser(
        'shared', help='cost of the work that hosts share, simulated'
    )
    parser.add_argument('--hosts', default='2,10,42', help='of one domain')
    parser.add_argument('--upstreams', type=int, default=950)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--groups', type=int, default=2000)
    parser.set_defaults(run=run)


def run(arguments):
    """Print the measurements as JSON."""
    rows = [
        relay_cost(int(hosts), arguments.upstreams, arguments.seconds)
        for hosts in arguments.hosts.split(',')
    ]
    document = {'relay': rows, 'stage': group_cost(arguments.groups)}
    print(json.dumps(document, indent=2))
    return 0


def _run_call(call):
    Deferred.fromCoroutine(call)
