"""``pollenstile bench silences``: upstreams that fall silent and go on.

Explanation
===========

Complete hosts run in virtual time over as many upstreams, a part of which
stands still three times and goes on where it was, or falls silent for good.
Nothing crashes, and all callers have time left. The same is played while the
configuration changes.
"""

from dataclasses import dataclass
from itertools import pairwise, product

from pollenstile.bench._commandline import (
    add_sizes,
    fleet_sizes,
    print_measured,
)
from pollenstile.bench._silenceworld import ROUTES, Silence, SilenceWorld

# Times at which upstreams fall silent, in seconds from the first request.
_MOMENTS = (4.0, 10.5, 17.0)
# Seconds from the last silence in which requests begin, and then end.
_AFTER_SECONDS = 7.0
_DRAIN_SECONDS = 13.0
# New requests a second, for each host.
RATE = 3.0
# Seconds from a silence to the change of the configuration in it.
_CHANGE_SECONDS = 0.4
_SHARES = (0.3, 0.6, 1.0)
_LENGTHS = (0.6, 1.0, 1.3, 1.8, 2.5, 4.0)
# Connections that fall silent, a second and upstream.
_CONNECTION_RATE = 0.1
FOR_GOOD = float('inf')
# Hosts and failure domains.
_SIZES = '9/4,30/3'
_MS = 1000
_HIGH_PERCENT = 95

SILENCES = (
    Silence(),
    *(Silence(share, length) for share in _SHARES for length in _LENGTHS),
    Silence(0.3, FOR_GOOD),
    Silence(connections=_CONNECTION_RATE),
)


@dataclass(slots=True, frozen=True)
class SilenceCounts:
    """Measured requests of a run.

    Parameters
    ==========

    hosts, domains : int
        The number of hosts and failure domains of the fleet.
    route : str
        The name of the route.
    share, seconds : float
        Part of the upstreams that stood still, and for how long each time;
        -1 for good.
    connections : float
        Connections that fell silent for good, a second and upstream.
    changes : bool
        Whether the configuration changed meanwhile.
    seed : int
        Seed of callers and silences.
    requests, whole, whole_at_once : int
        Callers, those that had the whole answer in their time, and those that
        had it in the answer to their first try.
    cut_off : int
        First tries whose answer broke off in the middle.
    refused : dict
        Number of refused first tries by status.
    missing, surplus : int
        Events that lacked from whole answers, and that came twice or out of
        order.
    overrun : int
        Requests that reached more upstreams than the route allows.
    repeats : int
        Runs beyond the first of their request.
    budget_share : float
        Largest part of the allowed repeats that a window had.
    held : int
        Sends that reached an upstream while it stood still.
    wasted_seconds : float
        Work on events that no caller got.
    first_ms, first_high_ms : int
        Median and 95th percentile of the time to the first event.
    gap_high_ms : int
        95th percentile of the callers' longest gaps between events.
    """

    hosts: int
    domains: int
    route: str
    share: float
    seconds: float
    connections: float
    changes: bool
    seed: int
    requests: int
    whole: int
    whole_at_once: int
    cut_off: int
    refused: dict
    missing: int
    surplus: int
    overrun: int
    repeats: int
    budget_share: float
    held: int
    wasted_seconds: float
    first_ms: int
    first_high_ms: int
    gap_high_ms: int


def play(
    size,
    route,
    silence,
    seed,
    *,
    changes=False,
    rate=RATE,
    moments=_MOMENTS,
):
    """Play a silence while requests run; return the world.

    Parameters
    ==========

    size : tuple of int
        Number of hosts, of as many upstreams, and of failure domains.
    route : str
        Name of the route.
    silence : Silence
        How upstreams fall silent.
    seed : int
        Seed of the callers and of the silence.
    changes : bool
        Whether the configuration changes during each silence.
    rate : float
        New requests a second, for each host.
    moments : tuple of float
        Times at which upstreams fall silent; only the first counts if they do
        so for good.
    """
    hosts, domains = size
    seconds = moments[-1] + _AFTER_SECONDS
    world = SilenceWorld(hosts, domains, route, seed)
    world.schedule_randomly(rate * hosts, seconds, world.start_caller)
    world.schedule_randomly(
        silence.connections * hosts, seconds, world.silence_connection
    )
    is_for_good = silence.seconds == FOR_GOOD
    for moment in moments[:1] if is_for_good else moments:
        world.later(moment, world.fall_silent, silence.share, silence.seconds)
        if changes:
            world.later(moment + _CHANGE_SECONDS, world.change_configuration)
    world.advance(seconds)
    world.advance_until_idle(_DRAIN_SECONDS)
    return world


def first_refusals(world):
    """Return the number of refused first tries by status."""
    statuses = [
        caller.answers[0].status
        for caller in world.callers
        if caller.answers[0].refusal is not None
    ]
    return {status: statuses.count(status) for status in sorted(set(statuses))}


def cut_off(world):
    """Return the callers whose first answer broke off in the middle."""
    return [
        caller for caller in world.callers if caller.answers[0].end == 'broken'
    ]


def _percentile(found, percent):
    """Return a percentile in milliseconds; -1 without a value."""
    if not found:
        return -1
    place = min(len(found) - 1, len(found) * percent // 100)
    return round(sorted(found)[place] * _MS)


def _longest_gap(times):
    return max((late - early for early, late in pairwise(times)), default=0.0)


def count_requests(size, route, silence, seed, *, changes=False, rate=RATE):
    """Return the :class:`SilenceCounts` of a run; see :func:`play`."""
    world = play(size, route, silence, seed, changes=changes, rate=rate)
    callers = world.callers
    firsts = [
        caller.times()[0] - caller.began for caller in callers if caller.times()
    ]
    gaps = [_longest_gap(caller.times()) for caller in callers]
    is_for_good = silence.seconds == FOR_GOOD
    return SilenceCounts(
        *size,
        route,
        silence.share,
        -1 if is_for_good else silence.seconds,
        silence.connections,
        changes,
        seed,
        len(callers),
        sum(caller.is_whole() for caller in callers),
        sum(caller.answers[0].end == 'whole' for caller in callers),
        len(cut_off(world)),
        first_refusals(world),
        sum(caller.missing() for caller in callers),
        sum(caller.surplus() for caller in callers),
        len(world.overrun()),
        len(world.repeats()),
        round(world.budget_share(), 2),
        len(world.upstreams.held),
        round(world.wasted_seconds(), 1),
        _percentile(firsts, 50),
        _percentile(firsts, _HIGH_PERCENT),
        _percentile(gaps, _HIGH_PERCENT),
    )


def add_parser(benches):
    """Add ``bench silences``."""
    parser = benches.add_parser(
        'silences',
        help='upstreams that fall silent and go on, simulated',
    )
    add_sizes(parser, _SIZES)
    parser.add_argument('--seeds', default='1,2')
    parser.add_argument(
        '--rate',
        type=float,
        default=RATE,
        help='new requests a second, for each host',
    )
    parser.add_argument(
        '--routes', default=';'.join(ROUTES), help='separated by semicolons'
    )
    parser.add_argument(
        '--changes',
        default='0,1',
        help='whether the configuration changes during silences, 0 or 1',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print a JSON line for each fleet size, route, silence and seed."""
    sizes = fleet_sizes(arguments.sizes)
    seeds = list(map(int, arguments.seeds.split(',')))
    changes = [text == '1' for text in arguments.changes.split(',')]
    for case in product(
        sizes, arguments.routes.split(';'), SILENCES, changes, seeds
    ):
        *played, has_changes, seed = case
        counts = count_requests(
            *played, seed, changes=has_changes, rate=arguments.rate
        )
        print_measured(counts)
    return 0
