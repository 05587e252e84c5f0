"""``pollenstile bench fleet``: configuration, leaving and cost of control.

Explanation
===========

Real fleet code of many hosts runs in virtual time, so the times are exact
and the same on every machine; processor time is what this machine took for a
virtual second, the virtual clock's own work included.
"""

import json
import time
import tracemalloc
from dataclasses import asdict, dataclass
from functools import partial
from random import Random
from statistics import linear_regression

from pollenstile.bench.fleetpoll import poll_cost
from pollenstile.bench.fleetworld import (
    changed_text,
    fleet_manifest,
    start_world,
)
from pollenstile.ops.exits import GOOD

_DOMAINS = ('erie-hall', 'huron-hall', 'ontario-hall', 'michigan-hall')
_MORE_DOMAINS = (*_DOMAINS, 'manila-a', 'manila-b', 'clark', 'batangas')
_HOSTS = '3,6,9,18,36,72'
_UPSTREAMS = '28,112,336'
_FIXED_UPSTREAMS = 28
_FIXED_HOSTS = 18
_MEMORY_HOSTS = 9
_IDLE_SECONDS = 30.0
_FINE_STEP = 0.001
_MOST = 30.0
_CHANGES = 5
_LEAVING = 8
_SEED = 1
_MS = 1000
_KB = 1024
_NAMES = (
    'store_calls',
    'sent_bytes',
    'polls',
    'cpu_ms',
    'change_bytes',
    'leaving_bytes',
)


@dataclass(slots=True)
class Case:
    """What was measured at one size.

    Parameters
    ==========

    hosts, upstreams : int
        The size.
    apply_seconds, cut_seconds : float
        From the write to in force everywhere, the slowest of five; with all
        well, and with one domain cut from the platform.
    leaving_seconds, outage_seconds : float
        From the upstream's own leaving to the last host that would give it
        work, the slowest of eight; with all well, and with the platform down.
    store_calls : float
        Calls to the object API a second, of the whole fleet.
    sent_bytes : float
        Bytes sent to peers a second and host, nothing happening.
    polls : float
        Polls of upstreams a second and host.
    cpu_ms : float
        Processor milliseconds a second and host, nothing happening.
    change_bytes, leaving_bytes : float
        Bytes sent to peers by a host for one change of the configuration, and
        for one upstream that leaves.
    links : float
        Mean links of a host.
    """

    hosts: int
    upstreams: int
    apply_seconds: float = 0
    cut_seconds: float = 0
    leaving_seconds: float = 0
    outage_seconds: float = 0
    store_calls: float = 0
    sent_bytes: float = 0
    polls: float = 0
    cpu_ms: float = 0
    change_bytes: float = 0
    leaving_bytes: float = 0
    links: float = 0


@dataclass(slots=True)
class Spread:
    """How news spread: the slowest time, and mean bytes sent by a host."""

    seconds: float = 0
    sent: float = 0


def add_parser(benches):
    """Add the bench."""
    parser = benches.add_parser('fleet', help='control of many entry hosts')
    parser.add_argument('--hosts', default=_HOSTS, help='with commas')
    parser.add_argument(
        '--upstreams',
        default=_UPSTREAMS,
        help=f'with commas, at {_FIXED_HOSTS} hosts',
    )
    parser.add_argument(
        '--whole',
        default='',
        help='one more size, HOSTS:UPSTREAMS, over eight domains',
    )
    parser.add_argument('--seed', type=int, default=_SEED)
    parser.add_argument('--output', help='file for the results, as JSON')
    parser.set_defaults(run=run)


def run(arguments):
    """Measure, print and write the results; return the exit code."""
    seed = arguments.seed
    by_hosts = []
    for hosts in _numbers(arguments.hosts):
        by_hosts.append(_measured(hosts, _FIXED_UPSTREAMS, seed))
        print(_line(by_hosts[-1]), flush=True)
    by_upstreams = []
    for upstreams in _numbers(arguments.upstreams):
        by_upstreams.append(_measured(_FIXED_HOSTS, upstreams, seed))
        print(_line(by_upstreams[-1]), flush=True)
    whole = []
    if arguments.whole:
        sizes = [int(part) for part in arguments.whole.split(':')]
        whole.append(_measured(*sizes, seed, _MORE_DOMAINS))
        print(_line(whole[-1]), flush=True)
    document = {
        'seed': seed,
        'whole': [asdict(case) for case in whole],
        'by_hosts': [asdict(case) for case in by_hosts],
        'by_upstreams': [asdict(case) for case in by_upstreams],
        'slope_by_host': _slopes(by_hosts, 'hosts'),
        'slope_by_upstream': _slopes(by_upstreams, 'upstreams'),
        'memory': _memory(seed),
        'poll': asdict(poll_cost()),
    }
    for name in ('slope_by_host', 'slope_by_upstream', 'memory', 'poll'):
        print(f'{name}: {json.dumps(document[name])}')
    if arguments.output:
        with open(arguments.output, 'w', encoding='utf-8') as target:
            json.dump(document, target, indent=2)
    return GOOD


def _numbers(text):
    return [int(part) for part in text.split(',') if part]


def _line(case):
    return (
        f'hosts {case.hosts:3} upstreams {case.upstreams:4}: '
        f'apply {case.apply_seconds:.3f} s, cut {case.cut_seconds:.3f} s, '
        f'leaving {case.leaving_seconds:.2f} s, '
        f'in outage {case.outage_seconds:.2f} s, '
        f'store {case.store_calls:.2f}/s; a host: '
        f'{case.sent_bytes:.0f} B/s, {case.polls:.2f} polls/s, '
        f'{case.cpu_ms:.2f} ms/s, {case.links:.1f} links, '
        f'{case.change_bytes:.0f} B a change, '
        f'{case.leaving_bytes:.0f} B a leaving'
    )


def _slopes(cases, size):
    """Return slope and intercept of each measure over the size."""
    found = {}
    if len(cases) < 2:
        return found
    sizes = [getattr(case, size) for case in cases]
    for name in _NAMES:
        fit = linear_regression(sizes, [getattr(case, name) for case in cases])
        found[name] = [round(fit.slope, 6), round(fit.intercept, 3)]
    return found


def _measured(hosts, upstreams, seed, domains=_DOMAINS):
    manifest = fleet_manifest(domains, upstreams)
    world = start_world(manifest, hosts, seed, keep_events=False)
    world.run(_IDLE_SECONDS)
    case = Case(hosts, upstreams)
    _measure_idle(world, case)
    spread = _applied(world, 'all-well')
    case.apply_seconds = spread.seconds
    case.change_bytes = spread.sent
    world.cut_platform.add(_DOMAINS[0])
    world.run(3)
    case.cut_seconds = _applied(world, 'one-cut').seconds
    world.cut_platform.clear()
    _measure_leaving(world, case, Random(seed))
    return case


def _measure_idle(world, case):
    calls = world.store.calls.total()
    sent = _sent(world)
    polls = _polls(world)
    started = time.process_time()
    world.run(_IDLE_SECONDS)
    took = time.process_time() - started
    each = _IDLE_SECONDS * case.hosts
    case.cpu_ms = took * _MS / each
    case.store_calls = (world.store.calls.total() - calls) / _IDLE_SECONDS
    case.sent_bytes = (_sent(world) - sent) / each
    case.polls = (_polls(world) - polls) / each
    links = [len(host.hub.links) for host in world.hosts.values()]
    case.links = sum(links) / case.hosts


def _applied(world, name):
    """Return how several changes spread."""
    spread = Spread()
    for number in range(_CHANGES):
        version = world.store.objects.found('config', 'manifest').version
        text = changed_text(world.manifest, name=f'{name}-{number}')
        before = _sent(world)
        world.put(text, version)
        took = _time_until(world, partial(world.all_have, version + 1))
        spread.seconds = max(spread.seconds, took)
        spread.sent += (_sent(world) - before) / _CHANGES / len(world.hosts)
        world.run(2.5)
    return spread


def _measure_leaving(world, case, random):
    names = sorted(world.upstreams)
    covered = {host.domain for host in world.hosts.values()}
    pool = world.manifest.pools['engines'].upstreams
    names = [name for name in names if pool[name].domain in covered]
    chosen = random.sample(names, _LEAVING)
    spread = _left(world, random, chosen[: _LEAVING // 2])
    case.leaving_seconds = spread.seconds
    case.leaving_bytes = spread.sent
    world.store.down = True
    world.list.down = True
    world.run(10)
    spread = _left(world, random, chosen[_LEAVING // 2 :])
    case.outage_seconds = spread.seconds


def _left(world, random, names):
    spread = Spread()
    for name in names:
        # At any moment of the pollers' period.
        world.run(2 + 2 * random.random())
        before = _sent(world)
        world.upstreams[name].leaving = True
        took = _time_until(world, partial(_is_left, world, name))
        spread.seconds = max(spread.seconds, took)
        spread.sent += (_sent(world) - before) / len(names) / len(world.hosts)
    return spread


def _is_left(world, name):
    return not world.dispatching_hosts(name)


def _time_until(world, condition):
    took = world.run_until(condition, _MOST, _FINE_STEP)
    return float('inf') if took is None else took


def _sent(world):
    return sum(host.hub.bytes_sent() for host in world.hosts.values())


def _polls(world):
    return sum(upstream.asked for upstream in world.upstreams.values())


def _memory(seed):
    """Return traced kilobytes of a host, by upstreams and by hosts."""
    found = {}
    for hosts, upstreams in (
        (_MEMORY_HOSTS, _FIXED_UPSTREAMS),
        (_MEMORY_HOSTS, 10 * _FIXED_UPSTREAMS),
        (4 * _MEMORY_HOSTS, _FIXED_UPSTREAMS),
    ):
        manifest = fleet_manifest(_DOMAINS, upstreams)
        tracemalloc.start()
        world = start_world(manifest, hosts, seed, keep_events=False)
        world.run(1.0)
        traced = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        each = traced / hosts / _KB
        found[f'{hosts} hosts {upstreams} upstreams'] = round(each, 1)
    return found
