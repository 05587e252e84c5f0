"""How much stage work gets through in time, by load and by who batches.

Explanation
===========

The queue, the chain and the admission are the product's; upstreams and time
are virtual. The loads are those of two sheets, with the rates, pieces and sizes
that they name: a repair desk's summaries, drafts and tags, and a lesson desk's
plans, advice and chats.
"""

import json
from dataclasses import dataclass
from operator import itemgetter

from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench._stageworld import (
    StageFleet,
    seeded,
    stage_limits,
    stage_route,
    start_request,
)

# Service names of the three stages.
_INTAKE = 'intake'
_PORTAL = 'portal'
_BILLS = 'bills'


def _chain(records, bytes_per_record, bytes_per_rank):
    """Return the steps of a request that needs all three stages in a row."""
    return (
        (_INTAKE, (), records),
        (_PORTAL, (0,), bytes_per_record),
        (_BILLS, (1,), bytes_per_rank),
    )


@dataclass(slots=True, frozen=True)
class Desk:
    """A load: services, and the requests that need them.

    Parameters
    ==========

    services : dict
        :class:`~pollenstile.routes.StageLimits` by name.
    upstreams : int
        Of each service.
    rates : tuple of tuple
        Route, requests a second, deadline in seconds, and functions that draw
        the pieces of each step and the seconds until the results are read.
    """

    services: dict
    upstreams: int
    rates: tuple


def _few(rng):
    return (rng.choice((1, 2, 2, 3, 3, 4)),)


def _repair_pieces(rng):
    return (1, 4, rng.choice((4, 5, 6, 7, 8)))


def _lesson_pieces(rng):
    return (1, 8, rng.randrange(8, 25))


def _usual_read(rng):
    """Return seconds until the model engine has read the results."""
    return 0.2


def _plan_read(rng):
    # One prompt in four is large, and leaves half the time for the stage.
    return rng.choice((0.15, 0.2, 0.25, 0.55))


SUMMARY = stage_route('summary', 1.7, 1, [(_INTAKE, (), 800_000)])
_REPAIR_CHAIN = _chain(8000, 60_000, 6000)
DRAFT = stage_route('draft', 2.3, 0, _REPAIR_CHAIN)
TAG = stage_route('tag', 2.3, 2, _REPAIR_CHAIN)
REPAIR = Desk(
    {
        _INTAKE: stage_limits(8, 240, 25.5, 9.33),
        _PORTAL: stage_limits(18, 240, 11.36, 1.93),
        _BILLS: stage_limits(25, 240, 8.16, 0.28),
    },
    4,
    (
        (SUMMARY, 4.4, 12.0, _few, _usual_read),
        (DRAFT, 10.3, 15.0, _repair_pieces, _usual_read),
        (TAG, 9.1, 6.0, _repair_pieces, _usual_read),
    ),
)
# Shorter calls and aims, few upstreams, results of 3 MB.
PLAN = stage_route('plan', 1.0, 0, [(_INTAKE, (), 3_000_000)])
ADVICE = stage_route('advice', 2.2, 1, _REPAIR_CHAIN)
CHAT = stage_route('chat', 2.4, 2, _REPAIR_CHAIN)
LESSON = Desk(
    {
        _INTAKE: stage_limits(7, 150, 18.3, 35),
        _PORTAL: stage_limits(32, 150, 4.04, 5.73),
        _BILLS: stage_limits(63, 150, 2.05, 1.16),
    },
    3,
    (
        (PLAN, 5.8, 6.0, _few, _plan_read),
        (ADVICE, 11.8, 6.0, _lesson_pieces, _usual_read),
        (CHAT, 10.2, 15.0, _lesson_pieces, _usual_read),
    ),
)
DESKS = {'repair': REPAIR, 'lesson': LESSON}
# Seconds in which drafts and tags are to be through their stages.
IN_TIME = 1.6
# Seconds after the last arrival until all has ended.
_TAIL = 16.0
# Kinds of requests without a chain of stages.
_SINGLE = frozenset((SUMMARY.name, PLAN.name))
_HOSTS = 9
# Requests are spread over hosts by a number below this.
_MOST_HOSTS = 360
# Seconds of arrivals of a load whose hosts lose power.
_LOSS_SECONDS = 16.0
# Seconds between two hosts, one way.
_WAY = 0.0015


def simulate_load(load, seconds=30.0, seed=1, owners=1, desk=REPAIR):
    """Play a load and return its requests.

    Parameters
    ==========

    load : float
        Times the sheet's rates.
    seconds : float
        Virtual time of arrivals.
    owners : int
        Queues of each service; 1, or one a host.
    desk : Desk
        Whose load it is.

    Returns
    =======

    list of Served
    """
    rng = seeded(seed)
    fleet = StageFleet(desk.services, desk.upstreams, owners)
    requests = [
        _started(fleet, rng, number, *arrival)
        for number, arrival in enumerate(_arrivals(rng, desk, load, seconds))
    ]
    fleet.advance(_TAIL)
    return requests


def simulate_hosts(load, hosts, seconds=20.0, seed=1, *, owners_die=False):
    """Play a load over hosts with real hubs; return its requests.

    Parameters
    ==========

    owners_die : bool
        Whether the hosts that own the first and the last stage lose power, at
        a quarter and at a half of the time; their own requests end with them.
    """
    fleet = HostFleet(REPAIR.services, hosts, _WAY)
    if owners_die:
        fleet.lose_owner(_INTAKE, seconds / 4)
        fleet.lose_owner(_BILLS, seconds / 2)
    return _played_over(fleet, load, seconds, seed)


def simulate_power_losses(load, hosts, share, after, away, seed=1):
    """Play a load over hosts of which many lose power; return its requests.

    Parameters
    ==========

    share : float
        Of the hosts, that lose power at once.
    after, away : float
        Seconds until then, and until they have started again.
    """
    fleet = HostFleet(REPAIR.services, hosts, _WAY)
    fleet.lose_hosts(share, after, away)
    return _played_over(fleet, load, _LOSS_SECONDS, seed)


def _played_over(fleet, load, seconds, seed):
    rng = seeded(seed)
    start = fleet.clock.seconds()
    requests = [
        _started(fleet, rng, number, start + moment, *request)
        for number, (moment, *request) in enumerate(
            _arrivals(rng, REPAIR, load, seconds)
        )
    ]
    fleet.advance(_TAIL)
    return requests


def _arrivals(rng, desk, load, seconds):
    """Return the moment and the rest of each request, in order."""
    arrivals = [
        (moment, route, *request)
        for route, rate, *request in desk.rates
        for moment in _moments(rng, rate * load, seconds)
    ]
    return sorted(arrivals, key=itemgetter(0))


def _started(fleet, rng, number, moment, route, *request):
    deadline, pieces, read = request
    fleet.advance(moment - fleet.clock.seconds())
    return start_request(
        fleet,
        fleet.client(rng.randrange(_MOST_HOSTS)),
        route,
        pieces(rng),
        f'r{number}',
        deadline,
        read(rng),
    )


def summarize(requests):
    """Return figures of a played load, as a document."""
    chained = [one for one in requests if one.kind not in _SINGLE]
    through = [
        one for one in chained if (one.stage_seconds or _TAIL) <= IN_TIME
    ]
    in_aim = [
        one
        for one in requests
        if (one.stage_seconds or _TAIL) + one.read <= one.aim
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
        '--desk',
        choices=sorted(DESKS),
        default='repair',
        help='whose load (default: repair)',
    )
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
        desk = DESKS[arguments.desk]
        rows[load] = {
            'one_queue': summarize(simulate_load(*args, desk=desk)),
            'hosts_alone': summarize(simulate_load(*args, _HOSTS, desk)),
        }
    print(json.dumps(rows, indent=2))
    return 0


def _run_hosts(arguments):
    rows = {}
    for load in arguments.loads.split(','):
        for hosts in arguments.hosts.split(','):
            args = (float(load), int(hosts), arguments.seconds, arguments.seed)
            rows[f'load {load}, {hosts} hosts'] = {
                'calm': summarize(simulate_hosts(*args)),
                'owners_die': summarize(simulate_hosts(*args, owners_die=True)),
            }
    print(json.dumps(rows, indent=2))
    return 0


def _moments(rng, rate, seconds):
    moment = rng.expovariate(rate)
    while moment < seconds:
        yield moment
        moment += rng.expovariate(rate)
