"""``pollenstile bench versions``: streams over upstreams of two versions.

Explanation
===========

Complete hosts run in virtual time over as many upstreams, three fifths of them
of one software version and the others of another, while upstreams crash, hosts
are killed or upstreams are replaced. Callers take a broken stream up again at a
host drawn at random. The same is played with one version.
"""

from dataclasses import dataclass
from functools import partial
from random import Random

from pollenstile.bench._commandline import (
    add_sizes,
    fleet_sizes,
    print_measured,
)
from pollenstile.bench._costs import measure_costs
from pollenstile.bench._streamtries import SERVICE
from pollenstile.bench._versionworld import Versions, VersionWorld
from pollenstile.origins import SOFTWARE_KIND
from pollenstile.peer import rank_candidates

# Seconds in which streams begin, and in which the last ones end.
SECONDS = 20.0
_DRAIN_SECONDS = 12.0
# New streams a second, for each host.
_RATE = 2.0
# Faults a second, in a fleet of nine hosts.
_CRASH_RATE = 0.8
_KILL_RATE = 0.5
_FLEET = 9
# Seconds at which the store, or a domain, is lost, and at which it is back.
_AWAY_AT = 4.0
_BACK_AT = 12.0
# Seconds in which all upstreams are replaced, and at which hosts are killed.
_REPLACE_SECONDS = 3.0
_RESTART_AT = 3.6
# Seconds at which the store takes records of versions again, and at which all
# hosts are killed soon after, or later.
_RECORDED_AT = 4.0
_SOON_AT = 4.2
_LATER_AT = 7.0
# Seconds at which all hosts are killed while the store is away for all or some
# of them, the seconds after its return, and the part of the hosts that lose it.
_OUTAGE_RESTARTS = (7.0, 11.0)
_RETURN_RESTART_SECONDS = 1.0
_LOST_SHARE = 0.7
# Hosts that stay away: those that write a record first.
_LOST_WRITERS = 3
_LOST_AT = 1.0
# Seconds by which watches are late at most, and kills of hosts a second, and
# the seconds in which they happen, meanwhile.
_WATCH_DELAYS = (0.8, 1.5, 2.5)
_LATE_KILL_RATE = 4.0
_LATE_SECONDS = 8.0
# Hosts and failure domains.
_SIZES = '9/4,30/3,60/4,195/6'


def _do_nothing(world):
    """Play no fault."""


def _crash_upstreams(world):
    _schedule(world, _CRASH_RATE, world.crash_upstream)


def _kill_hosts(world):
    _schedule(world, _KILL_RATE, world.kill_host)


def _schedule(world, rate, fault):
    share = len(world.fleet.hosts) / _FLEET
    world.schedule_randomly(rate * share, SECONDS, fault)


def _crash_and_kill(world):
    _crash_upstreams(world)
    _kill_hosts(world)


def _restart_all(world):
    """Kill all hosts at the same moment, twice."""
    for moment in (5.0, 12.0):
        _kill_all(world, moment)


def _replace_upstreams(world):
    world.schedule_replacement('v2', SECONDS)


def _kill_and_replace(world):
    _kill_hosts(world)
    _replace_upstreams(world)


def _lose_store(world):
    """Let the store refuse all hosts for a time, while hosts are killed."""
    _kill_hosts(world)
    _lose_store_until(world, _BACK_AT)


def _set_away(world, is_away):
    world.fleet.store.down = is_away


def _cut_domain(world):
    """Cut off a domain while upstreams are replaced and hosts are killed."""
    domain = next(iter(world.fleet.hosts.values())).domain
    world.later(_AWAY_AT, world.fleet.cut_off, domain)
    world.later(_BACK_AT, world.fleet.heal)
    _kill_and_replace(world)


def _replace_and_restart_all(world, restart_at=_RESTART_AT):
    """Kill all hosts just after the last upstreams of the old versions left."""
    world.schedule_replacement('v2', _REPLACE_SECONDS)
    _kill_all(world, restart_at)


def _refuse_records(world, restart_at):
    """Let the store refuse records while upstreams are replaced."""
    world.fleet.store.refused_kinds.add(SOFTWARE_KIND)
    world.later(_RECORDED_AT, world.fleet.store.refused_kinds.clear)
    _replace_and_restart_all(world, restart_at)


def _refuse_records_and_restart(world):
    _refuse_records(world, _SOON_AT)


def _refuse_records_and_restart_later(world):
    _refuse_records(world, _LATER_AT)


def _lose_store_and_restart_all(world):
    """Let the store be away when all hosts come back."""
    _replace_and_restart_all(world)
    world.later(_RESTART_AT, _set_away, world, True)
    world.later(_BACK_AT, _set_away, world, False)


def _lose_writers_and_restart_all(world):
    """Replace upstreams while the hosts that record versions first are away."""
    names = rank_candidates(
        f'software/{SERVICE}', world.fleet.hosts, _LOST_WRITERS
    )
    for name in names:
        world.later(_LOST_AT, world.end_host, name)
    world.later(_LOST_AT, world.schedule_replacement, 'v2', _REPLACE_SECONDS)
    _kill_all(world, _LATER_AT)


def _restart_all_in_outage(world):
    """Kill all hosts while the store is away for all of them."""
    _lose_store_until(world, _BACK_AT)
    _kill_all(world, _OUTAGE_RESTARTS[0])


def _restart_all_after_return(world):
    """Kill all hosts soon after the store answers again."""
    _lose_store_until(world, _OUTAGE_RESTARTS[0])
    _kill_all(world, _OUTAGE_RESTARTS[0] + _RETURN_RESTART_SECONDS)


def _silence_store_and_restart_all(world):
    """Kill all hosts, twice, while the store answers some of them."""
    names = list(world.fleet.hosts)
    lost = world.rng.sample(names, round(_LOST_SHARE * len(names)))
    world.later(_AWAY_AT, world.silence_store, lost)
    world.later(_BACK_AT, world.silence_store, ())
    for moment in _OUTAGE_RESTARTS:
        _kill_all(world, moment)


def _lose_store_until(world, back_at):
    world.later(_AWAY_AT, _set_away, world, True)
    world.later(back_at, _set_away, world, False)


def _kill_all(world, moment):
    for name in world.fleet.hosts:
        world.later(moment, world.kill_host, name)


def _delay_watches(seconds, world):
    """Let watches be late while hosts are killed and upstreams replaced."""
    world.fleet.delay_watches(partial(_watch_delay, seconds))
    world.schedule_replacement('v2', _REPLACE_SECONDS)
    share = len(world.fleet.hosts) / _FLEET
    world.schedule_randomly(
        _LATE_KILL_RATE * share, _LATE_SECONDS, world.kill_host
    )


def _watch_delay(seconds, name):
    """Return a host's delay: half of the seconds at least."""
    return seconds * Random(name).uniform(0.5, 1)


FAULTS = {
    'none': _do_nothing,
    'upstreams crash': _crash_upstreams,
    'hosts are killed': _kill_hosts,
    'upstreams crash and hosts are killed': _crash_and_kill,
    'all hosts restart': _restart_all,
    'hosts are killed and upstreams are replaced': _kill_and_replace,
    'upstreams are replaced and all hosts restart': _replace_and_restart_all,
    'the store is away and hosts are killed': _lose_store,
    'a domain is cut off': _cut_domain,
    'records are refused and all hosts restart': _refuse_records_and_restart,
    'records are refused and all hosts restart later': (
        _refuse_records_and_restart_later
    ),
    'the store is away and all hosts restart': _lose_store_and_restart_all,
    'the first writers are away and all hosts restart': (
        _lose_writers_and_restart_all
    ),
    **{
        f'watches are {seconds:g} s late': partial(_delay_watches, seconds)
        for seconds in _WATCH_DELAYS
    },
    'all hosts restart while the store is away': _restart_all_in_outage,
    'all hosts restart after the store is back': _restart_all_after_return,
    'some hosts lose the store and all hosts restart': (
        _silence_store_and_restart_all
    ),
}


@dataclass(slots=True, frozen=True)
class StreamCounts:
    """Measured streams of a run.

    Parameters
    ==========

    hosts, domains : int
        The number of hosts and failure domains of the fleet.
    versions : int
        The number of software versions at the start.
    fault : str
        The name of the fault.
    seed : int
        Seed of callers and faults.
    streams, begun, whole : int
        Streams, and those that began and were complete in the end.
    taken_up, went_on : int
        Streams that their callers took up again after an event, and those of
        them of which further events came.
    mixed, mixed_in_answer : int
        Streams with events of two versions, and those in one answer.
    unknown : int
        Tries that were refused because no host knew the version.
    host_bytes_s : int
        Bytes a second that a host sent to peers while streams began.
    calls : int
        Store calls of all hosts in that time.
    """

    hosts: int
    domains: int
    versions: int
    fault: str
    seed: int
    streams: int
    begun: int
    whole: int
    taken_up: int
    went_on: int
    mixed: int
    mixed_in_answer: int
    unknown: int
    host_bytes_s: int
    calls: int


def play(size, versions, fault, seed, rate=_RATE):
    """Play a fault while streams run; return the world and its costs.

    Parameters
    ==========

    size : tuple of int
        Number of hosts, of as many upstreams, and of failure domains.
    versions : Versions
        Software versions of the upstreams.
    fault : str
        Name of the fault.
    seed : int
        Seed of the callers and of the fault.
    rate : float
        New streams a second, for each host.
    """
    hosts, domains = size
    world = VersionWorld(hosts, hosts, domains, versions, seed)
    world.schedule_randomly(rate * hosts, SECONDS, world.start_stream)
    FAULTS[fault](world)
    costs = measure_costs(world.fleet, lambda: world.advance(SECONDS))
    world.advance(_DRAIN_SECONDS)
    return world, costs


def count_streams(size, versions, fault, seed, rate=_RATE):
    """Return the :class:`StreamCounts` of a run; see :func:`play`."""
    world, costs = play(size, versions, fault, seed, rate)
    callers = world.callers
    taken_up = world.taken_up()
    return StreamCounts(
        *size,
        len({versions.first, versions.second}),
        fault,
        seed,
        len(callers),
        sum(caller.has_begun() for caller in callers),
        sum(caller.answers[-1].end == 'whole' for caller in callers),
        len(taken_up),
        sum(caller.went_on() for caller in taken_up),
        len(world.mixed()),
        sum(caller.is_mixed_in_answer() for caller in callers),
        world.count_refusals('unknown version'),
        round(costs.host_bytes / SECONDS),
        costs.calls,
    )


def add_parser(benches):
    """Add ``bench versions``."""
    parser = benches.add_parser(
        'versions',
        help='streams over upstreams of two software versions, simulated',
    )
    add_sizes(parser, _SIZES)
    parser.add_argument('--seeds', default='1,2')
    parser.add_argument(
        '--rate',
        type=float,
        default=_RATE,
        help='new streams a second, for each host',
    )
    parser.add_argument('--faults', default=','.join(FAULTS))
    parser.set_defaults(run=run)


def run(arguments):
    """Print a JSON line for each fleet size, number of versions and fault."""
    for size in fleet_sizes(arguments.sizes):
        for fault in arguments.faults.split(','):
            for versions in (Versions(), Versions('v1', 'v1')):
                for seed in map(int, arguments.seeds.split(',')):
                    counts = count_streams(
                        size,
                        versions,
                        fault,
                        seed,
                        arguments.rate,
                    )
                    print_measured(counts)
    return 0
