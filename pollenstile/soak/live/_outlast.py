"""Requests that outlast the grace of a host that stops, and their ends."""

from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.soak.live._lengths import Lengths
from pollenstile.soak.live._records import Fault, HostStop
from pollenstile.soak.live._servers import ENGINES, PLAIN, STAGES
from pollenstile.soak.live._silences import stand_together

_OK = 200
# Seconds after SIGTERM until which what a host reads must be answered.
_READ_SECONDS = 0.5
# Hosts that stop, one after the other, and callers of such a run.
_STOPS = 2
GRACE_CALLERS = 24
# Seconds of requests before the first stop, from the start of a silence until
# the SIGTERM, and after each stop.
_BEFORE_SECONDS = 3.0
_SILENT_BEFORE_SECONDS = 0.4
_AFTER_SECONDS = 2.0
_SILENCE_SECONDS = 6.0
_SHORT_SILENCE_SECONDS = 3.0
# Requests that may take longer than a grace.
_DEADLINE_SECONDS = 12.0
_LOOKUP_SECONDS = (0.08, 4.5)
_GAPS_SECONDS = (0.04, 0.14, 0.6)


@dataclass(slots=True, frozen=True)
class _SilentSet:
    """Upstreams that stand still beside a stop.

    Parameters
    ==========

    drops_results : bool
        Whether all stage results are gone when they go on.
    """

    services: tuple
    seconds: float = _SILENCE_SECONDS
    drops_results: bool = False


SILENT_SETS = {
    'nobody': _SilentSet(()),
    'engines': _SilentSet((ENGINES, PLAIN)),
    'stages': _SilentSet(STAGES),
    'both': _SilentSet((ENGINES, PLAIN, *STAGES)),
    'results-gone': _SilentSet(
        (ENGINES,), _SHORT_SILENCE_SECONDS, drops_results=True
    ),
}


@dataclass(slots=True, frozen=True)
class GracePlan:
    """Stops of hosts that are the only faults of a run, beside silences.

    Parameters
    ==========

    silent_set : str
        Name of the upstreams that stand still, in ``SILENT_SETS``.
    grace : float
        Grace of the hosts, in seconds.
    """

    silent_set: str
    grace: float

    @property
    def lengths(self):
        """Durations of the run."""
        return Lengths(
            _DEADLINE_SECONDS, self.grace, _LOOKUP_SECONDS, _GAPS_SECONDS
        )


@dataclass(slots=True)
class GraceCounts:
    """Ends of the requests that a host had read before it stopped.

    Attributes
    ==========

    ends : Counter
        Requests by their end: ``'whole'``, a status, ``'reset'`` of an answer
        that had begun, ``'given up'`` by the caller or ``'unanswered'``.
    lines : list of str
        A line for each violation.
    """

    ends: Counter = field(default_factory=Counter)
    lines: list = field(default_factory=list)


async def play_graces(world, plan):
    """Stop hosts in turn while upstreams stand still."""
    reactor = world.reactor
    await deferLater(reactor, _BEFORE_SECONDS)
    for host in world.rng.sample(world.hosts, min(_STOPS, len(world.hosts))):
        standing = Deferred.fromCoroutine(
            _stand(world, SILENT_SETS[plan.silent_set])
        )
        await deferLater(reactor, _SILENT_BEFORE_SECONDS)
        await _stop(world, host)
        await standing
        await deferLater(reactor, _AFTER_SECONDS)


def count_graces(records):
    """Return the :class:`GraceCounts` of a run."""
    counts = GraceCounts()
    for stop in records.stops:
        for record in records.requests:
            if was_read(record, stop):
                _count(record, stop, records, counts)
    return counts


def was_read(record, stop):
    """Return whether a stopped host has read a request that was in flight."""
    return (
        record.host == stop.host
        and record.sent_at < stop.at + _READ_SECONDS
        and record.ended_at > stop.at
    )


def _count(record, stop, records, counts):
    end = _end_of(record)
    counts.ends[end] += 1
    after = f'{record.ident} at {stop.host}, {record.ended_at - stop.at:.2f} s'
    if end == 'unanswered':
        counts.lines.append(f'unanswered: {after} after its SIGTERM')
    if record.ident in records.left and not record.gave_up:
        counts.lines.append(f'logged as left by its caller: {after}')


def _end_of(record):
    if record.status == _OK:
        return 'whole' if record.complete else 'reset'
    if record.status:
        return str(record.status)
    return 'given up' if record.gave_up else 'unanswered'


async def _stand(world, silent_set):
    servers = [
        server
        for service in silent_set.services
        for server in world.servers_of(service)
    ]
    drop = world.results.clear if silent_set.drops_results else None
    await stand_together(world, servers, silent_set.seconds, drop)


async def _stop(world, host):
    now = world.reactor.seconds()
    world.records.faults.append(Fault(now, host.name, 'stop'))
    world.records.stops.append(HostStop(host.name, now, world.lengths.grace))
    host.stop()
    await host.ended
