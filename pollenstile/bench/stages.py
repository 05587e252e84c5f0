"""``pollenstile bench stages``: stage throughput by load and batching mode.

Explanation
===========

The queue, the chain and the admission control are the production code;
upstreams and time are virtual. There are two workloads with their own rates,
pieces and result sizes: the summaries, drafts and tags of a repair desk, and
the plans, advice and chats of a lesson desk.
"""

import json
from dataclasses import replace
from operator import itemgetter

from pollenstile.bench._gradedload import (
    GradedLoad,
    UsageSampler,
    summarize_graded,
)
from pollenstile.bench._silenthosts import SilentFleet
from pollenstile.bench._stagedesks import (
    BILLS,
    DESKS,
    GRADED,
    INTAKE,
    PLAN,
    REPAIR,
    SUMMARY,
)
from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench._stageworld import (
    Arrival,
    StageFleet,
    make_random,
    start_request,
)

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


def simulate_graded(load, seconds=30.0, seed=1, *, graded=True, surge=None):
    """Run the workload of three graded urgencies over shared queues.

    Parameters
    ==========

    load : float
        Multiplier of the request rates of the workload.
    graded : bool
        Whether the queues admit by shares.
    surge : dict or None
        Further multipliers by route name.

    Returns
    =======

    GradedLoad
    """
    fleet = StageFleet(GRADED.services, GRADED.upstreams, graded=graded)
    usage = UsageSampler(fleet)
    rates = tuple(
        (route, rate * (surge or {}).get(route.name, 1), *request)
        for route, rate, *request in GRADED.rates
    )
    requests = _simulate(
        fleet, load, seconds, seed, replace(GRADED, rates=rates)
    )
    return GradedLoad(requests, fleet, usage)


def simulate_graded_hosts(fleet, load, seconds, seed=1):
    """Run the workload of three graded urgencies over hosts with real hubs."""
    return _simulate(fleet, load, seconds, seed, GRADED)


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
    fleet = StageFleet(desk.services, desk.upstreams, owners)
    return _simulate(fleet, load, seconds, seed, desk)


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
        fleet.lose_owner(INTAKE, seconds / 4)
        fleet.lose_owner(BILLS, seconds / 2)
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


def _simulate(fleet, load, seconds, seed, desk=REPAIR):
    rng = make_random(seed)
    start = fleet.clock.seconds()
    requests = []
    for arrival_time, *request in _arrivals(rng, desk, load, seconds):
        fleet.advance(start + arrival_time - fleet.clock.seconds())
        served = _start(fleet, rng, f'r{len(requests)}', desk, *request)
        requests.append(served)
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


def _start(fleet, rng, ident, desk, route, *request):
    deadline, pieces, read = request
    client = fleet.client(rng.randrange(_HOST_NUMBERS))
    ends = fleet.clock.seconds() + deadline
    arrival = Arrival(ident, route, pieces(rng), ends)
    read_after = read(rng)
    arrival.team = desk.teams(rng)
    return start_request(fleet, client, arrival, read_after)


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
    if arguments.desk == 'graded':
        return _run_graded(arguments)
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


def _run_graded(arguments):
    rows = {}
    for load in arguments.loads.split(','):
        args = (float(load), arguments.seconds, arguments.seed)
        rows[load] = {
            'shares': summarize_graded(simulate_graded(*args)),
            'no_shares': summarize_graded(simulate_graded(*args, graded=False)),
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
