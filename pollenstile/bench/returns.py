"""``pollenstile bench returns``: a store that comes back from an older copy.

Explanation
===========

Complete hosts run in virtual time beside an operator and upstreams that write
to the store. The store is away for a moment and comes back from a copy of some
time before, or, to compare, as it was. Changes go on after it.
"""

from dataclasses import dataclass

from pollenstile.bench._commandline import (
    add_sizes,
    fleet_sizes,
    print_measured,
)
from pollenstile.bench._costs import measure_costs
from pollenstile.bench._returnworld import (
    ReturnWorld,
    hosts_refusing_keys,
    hosts_with_old_version,
    hosts_with_wrong_upstreams,
)

# Hosts and failure domains.
_SIZES = '9/4,30/3,60/4,195/6'
_CALM_SECONDS = 4.0
_AWAY_SECONDS = 1.5
# Seconds after which a host must know a change; and for which a run is watched
# after the store's return.
_BOUND_SECONDS = 2.0
_WATCHED_SECONDS = 8.0
_LATE_SECONDS = 5.0
_KINDS = ('early', 'late', 'away', 'compacted', 'twice', 'killed', 'cut')
_LOOK_EVERY = 5


@dataclass(slots=True, frozen=True)
class Returned:
    """What a return of the store has changed.

    Parameters
    ==========

    hosts, domains, seed : int
        Size and seed of the run.
    kind : str
        What has happened to the store.
    lost, after : int
        Changes that the store has lost, and versions and departures after it.
    old_versions, wrong_upstreams : int
        Hosts that do not know the changes in time.
    refusing_ms : int
        Longest time for which a host would refuse requests with a key.
    calm_bytes, host_bytes : int
        Bytes sent to peers per host and second, before it and after it.
    calm_calls, calls : float
        Calls of the store per host and second, before it and after it.
    """

    hosts: int
    domains: int
    seed: int
    kind: str
    lost: int
    after: int
    old_versions: int
    wrong_upstreams: int
    refusing_ms: int
    calm_bytes: int
    host_bytes: int
    calm_calls: float
    calls: float


class _Refusals:
    """Counts how long each host would refuse requests with a key."""

    __slots__ = ('looks', 'steps', 'world')

    def __init__(self, world):
        self.world = world
        self.steps = 0
        self.looks = {}

    def look(self):
        """Note which hosts refuse now; called after each step."""
        self.steps += 1
        if self.steps % _LOOK_EVERY:
            return
        for name in hosts_refusing_keys(self.world):
            self.looks[name] = self.looks.get(name, 0) + 1

    def longest_ms(self):
        """Return the longest time of one host."""
        return max(self.looks.values(), default=0) * _LOOK_EVERY * 10


def measure_return(hosts, domains, seed, kind, lost, after):
    """Return what happens when the store goes away and comes back."""
    world = ReturnWorld(hosts, domains, seed)
    calm = measure_costs(world, lambda: world.advance(_CALM_SECONDS))
    refusals = _Refusals(world)
    costs = measure_costs(
        world, lambda: _lose_and_return(world, kind, lost, refusals.look)
    )
    for _ in range(after):
        world.write_version(world.newest + 1)
    for name in world.usable()[:after]:
        world.say_leaving(name)
    world.advance(_BOUND_SECONDS, refusals.look)
    seconds = _WATCHED_SECONDS + _AWAY_SECONDS
    return Returned(
        hosts,
        domains,
        seed,
        kind,
        lost,
        after,
        len(hosts_with_old_version(world)),
        len(hosts_with_wrong_upstreams(world)),
        refusals.longest_ms(),
        round(calm.host_bytes / _CALM_SECONDS),
        round(costs.host_bytes / seconds),
        round(calm.calls / _CALM_SECONDS / hosts, 2),
        round(costs.calls / seconds / hosts, 2),
    )


def _lose_and_return(world, kind, lost, look):
    if kind not in {'away', 'compacted'}:
        world.take_copy()
    world.change_often(lost)
    _disturb(world, kind)
    world.advance(1.0, look)
    world.store.down = True
    world.advance(_AWAY_SECONDS, look)
    if kind == 'compacted':
        world.store.objects.compact()
    world.come_back('late' if kind == 'late' else 'early')
    if kind == 'twice':
        world.advance(0.3, look)
        world.come_back('early')
    world.advance(_WATCHED_SECONDS, look)


def _disturb(world, kind):
    """Kill a reader, or cut a host off from the store over the return."""
    host = world.readers()[0]
    if kind == 'killed':
        host.end()
        world.clock.callLater(
            _LATE_SECONDS, world.add_host, host.name, host.domain
        )
    if kind == 'cut':
        host.path.refuses = True
        world.clock.callLater(_LATE_SECONDS, host.path.end_faults)


def add_parser(benches):
    """Add ``bench returns``."""
    parser = benches.add_parser(
        'returns',
        help='a store that comes back from an older copy, simulated',
    )
    add_sizes(parser, _SIZES)
    parser.add_argument('--kinds', default=','.join(_KINDS))
    parser.add_argument('--seeds', default='1-3', metavar='A-B')
    parser.add_argument(
        '--changes', default='1:1,6:4', help='lost:after, comma-separated'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print a JSON line for each size, kind, seed and number of changes."""
    first, last = map(int, arguments.seeds.split('-'))
    for hosts, domains in fleet_sizes(arguments.sizes):
        for kind in arguments.kinds.split(','):
            for seed in range(first, last + 1):
                _print_runs(hosts, domains, seed, kind, arguments.changes)
    return 0


def _print_runs(hosts, domains, seed, kind, changes):
    for change in changes.split(','):
        lost, after = map(int, change.split(':'))
        measured = measure_return(hosts, domains, seed, kind, lost, after)
        print_measured(measured)
