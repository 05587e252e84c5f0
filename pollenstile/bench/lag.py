"""``pollenstile bench lag``: maximum age of the configuration in force.

Explanation
===========

A configuration that the store acknowledges just after a host has verified its
own takes effect there at the next verification. The greatest age of a host's
last verification is therefore the longest lag of a change, whenever the change
is written. Complete hosts of one domain run in virtual time while their readers
or their store fail.
"""

import json
from dataclasses import asdict, dataclass

from twisted.internet.defer import Deferred

from pollenstile.bench._domainworld import STEP, DomainHost, DomainWorld

# Seconds for which each fault lasts and is observed.
_FAULT_SECONDS = 8.0
# Latency of a slow store in seconds: sixty times the usual latency.
_SLOW_SECONDS = 0.24
# Seconds for which the store refuses all hosts.
_OUTAGE_SECONDS = 4.0
# Seconds from a fault until the configuration changes.
_CHANGE_DELAY_SECONDS = 0.05
# The configuration version that is written after the fault.
_NEW_VERSION = 2
# The store refuses one in this many hosts, beginning with the readers.
_REFUSED_DIVISOR = 3
# Hosts of one domain in fleets of 9, 30, 60, 90, 195 and 340 hosts.
_SIZES = '3,10,15,30,33,43'
_MS = 1000


def inject_nothing(world):
    """Inject no fault."""


def refuse_readers(world):
    """Refuse the store calls of the readers."""
    for host in world.readers():
        host.path.refuses = True


def silence_readers(world):
    """Leave the store calls of the readers unanswered."""
    for host in world.readers():
        host.path.silent = True


def refuse_third(world):
    """Refuse the store calls of a third of the hosts, including the readers."""
    hosts = list(world.hosts.values())
    for host in hosts[: max(2, len(hosts) // _REFUSED_DIVISOR)]:
        host.path.refuses = True


def freeze_readers(world):
    """Freeze the readers."""
    for host in world.readers():
        host.frozen = True
        host.path.silent = True


def refuse_and_freeze(world):
    """Refuse the store calls of the first reader and freeze the second."""
    first, second = world.readers()
    first.path.refuses = True
    second.frozen = True
    second.path.silent = True


def end_readers(world):
    """End the processes of the readers."""
    for host in world.readers():
        host.end()


def slow_store(world):
    """Raise the latency of the store for all hosts."""
    world.store.latency = _SLOW_SECONDS


def compact_history(world):
    """Compact the change history of the store."""
    Deferred.fromCoroutine(world.store.put('other', 'a', 1))
    world.store.objects.compact()


def refuse_all_hosts(world):
    """Refuse the store calls of all hosts for the time of the outage."""
    for host in world.hosts.values():
        host.path.refuses = True
        world.clock.callLater(_OUTAGE_SECONDS, host.path.end_faults)


FAULTS = {
    'none': inject_nothing,
    'readers refused': refuse_readers,
    'readers silenced': silence_readers,
    'a third refused': refuse_third,
    'readers frozen': freeze_readers,
    'one refused, one frozen': refuse_and_freeze,
    'readers ended': end_readers,
    'store slow': slow_store,
    'history dropped': compact_history,
    'store away for all': refuse_all_hosts,
}


def _change(world):
    world.write_configuration(_NEW_VERSION)


def _has_change(host):
    return host.version == _NEW_VERSION


# Writes, and the check of each that a host has applied it.
_WRITES = (
    _change,
    DomainWorld.mark_upstream_leaving,
    DomainWorld.mark_domain_drained,
)
_IS_APPLIED = (_has_change, DomainHost.knows_leaving, DomainHost.knows_drained)


@dataclass(slots=True, frozen=True)
class Lag:
    """Measured lag of the configuration in one domain under one fault.

    Parameters
    ==========

    hosts : int
        The number of hosts of the domain.
    fault : str
        The name of the injected fault.
    oldest_ms : int
        The greatest age of a verification at a host that the store answers.
    change_ms, leave_ms, drain_ms : int
        Time from the acknowledgement of a configuration change, of a leaving
        upstream, or of a drained domain, written 50 ms after the fault, until
        the last of these hosts has applied it.
    refusing_ms : int
        Time for which running hosts refused all requests because their
        configuration could be outdated, summed over all hosts.
    calls_host_s : float
        Store calls per second and host.
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
    """Measure the :class:`Lag` of a domain under a fault.

    Parameters
    ==========

    hosts : int
        The number of hosts of the domain.
    fault : str
        A key of :data:`FAULTS`.
    bounds : dict
        Settings of the hosts, by name.
    """
    world = DomainWorld(hosts, **bounds)
    calls = world.calls()
    FAULTS[fault](world)
    ages = [0.0]
    refusing = []

    def record_ages():
        ages.extend(
            host.configuration.age() for host in world.hosts_in_contact()
        )
        refusing.extend(
            host.name
            for host in world.running()
            if not host.configuration.is_current()
        )

    world.advance(_FAULT_SECONDS, record_ages)
    calls = world.calls() - calls
    return Lag(
        hosts,
        fault,
        round(max(ages) * _MS),
        *_propagation_ms(DomainWorld(hosts, **bounds), fault),
        round(len(refusing) * STEP * _MS),
        round(calls / hosts / _FAULT_SECONDS, 2),
    )


def _propagation_ms(world, fault):
    """Return the time of each of three changes until all hosts apply it."""
    FAULTS[fault](world)
    world.advance(_CHANGE_DELAY_SECONDS)
    acked = []
    for write in _WRITES:
        write(world)
        acked.append(world.clock.seconds())
    lags = [0.0 for _ in _WRITES]

    def record_lags():
        now = world.clock.seconds()
        for number, knows in enumerate(_IS_APPLIED):
            if not all(knows(host) for host in world.hosts_in_contact()):
                lags[number] = now - acked[number]

    world.advance(_FAULT_SECONDS, record_lags)
    return [round(lag * _MS) for lag in lags]


def add_parser(benches):
    """Add ``bench lag``."""
    parser = benches.add_parser(
        'lag', help='maximum age of the configuration on hosts, simulated'
    )
    parser.add_argument('--hosts', default=_SIZES, help='of one domain')
    parser.add_argument(
        '--bound',
        type=float,
        default=2.0,
        help='limit in seconds for changes and for leaving upstreams',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print a JSON line for each size of a domain and each fault."""
    for hosts in arguments.hosts.split(','):
        for fault in FAULTS:
            lag = measure_lag(
                int(hosts),
                fault,
                apply_seconds=arguments.bound,
                leave_seconds=arguments.bound,
            )
            print(json.dumps(asdict(lag)))
    return 0
