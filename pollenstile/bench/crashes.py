"""``pollenstile bench crashes``: how soon all hosts know what to refuse.

Explanation
===========

Whole hosts run in virtual time over upstreams that one request crashes. It
comes at all hosts in turn while the store or the readers fail.
"""

import json
from dataclasses import asdict, dataclass

from pollenstile.bench._crashworld import DEADLY, CrashWorld
from pollenstile.bench.lag import calm, ended, slow

# Seconds that are looked at, with crashes and before.
_LOOKED = 10.0
# Seconds between the caller's requests, and for which it comes.
_PAUSE = 0.3
_COMES = 9.0
_UPSTREAMS = 12
_FREE = 3
# Hosts and failure domains.
_SIZES = '9/4,30/3,60/4,90/3,195/6'
_MS = 1000


def store_away(fleet):
    """Refuse all calls of the store."""
    for host in fleet.hosts.values():
        host.path.refuses = True


FAULTS = {
    'none': calm,
    'store away': store_away,
    'store slow': slow,
    'readers ended': ended,
}


@dataclass(slots=True, frozen=True)
class Spread:
    """How a verdict reached the hosts.

    Parameters
    ==========

    hosts, domains : int
        Of the fleet.
    fault : str
        What failed.
    ends : int
        Upstreams that ended in all.
    known_ms : int
        From the third end until the last host refused the request.
    late : int
        Sends that reached upstreams after that.
    calm_host_bytes, host_bytes : int
        Between hosts, for each: in 10 s before, and in the 10 s of the crashes.
    calm_calls, calls : int
        Of the store, by all hosts, in the same times.
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


def spread_of(hosts, domains, fault):
    """Return the :class:`Spread` in a fleet under a fault."""
    world = CrashWorld(hosts, _UPSTREAMS, domains)
    fleet = world.fleet
    FAULTS[fault](fleet)
    fleet.advance(_LOOKED)
    calm_bytes, calm_calls = _costs(fleet, lambda: fleet.advance(_LOOKED))
    # One failure domain after the other.
    names = sorted((host.name for host in fleet.running()), key=_number)
    world.schedule_requests([DEADLY], _PAUSE, _COMES, names)
    unknown_at = [0.0]

    def look():
        ends = world.crash_times(DEADLY)
        holding = [
            bool(host.core.quarantine.verdicts.all_held())
            for host in fleet.running()
        ]
        if len(ends) >= _FREE and not all(holding):
            unknown_at.append(fleet.clock.seconds())

    sent, calls = _costs(fleet, lambda: fleet.advance(_LOOKED, look))
    ends = world.crash_times(DEADLY)
    known = max(0.0, unknown_at[-1] - ends[_FREE - 1])
    return Spread(
        hosts,
        domains,
        fault,
        len(ends),
        round(known * _MS),
        len(world.arrivals_after_third_crash(DEADLY, known)),
        calm_bytes,
        sent,
        calm_calls,
        calls,
    )


def _number(name):
    """Return a host's number; the next one is in another failure domain."""
    return int(name[1:])


def _costs(fleet, advance):
    """Return bytes for each host and calls of the store in some time."""
    hosts = fleet.running()
    hubs = [host.daemon.parts.hub for host in hosts]
    before = sum(hub.bytes_sent() for hub in hubs)
    calls = fleet.calls()
    advance()
    sent = sum(hub.bytes_sent() for hub in hubs) - before
    return round(sent / len(hosts)), fleet.calls() - calls


def add_parser(benches):
    """Add ``bench crashes``."""
    parser = benches.add_parser(
        'crashes',
        help='how soon hosts refuse what crashes upstreams, simulated',
    )
    parser.add_argument('--sizes', default=_SIZES, help='hosts/domains')
    parser.set_defaults(run=run)


def run(arguments):
    """Print a line for each size and fault."""
    for size in arguments.sizes.split(','):
        hosts, domains = map(int, size.split('/'))
        for fault in FAULTS:
            found = spread_of(hosts, domains, fault)
            print(json.dumps(asdict(found)), flush=True)
    return 0
