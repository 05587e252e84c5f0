"""``pollenstile bench crashes``: time until all hosts quarantine a request.

Explanation
===========

Complete hosts run in virtual time over upstreams that one request crashes. The
request is sent to all hosts in rotation while the store or the readers fail.
"""

from dataclasses import dataclass

from pollenstile.bench._commandline import (
    add_sizes,
    fleet_sizes,
    print_measured,
)
from pollenstile.bench._costs import measure_costs
from pollenstile.bench._crashworld import DEADLY, CrashWorld
from pollenstile.bench.lag import end_readers, inject_nothing, slow_store

# Seconds of each measured period, with crashes and before them.
_PERIOD_SECONDS = 10.0
# Seconds between two sends of the crashing request.
_INTERVAL_SECONDS = 0.3
# Seconds for which the crashing request is sent.
_SENDING_SECONDS = 9.0
_UPSTREAMS = 12
# Crashes after which a request is quarantined.
_CRASH_LIMIT = 3
# Hosts and failure domains.
_SIZES = '9/4,30/3,60/4,90/3,195/6'
_MS = 1000


def refuse_all_hosts(fleet):
    """Refuse the store calls of all hosts."""
    for host in fleet.hosts.values():
        host.path.refuses = True


FAULTS = {
    'none': inject_nothing,
    'store away': refuse_all_hosts,
    'store slow': slow_store,
    'readers ended': end_readers,
}


@dataclass(slots=True, frozen=True)
class Spread:
    """Measured propagation of a quarantine verdict to all hosts.

    Parameters
    ==========

    hosts, domains : int
        The number of hosts and failure domains of the fleet.
    fault : str
        The name of the injected fault.
    ends : int
        The number of upstreams that crashed.
    known_ms : int
        Time from the third crash until the last host refuses the request.
    late : int
        Requests that reached upstreams after this time.
    calm_host_bytes, host_bytes : int
        Bytes sent to peers per host, in the 10 s before the crashes and in the
        10 s of the crashes.
    calm_calls, calls : int
        Store calls of all hosts in the same two periods.
    """

    hosts: int
    domains: int
    fault: str
    ends: int
    known_ms: int
    late: int
    calm_host_bytes: int
    host_bytes: int
    calm_calls: int
    calls: int


def measure_spread(hosts, domains, fault):
    """Measure the :class:`Spread` of a verdict in a fleet under a fault."""
    world = CrashWorld(hosts, _UPSTREAMS, domains)
    fleet = world.fleet
    FAULTS[fault](fleet)
    fleet.advance(_PERIOD_SECONDS)
    calm = measure_costs(fleet, lambda: fleet.advance(_PERIOD_SECONDS))
    # By number, so that consecutive sends reach different failure domains.
    names = sorted((host.name for host in fleet.running()), key=_number)
    world.schedule_requests(
        [DEADLY], _INTERVAL_SECONDS, _SENDING_SECONDS, names
    )
    unknown_at = [0.0]

    def record_unknown():
        ends = world.crash_times(DEADLY)
        holding = [
            bool(host.core.quarantine.verdicts.all_held())
            for host in fleet.running()
        ]
        if len(ends) >= _CRASH_LIMIT and not all(holding):
            unknown_at.append(fleet.clock.seconds())

    costs = measure_costs(
        fleet, lambda: fleet.advance(_PERIOD_SECONDS, record_unknown)
    )
    ends = world.crash_times(DEADLY)
    known = max(0.0, unknown_at[-1] - ends[_CRASH_LIMIT - 1])
    return Spread(
        hosts,
        domains,
        fault,
        len(ends),
        round(known * _MS),
        len(world.arrivals_after_third_crash(DEADLY, known)),
        round(calm.host_bytes),
        round(costs.host_bytes),
        calm.calls,
        costs.calls,
    )


def _number(name):
    """Return the number in a host name."""
    return int(name[1:])


def add_parser(benches):
    """Add ``bench crashes``."""
    parser = benches.add_parser(
        'crashes',
        help='time until hosts refuse requests that crash upstreams, simulated',
    )
    add_sizes(parser, _SIZES)
    parser.set_defaults(run=run)


def run(arguments):
    """Print a JSON line for each fleet size and fault."""
    for hosts, domains in fleet_sizes(arguments.sizes):
        for fault in FAULTS:
            spread = measure_spread(hosts, domains, fault)
            print_measured(spread)
    return 0
