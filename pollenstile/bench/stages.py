"""How much stage work gets through in time, by load and by who batches.

Explanation
===========

The queue, the chain and the admission are the product's; upstreams and time
are virtual. The load is that of a repair desk's sheet: summaries, drafts and
tags, with the rates, pieces and sizes that it names.
"""

import json
from operator import itemgetter

from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench._stageworld import (
    StageFleet,
    seeded,
    stage_limits,
    stage_route,
    start_request,
)

_INTAKE = 'intake'
_PORTAL = 'portal'
_BILLS = 'bills'
SERVICES = {
    _INTAKE: stage_limits(8, 240, 25.5, 9.33),
    _PORTAL: stage_limits(18, 240, 11.36, 1.93),
    _BILLS: stage_limits(25, 240, 8.16, 0.28),
}
SUMMARY = stage_route('summary', 1.7, 1, [(_INTAKE, (), 800_000)])
_CHAIN = (
    (_INTAKE, (), 8000),
    (_PORTAL, (0,), 60_000),
    (_BILLS, (1,), 6000),
)
DRAFT = stage_route('draft', 2.3, 0, _CHAIN)
TAG = stage_route('tag', 2.3, 2, _CHAIN)
# Requests a second and deadline in seconds of each kind.
_RATES = ((SUMMARY, 4.4, 12.0), (DRAFT, 10.3, 15.0), (TAG, 9.1, 6.0))
# Seconds until the model engine has read the results.
_READ = 0.2
# Seconds in which drafts and tags are to be through their stages.
IN_TIME = 1.6
# Seconds after the last arrival until all has ended.
_TAIL = 16.0
_HOSTS = 9
# Requests are spread over hosts by a number below this.
_MOST_HOSTS = 360
# Seconds between two hosts, one way.
_WAY = 0.0015


def played(load, seconds=30.0, seed=1, owners=1):
    """Play a load and return its requests.

    Parameters
    ==========

    load : float
        Times the sheet's rates.
    seconds : float
        Virtual time of arrivals.
    owners : int
        Queues of each service; 1, or one a host.

    Returns
    =======

    list of Served
    """
    rng = seeded(seed)
    fleet = StageFleet(SERVICES, owners=owners)
    requests = [
        _started(fleet, rng, number, *arrival)
        for number, arrival in enumerate(_arrivals(rng, load, seconds))
    ]
    fleet.advance(_TAIL)
    return requests


def played_by_hosts(load, hosts, seconds=20.0, seed=1, *, owners_die=False):
    """Play a load over hosts with real hubs; return its requests.

    Parameters
    ==========

    owners_die : bool
        Whether the hosts that own the first and the last stage lose power, at
        a quarter and at a half of the time; their own requests end with them.
    """
    rng = seeded(seed)
    fleet = HostFleet(SERVICES, hosts, _WAY)
    if owners_die:
        fleet.lose_owner(_INTAKE, seconds / 4)
        fleet.lose_owner(_BILLS, seconds / 2)
    start = fleet.clock.seconds()
    requests = [
        _started(fleet, rng, number, start + moment, route, deadline)
        for number, (moment, route, deadline) in enumerate(
            _arrivals(rng, load, seconds)
        )
    ]
    fleet.advance(_TAIL)
    return requests


def _arrivals(rng, load, seconds):
    """Return moment, route and deadline of each request, in order."""
    arrivals = [
        (moment, route, deadline)
        for route, rate, deadline in _RATES
        for moment in _moments(rng, rate * load, seconds)
    ]
    return sorted(arrivals, key=itemgetter(0))


def _started(fleet, rng, number, moment, route, deadline):
    fleet.advance(moment - fleet.clock.seconds())
    return start_request(
        fleet,
        fleet.client(rng.randrange(_MOST_HOSTS)),
        route,
        _counts(rng, route),
        f'r{number}',
        deadline,
        _READ,
    )


def summed(requests):
    """Return figures of a played load, as a document."""
    chained = [one for one in requests if one.kind != SUMMARY.name]
    through = [one for one in chained if (one.staged or _TAIL) <= IN_TIME]
    in_aim = [
        one for one in requests if (one.staged or _TAIL) + _READ <= one.aim
    ]
    refused = [one for one in requests if one.refused]
    at_once = [one for one in refused if one.refused_after <= one.aim / 8]
    return {
        'requests': len(requests),
        'in_time': round(len(through) / max(1, len(chained)), 3),
        'in_aim': round(len(in_aim) / max(1, len(requests)), 3),
        'in_aim_number': len(in_aim),
        'refused': len(refused),
        'refused_at_once': len(at_once),
    }


def add_parser(benches):
    """Add ``bench stages``."""
    parser = benches.add_parser('stages', help='stage work by load, simulated')
    parser.add_argument('--loads', default='1,1.5,2,2.5,4')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--hosts',
        default='',
        help='play these numbers of hosts with real hubs, such as 9,65,340',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print figures by load, for one queue a stage and for hosts alone."""
    if arguments.hosts:
        return _run_hosts(arguments)
    rows = {}
    for load in arguments.loads.split(','):
        args = (float(load), arguments.seconds, arguments.seed)
        rows[load] = {
            'one_queue': summed(played(*args)),
            'hosts_alone': summed(played(*args, _HOSTS)),
        }
    print(json.dumps(rows, indent=2))
    return 0


def _run_hosts(arguments):
    rows = {}
    for load in arguments.loads.split(','):
        for hosts in arguments.hosts.split(','):
            args = (float(load), int(hosts), arguments.seconds, arguments.seed)
            rows[f'load {load}, {hosts} hosts'] = {
                'calm': summed(played_by_hosts(*args)),
                'owners_die': summed(played_by_hosts(*args, owners_die=True)),
            }
    print(json.dumps(rows, indent=2))
    return 0


def _moments(rng, rate, seconds):
    moment = rng.expovariate(rate)
    while moment < seconds:
        yield moment
        moment += rng.expovariate(rate)


def _counts(rng, route):
    if route is SUMMARY:
        return (rng.choice((1, 2, 2, 3, 3, 4)),)
    return (1, 4, rng.choice((4, 5, 6, 7, 8)))
