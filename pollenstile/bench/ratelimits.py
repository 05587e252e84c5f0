"""``pollenstile bench ratelimits``: how hosts keep an upstream's rate together.

Explanation
===========

Complete hosts run in virtual time over upstreams that state a request rate,
while the store, hosts or failure domains fail. Arrivals are counted at the
upstream, from all hosts and from those that had been told.
"""

import itertools
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
from pollenstile.bench._rateworld import RateWorld
from pollenstile.bench._spread import SpreadWatch
from pollenstile.bench.crashes import FAULTS
from pollenstile.standin.limited import CONTACT_SECONDS, allowed_arrivals

# Hosts and failure domains.
_SIZES = '9/4,30/3,60/4,90/3,195/6'
_RATES = '0.2,1,2.5,10,40'
# Offered load as a multiple of the rate.
_LOADS = '1,3,20'
# Seconds of each measured period: calm, with a rate, and after it.
_CALM_SECONDS = 5.0
_LIMITED_SECONDS = 30.0
_FREE_SECONDS = 5.0
# Seconds after the first statement from which use is counted.
_STEADY_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class Sharing:
    """Measured arrivals at an upstream that limits its rate.

    Parameters
    ==========

    hosts, domains : int
        The number of hosts and failure domains.
    rate, load : float
        Requests a second that it accepts, and the multiple that is offered.
    demand : str
        ``'all'`` or ``'one'``: the hosts that get requests.
    fault : str
        The name of the injected fault.
    told, most, allowed : float
        Most arrivals in 4 s from hosts that had been told, from all hosts, and
        the bound.
    use : float
        Arrivals in steady state as a share of what the rate permits.
    known_ms : int
        Time from the first statement until all hosts know, or -1.
    over_ms : int
        Time from the first answer without a rate until all hosts know, or -1.
    served, refused : int
        Requests that were answered, and those that were refused.
    calm_host_bytes, host_bytes : int
        Bytes sent to peers per host and second, before and while limited.
    calls : int
        Store calls of all hosts beyond those of the calm period, by second.
    """

    hosts: int
    domains: int
    rate: float
    load: float
    demand: str
    fault: str
    told: int
    most: int
    allowed: float
    use: float
    known_ms: int
    over_ms: int
    served: int
    refused: int
    calm_host_bytes: int
    host_bytes: int
    calls: float


def measure_sharing(hosts, domains, rate, load, demand='all', fault='none'):
    """Measure the :class:`Sharing` of one upstream, the only one."""
    world = RateWorld(hosts, 1, domains)
    if fault in FAULTS:
        inject_fault(world, world.addresses()[0], fault)
    _schedule(world, rate * load, demand)
    calm = measure_costs(
        world.fleet, lambda: world.fleet.advance(_CALM_SECONDS)
    )
    period = _Period(world, rate, fault)
    return Sharing(
        hosts,
        domains,
        rate,
        load,
        demand,
        fault,
        period.most(told_only=True),
        period.most(told_only=False),
        allowed_arrivals(rate),
        period.use(),
        period.known.ms_since_first(),
        period.over.ms_since_first(),
        *world.count_answers(),
        round(calm.host_bytes / _CALM_SECONDS),
        round(period.costs.host_bytes / _LIMITED_SECONDS),
        round(
            period.costs.calls / _LIMITED_SECONDS - calm.calls / _CALM_SECONDS,
            1,
        ),
    )


def _schedule(world, load, demand):
    """Schedule requests to all hosts, or to one outside the domain."""
    seconds = _CALM_SECONDS + _LIMITED_SECONDS + _FREE_SECONDS
    names = [host.name for host in world.fleet.running()]
    if demand == 'one':
        names = [_farthest_host(world)]
    world.schedule_traffic(load, seconds, names)


class _Period:
    """The upstream states its rate for a time, and then no more."""

    def __init__(self, world, rate, fault):
        fleet = world.fleet
        self.world = world
        self.rate = rate
        self.address = world.addresses()[0]
        self.began = fleet.clock.seconds()
        world.upstreams.rates[self.address] = rate
        if fault in TIMED_FAULTS:
            inject_fault(world, self.address, fault)
        self.known = _watch(world, is_limited=True)
        self.costs = measure_costs(
            fleet, lambda: fleet.advance(_LIMITED_SECONDS, self.known.look)
        )
        self.until = fleet.clock.seconds()
        world.upstreams.rates.pop(self.address)
        self.over = _watch(world, is_limited=False)
        fleet.advance(_FREE_SECONDS, self.over.look)

    def most(self, *, told_only):
        """Return the most arrivals in a window of 4 s."""
        since = self.began + CONTACT_SECONDS
        return self.world.most_arrivals(
            self.address, since, self.until, told_only=told_only
        )

    def use(self):
        """Return the arrivals in steady state as a share of the rate."""
        since = self.began + _STEADY_SECONDS
        arrivals = self.world.upstreams.arrivals_at(
            self.address, since, self.until
        )
        return round(len(arrivals) / (self.rate * (self.until - since)), 2)


def _watch(world, *, is_limited):
    def knows(host):
        return bool(host.core.rates.stated.limited()) == is_limited

    return SpreadWatch(world.fleet, knows)


def _farthest_host(world):
    """Return a host outside the upstream's failure domain if one runs."""
    fleet = world.fleet
    domain = next(iter(world.upstreams.processes.values())).domain
    running = fleet.running()
    outside = [host for host in running if host.domain != domain]
    return (outside or running)[0].name


def add_parser(benches):
    """Add ``bench ratelimits``."""
    parser = benches.add_parser(
        'ratelimits',
        help='arrivals at an upstream that limits its rate, simulated',
    )
    add_sizes(parser, _SIZES)
    parser.add_argument('--rates', default=_RATES, help='requests a second')
    parser.add_argument('--loads', default=_LOADS, help='multiples of a rate')
    parser.add_argument('--faults', default='none', help=', '.join(FAULT_NAMES))
    parser.set_defaults(run=run)


def run(arguments):
    """Print a JSON line for each fleet size, rate, load, demand and fault."""
    cases = itertools.product(
        fleet_sizes(arguments.sizes),
        map(float, arguments.rates.split(',')),
        map(float, arguments.loads.split(',')),
        ('all', 'one'),
        arguments.faults.split(','),
    )
    for (hosts, domains), rate, load, demand, fault in cases:
        sharing = measure_sharing(hosts, domains, rate, load, demand, fault)
        print_measured(sharing)
    return 0
