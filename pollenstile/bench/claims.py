"""``pollenstile bench claims``: latency and store calls of idempotency claims.

Explanation
===========

Hosts run the production claims code over one store in memory on a virtual
clock. Each store call takes a fixed time. Requests arrive as a Poisson process,
each with a new key, at a host drawn uniformly. In direct mode each host appends
its own claims; in forward mode claims are forwarded to the preferred host of
their shard, which holds a batch open for a window. The printed slopes are
least-squares fits over the request rates.
"""

import random
import statistics
import tracemalloc
from collections import Counter
from dataclasses import dataclass
from functools import partial

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from pollenstile.claims import (
    SHARD_COUNT,
    Claims,
    Record,
    Segment,
    build_forwarder,
)
from pollenstile.claims._digests import key_digest
from pollenstile.claims._state import ShardState, apply_segment
from pollenstile.manifest import Pipeline
from pollenstile.ops.exits import GOOD
from pollenstile.ops.logs import silent_log
from pollenstile.outcomes import Answered
from pollenstile.platform import paused
from pollenstile.standin.objectapi import MemoryStore

_HEADER = (
    'way      hosts shards window  claims/s  p50 ms  p95 ms'
    '  writes/s  reads/s  claims/append  lost %  KB/s a host'
)
_STEP = 0.001
_DRAIN_SECONDS = 3.0
_MS = 1000
_KB = 1000
_START_SECONDS = 1000.0
_LINK_LATENCY = 0.0015
_SAMPLES = 20000
_RATES = (36.0, 72.0, 145.0, 290.0, 580.0)
_FITTED_HOSTS = 36


@dataclass(slots=True, frozen=True)
class Case:
    """Parameters of one run.

    Parameters
    ==========

    hosts, shards : int
        The number of hosts and shards.
    window : float
        Seconds for which a batch is held open.
    rate : float
        Claims per second of all hosts together.
    forwards : bool
        Whether claims are forwarded to the preferred host of their shard.
    """

    hosts: int
    shards: int
    window: float
    rate: float
    forwards: bool


@dataclass(slots=True, frozen=True)
class KeyedRequest:
    """The fields of a request with a key that claims read."""

    ident: str
    name: str
    team: str
    content: object
    deadline: float
    key: str
    pipeline: Pipeline


class CountingStore:
    """Store wrapper that counts the bytes of lists and the put outcomes."""

    __slots__ = ('counts', 'store')

    def __init__(self, store):
        self.store = store
        self.counts = Counter()

    async def listed(self, *arguments, **named):
        """Return a list from the store and count its encoded bytes."""
        page = await self.store.listed(*arguments, **named)
        self.counts['bytes'] += len(msgspec.json.encode(page))
        return page

    async def put(self, kind, name, value, if_version=None):
        """Write to the store and count the outcome by type."""
        outcome = await self.store.put(kind, name, value, if_version)
        self.counts[type(outcome).__name__] += 1
        return outcome

    async def delete(self, *arguments):
        """Delete from the store."""
        return await self.store.delete(*arguments)


class Fleet:
    """Hosts that append claims in virtual time.

    Parameters
    ==========

    case : Case
        Parameters of the run.
    latency : float
        Seconds of a store call.
    seed : int
        Seed of the request arrivals.

    Attributes
    ==========

    times : list of float
        Seconds from each request until its claim is held.
    """

    __slots__ = (
        'clock',
        'counting',
        'counts',
        'hosts',
        'pipeline',
        'rng',
        'store',
        'times',
    )

    def __init__(self, case, latency, seed=1):
        self.clock = Clock()
        self.clock.advance(_START_SECONDS)
        self.rng = random.Random(seed)
        self.store = MemoryStore(self.clock)
        self.store.latency = latency
        self.counting = CountingStore(self.store)
        self.counts = Counter()
        self.pipeline = Pipeline(4000, ['t'], [], idempotent=False)
        self.times = []
        self.hosts = {}
        for number in range(case.hosts):
            name = f'h{number}'
            self.hosts[name] = self._host(name, case)

    def send_request(self, number):
        """Send a keyed request to a host and measure the time of its claim."""
        name = self.rng.choice(list(self.hosts))
        now = self.clock.seconds()
        request = KeyedRequest(
            f'{name}-boot-{number}',
            'log-minutes',
            't',
            {'minutes': number},
            now + 4,
            f'key-{number}',
            self.pipeline,
        )
        run = partial(self._run, now)
        Deferred.fromCoroutine(self.hosts[name].outcome(request, run))

    def _host(self, name, case):
        claims = Claims(
            self.counting,
            self.clock,
            random.Random(name),
            name,
            silent_log,
            self._count,
            case.shards,
            case.window,
        )
        if case.forwards:
            claims.forward = build_forwarder(
                name,
                lambda: list(self.hosts),
                self._send,
            )
        return claims

    def _run(self, sent_at):
        self.times.append(self.clock.seconds() - sent_at)
        return succeed(Answered('done'))

    async def _send(self, owner, record):
        await paused(self.clock, _LINK_LATENCY)
        answer = await self.hosts[owner].append_forwarded(record, 2.0)
        await paused(self.clock, _LINK_LATENCY)
        return answer

    def _count(self, name, number=1):
        self.counts[name] += number


def add_parser(benches):
    """Add ``bench claims``."""
    parser = benches.add_parser('claims', help='claims in virtual time')
    parser.add_argument('--seconds', type=float, default=6, help='of each run')
    parser.add_argument(
        '--latency-ms', type=float, default=5, help='of store calls'
    )
    parser.add_argument(
        '--hosts',
        default='1,9,36,340',
        help='numbers of hosts, comma-separated',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Run the benchmark, print the results, and return the exit code."""
    latency = arguments.latency_ms / _MS
    sizes = [int(text) for text in arguments.hosts.split(',')]
    print(_HEADER)
    for hosts in sizes:
        for case in _cases(hosts):
            print(_row(case, latency, arguments.seconds), flush=True)
    for line in _slopes(latency, arguments.seconds):
        print(line, flush=True)
    print(_memory())
    return GOOD


def _cases(hosts):
    rate = 290.0
    cases = [
        Case(hosts, shards, 0.0, rate, forwards=False) for shards in (8, 32)
    ]
    if hosts == 1:
        return cases
    for shards in (8, 32):
        for window in (0.0, 0.05, 0.1, 0.2):
            cases.append(Case(hosts, shards, window, rate, forwards=True))
    return cases


def _run_case(case, latency, seconds):
    """Run a case and return its fleet."""
    fleet = Fleet(case, latency)
    number = 0
    due = 0.0
    while due < seconds:
        due += fleet.rng.expovariate(case.rate)
        fleet.clock.callLater(due, fleet.send_request, number)
        number += 1
    for _ in range(round((seconds + _DRAIN_SECONDS) / _STEP)):
        fleet.clock.advance(_STEP)
    return fleet


def _row(case, latency, seconds):
    fleet = _run_case(case, latency, seconds)
    cuts = statistics.quantiles(fleet.times, n=20)
    calls = fleet.store.calls
    appends = fleet.counts['claims.appended']
    lost = 100 * fleet.counting.counts['Conflict'] / calls['put']
    size = fleet.counting.counts['bytes'] / seconds / case.hosts / _KB
    way = 'forward' if case.forwards else 'direct'
    return (
        f'{way:<8} {case.hosts:>5} {case.shards:>6} {case.window:>6}'
        f'  {len(fleet.times) / seconds:>8.1f}'
        f'  {cuts[9] * _MS:>6.1f}  {cuts[-1] * _MS:>6.1f}'
        f'  {calls["put"] / seconds:>8.1f}  {calls["list"] / seconds:>7.1f}'
        f'  {len(fleet.times) / appends:>13.2f}  {lost:>6.1f}'
        f'  {size:>11.2f}'
    )


def _slopes(latency, seconds):
    """Return lines with the slopes of writes and reads over the claim rate."""
    return [
        _slope(latency, seconds, 0.0, forwards=False),
        _slope(latency, seconds, 0.1, forwards=True),
    ]


def _slope(latency, seconds, window, *, forwards):
    writes = []
    reads = []
    for rate in _RATES:
        case = Case(_FITTED_HOSTS, SHARD_COUNT, window, rate, forwards)
        calls = _run_case(case, latency, seconds).store.calls
        writes.append(calls['put'] / seconds)
        reads.append(calls['list'] / seconds)
    write = statistics.linear_regression(_RATES, writes).slope
    read = statistics.linear_regression(_RATES, reads).slope
    way = 'forward' if forwards else 'direct'
    rates = ', '.join(f'{rate:.0f}' for rate in _RATES)
    put_rates = ', '.join(f'{number:.0f}' for number in writes)
    return (
        f'{way}, {_FITTED_HOSTS} hosts, {SHARD_COUNT} shards, window {window}:'
        f' writes/s at {rates} claims/s: {put_rates}; slope {write:.2f} writes'
        f' a claim, {read:.2f} reads a claim'
    )


def _memory():
    """Return a line with the memory and the encoded size of a claim."""
    tracemalloc.start()
    state = ShardState()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(_SAMPLES):
        record = Record(
            'claim',
            key_digest('t', 'log-minutes', f'key-{number}'),
            f'erie-hall-1-0123456789ab-{number}',
            key_digest('t', 'content', f'key-{number}'),
            'erie-hall-1',
            float(number),
        )
        encoded = msgspec.json.encode(Segment('b', 0.0, [record]))
        segment = msgspec.json.decode(encoded, type=Segment)
        apply_segment(state, number, segment)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    size = len(encoded)
    return (
        f'a claim takes {used / _SAMPLES:.0f} bytes in a host that reads its'
        f' shard, and {size} bytes in a segment of its own'
    )
