"""``pollenstile bench lag``: how old is what a host acts on, at worst.

Explanation
===========

A configuration that the store acknowledges just after a host's proof was true
is in force there when the next proof comes. So the oldest proof that a host
has had is the longest lag of a change, whenever that was written. Whole hosts
of one domain run in virtual time, and their readers or their store fail.
"""

import json
from dataclasses import asdict, dataclass

from twisted.internet.defer import Deferred

from pollenstile.bench._domainworld import STEP, DomainHost, DomainWorld

# Seconds for which faults last, and are looked at.
_PLAYED = 8.0
# Seconds of a call of a slow store: sixty times the usual.
_SLOW_SECONDS = 0.24
# Seconds for which a store that answers nobody is away.
_OUTAGE = 4.0
# Seconds after a fault at which the configuration changes.
_CHANGED_AFTER = 0.05
# The version that is written then.
_AFTER = 2
# One host in so many is turned away by the store, readers first.
_TURNED_AWAY = 3
# Hosts of a domain: of fleets of 9, 30, 60, 90, 195 and 340 hosts.
_SIZES = '3,10,15,30,33,43'
_MS = 1000


def calm(world):
    """Let nothing fail."""


def refused(world):
    """Refuse the readers' calls of the store."""
    for host in world.readers():
        host.path.refuses = True


def silenced(world):
    """Answer no call of the readers any more."""
    for host in world.readers():
        host.path.silent = True


def turned_away(world):
    """Refuse a third of the hosts, the readers among them."""
    hosts = list(world.hosts.values())
    for host in hosts[: max(2, len(hosts) // _TURNED_AWAY)]:
        host.path.refuses = True


def frozen(world):
    """Freeze the readers."""
    for host in world.readers():
        host.frozen = True
        host.path.silent = True


def refused_and_frozen(world):
    """Refuse the first reader's calls, and freeze the second one."""
    first, second = world.readers()
    first.path.refuses = True
    second.frozen = True
    second.path.silent = True


def ended(world):
    """End the readers' processes."""
    for host in world.readers():
        host.end()


def slow(world):
    """Let the store be slow for all."""
    world.store.latency = _SLOW_SECONDS


def compacted(world):
    """Let the store forget its history."""
    Deferred.fromCoroutine(world.store.put('other', 'a', 1))
    world.store.objects.compact()


def away(world):
    """Refuse all hosts for a while."""
    for host in world.hosts.values():
        host.path.refuses = True
        world.clock.callLater(_OUTAGE, host.path.serve_again)


FAULTS = {
    'none': calm,
    'readers refused': refused,
    'readers silenced': silenced,
    'a third refused': turned_away,
    'readers frozen': frozen,
    'one refused, one frozen': refused_and_frozen,
    'readers ended': ended,
    'store slow': slow,
    'history dropped': compacted,
    'store away for all': away,
}


def _change(world):
    world.write_configuration(_AFTER)


def _has_change(host):
    return host.version == _AFTER


# What is written, and how it shows that a host knows it.
_WRITES = (_change, DomainWorld.let_upstream_leave, DomainWorld.drain)
_KNOWS = (_has_change, DomainHost.knows_leaving, DomainHost.knows_drained)


@dataclass(slots=True, frozen=True)
class Lag:
    """How old the configuration was, at worst.

    Parameters
    ==========

    hosts : int
        Of the domain.
    fault : str
        What failed.
    oldest_ms : int
        The oldest proof of a host that the store serves.
    change_ms, leave_ms, drain_ms : int
        From the acknowledgement of a change of the configuration, of an
        upstream's leaving, or of a drained domain, 50 ms after the fault, until
        the last of these hosts knew it.
    refusing_ms : int
        For how long hosts that run refused all requests, as their
        configuration might have been an old one; all hosts together.
    calls_host_s : float
        Calls of the store a second for each host.
    """

    hosts: int
    fault: str
    oldest_ms: int
    change_ms: int
    leave_ms: int
    drain_ms: int
    refusing_ms: int
    calls_host_s: float


def measure_lag(hosts, fault, **bounds):
    """Return the :class:`Lag` of a domain under a fault.

    Parameters
    ==========

    hosts : int
        Of the domain.
    fault : str
        A name of :data:`FAULTS`.
    bounds : dict
        Settings of the hosts, by name.
    """
    world = DomainWorld(hosts, **bounds)
    calls = world.calls()
    FAULTS[fault](world)
    ages = [0.0]
    refusing = []

    def look():
        ages.extend(
            host.configuration.age() for host in world.hosts_in_contact()
        )
        refusing.extend(
            host.name
            for host in world.running()
            if not host.configuration.is_current()
        )

    world.advance(_PLAYED, look)
    calls = world.calls() - calls
    return Lag(
        hosts,
        fault,
        round(max(ages) * _MS),
        *_news_ms(DomainWorld(hosts, **bounds), fault),
        round(len(refusing) * STEP * _MS),
        round(calls / hosts / _PLAYED, 2),
    )


def _news_ms(world, fault):
    """Return how long each of three changes takes to the last host."""
    FAULTS[fault](world)
    world.advance(_CHANGED_AFTER)
    acked = []
    for write in _WRITES:
        write(world)
        acked.append(world.clock.seconds())
    lags = [0.0 for _ in _WRITES]

    def look():
        now = world.clock.seconds()
        for number, knows in enumerate(_KNOWS):
            if not all(knows(host) for host in world.hosts_in_contact()):
                lags[number] = now - acked[number]

    world.advance(_PLAYED, look)
    return [round(lag * _MS) for lag in lags]


def add_parser(benches):
    """Add ``bench lag``."""
    parser = benches.add_parser(
        'lag', help='how old a configuration gets on hosts, simulated'
    )
    parser.add_argument('--hosts', default=_SIZES, help='of one domain')
    parser.add_argument(
        '--bound',
        type=float,
        default=2.0,
        help='seconds for changes and for upstreams that leave',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print a line for each domain and fault."""
    for hosts in arguments.hosts.split(','):
        for fault in FAULTS:
            found = measure_lag(
                int(hosts),
                fault,
                apply_seconds=arguments.bound,
                leave_seconds=arguments.bound,
            )
            print(json.dumps(asdict(found)))
    return 0
