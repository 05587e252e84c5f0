"""``pollenstile bench stages``: stage throughput by load and batching mode.

Explanation
===========

The queue, the chain and the admission control are the production code;
upstreams and time are virtual. There are two workloads with their own rates,
pieces and result sizes: the summaries, drafts and tags of a repair desk, and
the plans, advice and chats of a lesson desk.
"""

import json
from dataclasses import dataclass
from operator import itemgetter

from pollenstile.bench._silenthosts import SilentFleet
from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench._stageworld import (
    StageFleet,
    make_random,
    stage_limits,
    stage_route,
    start_request,
)

# Service names of the three stages.
_INTAKE = 'intake'
_PORTAL = 'portal'
_BILLS = 'bills'


def _chain(records, bytes_per_record, bytes_per_rank):
    """Return the steps of a request that runs all three stages in sequence."""
    return (
        (_INTAKE, (), records),
        (_PORTAL, (0,), bytes_per_record),
        (_BILLS, (1,), bytes_per_rank),
    )


@dataclass(slots=True, frozen=True)
class Desk:
    """A workload: stage services and the requests that use them.

    Parameters
    ==========

    services : dict
        :class:`~pollenstile.routes.StageLimits` by service name.
    upstreams : int
        The number of upstreams of each service.
    rates : tuple of tuple
        Route, requests per second, deadline in seconds, and functions that
        draw the pieces of each step and the seconds until the results are read.
    """

    services: dict
    upstreams: int
    rates: tuple


def _few_pieces(rng):
    return (rng.choice((1, 2, 2, 3, 3, 4)),)


def _repair_pieces(rng):
    return (1, 4, rng.choice((4, 5, 6, 7, 8)))


def _lesson_pieces(rng):
    return (1, 8, rng.randrange(8, 25))


def _usual_read_seconds(rng):
    """Return seconds until the model engine has read the results."""
    return 0.2


def _plan_read_seconds(rng):
    # One prompt in four is large, which leaves half the time for the stage.
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
        (SUMMARY, 4.4, 12.0, _few_pieces, _usual_read_seconds),
        (DRAFT, 10.3, 15.0, _repair_pieces, _usual_read_seconds),
        (TAG, 9.1, 6.0, _repair_pieces, _usual_read_seconds),
    ),
)
# Shorter calls and target latencies, fewer upstreams, results of 3 MB.
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
        (PLAN, 5.8, 6.0, _few_pieces, _plan_read_seconds),
        (ADVICE, 11.8, 6.0, _lesson_pieces, _usual_read_seconds),
        (CHAT, 10.2, 15.0, _lesson_pieces, _usual_read_seconds),
    ),
)
DESKS = {'repair': REPAIR, 'lesson': LESSON}
# Seconds within which drafts and tags should complete their stages.
IN_TIME = 1.6
# Seconds after the last arrival within which all requests end.
_TAIL_SECONDS = 16.0
# Names of the routes with a single stage.
_SINGLE = frozenset((SUMMARY.name, PLAN.name))
_HOSTS = 9
# Exclusive limit of the random number that assigns a request to a host.
_HOST_NUMBERS = 360
# Seconds of arrivals in a run in which hosts lose power.
_LOSS_SECONDS = 16.0
# Seconds of arrivals in a run with silences, and when these begin.
_SILENCE_SECONDS = 14.0
_SILENCES_AT = (4.0, 9.0)
# One-way latency between two hosts, in seconds.
_ONE_WAY_SECONDS = 0.0015


def simulate_load(load, seconds=30.0, seed=1, owners=1, desk=REPAIR):
    """Run a workload over shared or separate queues; return its requests.

    Parameters
    ==========

    load : float
        Multiplier of the request rates of the workload.
    seconds : float
        Virtual time of arrivals.
    owners : int
        The number of queues of each service: 1, or the number of hosts.
    desk : Desk
        The workload.

    Returns
    =======

    list of Served
    """
    rng = make_random(seed)
    fleet = StageFleet(desk.services, desk.upstreams, owners)
    requests = [
        _start_at(fleet, rng, number, *arrival)
        for number, arrival in enumerate(_arrivals(rng, desk, load, seconds))
    ]
    fleet.advance(_TAIL_SECONDS)
    return requests


def simulate_hosts(load, hosts, seconds=20.0, seed=1, *, owners_die=False):
    """Run the repair workload over hosts with real hubs; return its requests.

    Parameters
    ==========

    owners_die : bool
        Whether the hosts that own the first and the last stage lose power,
        after a quarter and after half of the time. Their own requests are lost.
    """
    fleet = HostFleet(REPAIR.services, hosts, _ONE_WAY_SECONDS)
    if owners_die:
        fleet.lose_owner(_INTAKE, seconds / 4)
        fleet.lose_owner(_BILLS, seconds / 2)
    return _simulate(fleet, load, seconds, seed)


def simulate_power_losses(load, hosts, share, after, away, seed=1):
    """Run the repair workload while many hosts lose power at the same time.

    Parameters
    ==========

    share : float
        The share of the hosts that lose power.
    after : float
        Seconds until the power loss.
    away : float
        Seconds from the power loss until the hosts start again.

    Returns
    =======

    list of Served
    """
    fleet = HostFleet(REPAIR.services, hosts, _ONE_WAY_SECONDS)
    fleet.lose_hosts(share, after, away)
    return _simulate(fleet, load, _LOSS_SECONDS, seed)


def simulate_silences(load, hosts, silence, seed=1):
    """Run the repair workload while upstreams, hosts or links stand still.

    Parameters
    ==========

    silence : function
        Takes the fleet and a random generator; called twice.

    Returns
    =======

    list of Served
    """
    fleet = SilentFleet(REPAIR.services, hosts, _ONE_WAY_SECONDS)
    rng = make_random(f'silence {seed}')
    for after in _SILENCES_AT:
        fleet.clock.callLater(after, silence, fleet, rng)
    return _simulate(fleet, load, _SILENCE_SECONDS, seed)


def _simulate(fleet, load, seconds, seed):
    rng = make_random(seed)
    start = fleet.clock.seconds()
    requests = [
        _start_at(fleet, rng, number, start + arrival_time, *request)
        for number, (arrival_time, *request) in enumerate(
            _arrivals(rng, REPAIR, load, seconds)
        )
    ]
    fleet.advance(_TAIL_SECONDS)
    return requests


def _arrivals(rng, desk, load, seconds):
    """Return the arrival time and the parameters of each request, sorted."""
    arrivals = [
        (arrival_time, route, *request)
        for route, rate, *request in desk.rates
        for arrival_time in _arrival_times(rng, rate * load, seconds)
    ]
    return sorted(arrivals, key=itemgetter(0))


def _start_at(fleet, rng, number, arrival_time, route, *request):
    deadline, pieces, read = request
    fleet.advance(arrival_time - fleet.clock.seconds())
    return start_request(
        fleet,
        fleet.client(rng.randrange(_HOST_NUMBERS)),
        route,
        pieces(rng),
        f'r{number}',
        deadline,
        read(rng),
    )


def summarize(requests):
    """Return the statistics of a simulated load as a JSON document."""
    chained = [served for served in requests if served.kind not in _SINGLE]
    in_time = [
        served
        for served in chained
        if (served.stage_seconds or _TAIL_SECONDS) <= IN_TIME
    ]
    in_aim = [
        served
        for served in requests
        if (served.stage_seconds or _TAIL_SECONDS) + served.read <= served.aim
    ]
    refused = [served for served in requests if served.refused]
    at_once = [
        served for served in refused if served.refused_after <= served.aim / 8
    ]
    return {
        'requests': len(requests),
        'in_time': round(len(in_time) / max(1, len(chained)), 3),
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
        help='workload (default: repair)',
    )
    parser.add_argument(
        '--hosts',
        default='',
        help='simulate these numbers of hosts with real hubs, e.g. 9,65,340',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print statistics by load, for a shared queue and for separate queues."""
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


def _arrival_times(rng, rate, seconds):
    arrival_time = rng.expovariate(rate)
    while arrival_time < seconds:
        yield arrival_time
        arrival_time += rng.expovariate(rate)
