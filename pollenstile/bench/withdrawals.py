"""``pollenstile bench withdrawals``: upstreams that leave or ask for rest.

Explanation
===========

Complete hosts run in virtual time over upstreams whose answers state that they
leave, or that turn requests away and ask for rest, while the store, hosts or
failure domains fail. What each host sends after such an answer is counted at
the upstream.
"""

from dataclasses import dataclass

from pollenstile.bench._commandline import (
    add_sizes,
    fleet_sizes,
    print_measured,
)
from pollenstile.bench._costs import measure_costs
from pollenstile.bench._ratefaults import (
    FAULT_NAMES,
    TIMED_FAULTS,
    inject_fault,
)
from pollenstile.bench._spread import SpreadWatch
from pollenstile.bench._withdrawalworld import WithdrawalWorld

# Hosts and failure domains.
_SIZES = '9/4,30/3,60/4,90/3,195/6'
_UPSTREAMS = 9
# Requests a second for each host.
_HOST_LOAD = 10.0
# Seconds of each measured period: calm, with the statements, and after it.
_CALM_SECONDS = 3.0
_STATING_SECONDS = 12.0
_AFTER_SECONDS = 4.0
# Seconds after which a fault that begins later has begun.
_FAULT_BEGUN_SECONDS = 6.5
# Seconds after an answer from which nothing should reach its upstream, and from
# which the bounds of the users count.
_AIM_SECONDS = 0.1
_LEAVING_SECONDS = 2.0
_REST_SECONDS = 0.5
# How an upstream sheds load, and how many of all upstreams do so.
_SHEDDING = '0.4:3:1,1:3:1,0.4:3:9,0.1:3:9'
_MS = 1000


@dataclass(slots=True, frozen=True)
class Departed:
    """Measured requests to an upstream that states that it leaves.

    Parameters
    ==========

    hosts, domains : int
        The number of hosts and failure domains.
    fault : str
        The name of the injected fault.
    early, late : int
        Arrivals from hosts over 0.1 s and over 2 s after an answer that had
        told them.
    known_ms : int
        Time from the first host that knows until all do, or -1.
    last_ms : int
        Time from that answer until the last arrival from any host.
    served, refused : int
        Requests that were answered, and those that were refused.
    calm_host_bytes, host_bytes : int
        Bytes sent to peers per host and second, before and while it leaves.
    """

    hosts: int
    domains: int
    fault: str
    early: int
    late: int
    known_ms: int
    last_ms: int
    served: int
    refused: int
    calm_host_bytes: int
    host_bytes: int


@dataclass(slots=True, frozen=True)
class Rested:
    """Measured requests to upstreams that ask for rest.

    Parameters
    ==========

    hosts, domains : int
        The number of hosts and failure domains.
    fault : str
        The name of the injected fault.
    share, rest : float
        Share of requests that is turned away, and seconds that are asked for.
    shedding : int
        Number of upstreams that shed load, of nine.
    asks : int
        Answers that asked for rest.
    early, late : int
        Most arrivals from one host in a time that it was asked for, from 0.1 s
        and from 0.5 s after the answer on.
    idle_ms : int
        Longest time from the first end of a rest at an upstream until its next
        arrival, while no other rest began there.
    served, refused : int
        Requests that were answered, and those that were refused.
    """

    hosts: int
    domains: int
    fault: str
    share: float
    rest: float
    shedding: int
    asks: int
    early: int
    late: int
    idle_ms: int
    served: int
    refused: int


def measure_departure(hosts, domains, fault):
    """Measure the :class:`Departed` of one of nine upstreams."""
    world = _loaded_world(hosts, domains)
    fleet = world.fleet
    calm = measure_costs(fleet, lambda: fleet.advance(_CALM_SECONDS))
    address = world.addresses()[0]
    name = f'{world.ident(address)}/0'
    inject_fault(world, address, fault)
    if fault in TIMED_FAULTS:
        fleet.advance(_FAULT_BEGUN_SECONDS)
    world.state_leaving(address)
    known = SpreadWatch(
        fleet, lambda host: host.core.permissions.leaving.is_leaving(name)
    )
    costs = measure_costs(
        fleet, lambda: fleet.advance(_STATING_SECONDS, known.look)
    )
    upstreams = world.upstreams
    first = upstreams.departures[0].at
    last = max(
        arrival.at
        for arrival in upstreams.arrivals
        if arrival.upstream == name.partition('/')[0]
    )
    fleet.advance(_AFTER_SECONDS)
    return Departed(
        hosts,
        domains,
        fault,
        len(upstreams.arrivals_after_departure(_AIM_SECONDS)),
        len(upstreams.arrivals_after_departure(_LEAVING_SECONDS)),
        known.ms_since_first(),
        round(max(0.0, last - first) * _MS),
        *world.count_answers(),
        round(calm.host_bytes / _CALM_SECONDS),
        round(costs.host_bytes / _STATING_SECONDS),
    )


def measure_rest(hosts, domains, fault, share, rest, shedding):
    """Measure the :class:`Rested` of some of nine upstreams."""
    world = _loaded_world(hosts, domains)
    world.advance(_CALM_SECONDS)
    addresses = world.addresses()[:shedding]
    inject_fault(world, addresses[0], fault)
    if fault in TIMED_FAULTS:
        world.advance(_FAULT_BEGUN_SECONDS)
    for address in addresses:
        world.shed(address, share, rest)
    world.advance(_STATING_SECONDS)
    for address in addresses:
        if address in world.upstreams.shedding:
            world.stop_shedding(address)
    world.advance(_AFTER_SECONDS)
    upstreams = world.upstreams
    return Rested(
        hosts,
        domains,
        fault,
        share,
        rest,
        shedding,
        len(upstreams.asks),
        upstreams.most_in_rest(_AIM_SECONDS),
        upstreams.most_in_rest(_REST_SECONDS),
        round(upstreams.longest_idle() * _MS),
        *world.count_answers(),
    )


def _loaded_world(hosts, domains):
    world = WithdrawalWorld(hosts, _UPSTREAMS, domains)
    seconds = (
        _CALM_SECONDS + _FAULT_BEGUN_SECONDS + _STATING_SECONDS + _AFTER_SECONDS
    )
    world.schedule_traffic(_HOST_LOAD * hosts, seconds)
    return world


def add_parser(benches):
    """Add ``bench withdrawals``."""
    parser = benches.add_parser(
        'withdrawals',
        help='arrivals at upstreams that leave or ask for rest, simulated',
    )
    add_sizes(parser, _SIZES)
    parser.add_argument('--faults', default='none', help=', '.join(FAULT_NAMES))
    parser.add_argument(
        '--shedding',
        default=_SHEDDING,
        help='share of requests:seconds of rest:number of upstreams',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print a JSON line for each fleet size, fault and kind of statement."""
    for hosts, domains in fleet_sizes(arguments.sizes):
        for fault in arguments.faults.split(','):
            print_measured(measure_departure(hosts, domains, fault))
            for shedding in arguments.shedding.split(','):
                share, rest, count = map(float, shedding.split(':'))
                print_measured(
                    measure_rest(hosts, domains, fault, share, rest, int(count))
                )
    return 0
