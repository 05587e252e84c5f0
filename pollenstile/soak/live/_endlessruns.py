"""Upstreams that send bytes without end, and what hosts make of them."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.soak.live._endless import FORMS, RATES, EndlessSource
from pollenstile.soak.live._records import Endless, Fault
from pollenstile.soak.live._servers import STAGES
from pollenstile.soak.live._sound import end_of
from pollenstile.soak.live._world import ATTEMPTS

_OK = 200
_NEVER = float('inf')
# Seconds of requests before each time, and after the last one.
_PAUSE_SECONDS = 3.0
_AFTER_SECONDS = 3.0
# Mean seconds between two times among other faults, and their length.
_MEAN_WAIT_SECONDS = 3.0
_LENGTHS_SECONDS = (0.5, 3.0)
# Share of these in which all upstreams of a service send so.
_WHOLE_SHARE = 0.3
# Seconds for which a host may go on reading such an answer, beyond the deadline
# of the requests: the machine is shared by a dozen processes.
_READ_MARGIN_SECONDS = 3.0
# Requests from which on the share that was sent elsewhere counts.
_MIN_REQUESTS = 3
_MIN_ELSEWHERE_SHARE = 0.25
# Memory that a host may use at most.
MAX_MEMORY_MB = 300.0
_MB = 1_000_000


@dataclass(slots=True, frozen=True)
class EndlessPlan:
    """Bytes without end that are the only faults of a run.

    Parameters
    ==========

    names : tuple of str
        Forms in ``FORMS``, one after the other.
    rate : float
        Bytes that each answer has in a second.
    is_whole : bool
        Whether all upstreams of a service send so, or one.
    seconds : float
        Duration of each form, shared by its services.
    """

    names: tuple
    rate: float
    is_whole: bool
    seconds: float


@dataclass(slots=True)
class EndlessCounts:
    """What became of requests whose upstreams sent bytes without end.

    Attributes
    ==========

    ends : Counter
        Requests by form and end.
    kept, elsewhere : Counter
        Requests that one of several upstreams answered so, by service: those
        that no other one got, and those that another one got.
    answers, longest, largest_mb : int, float, float
        Such answers, the seconds of the longest and the size of the largest.
    passed_mb : float
        The most that the caller of such a request got.
    lines : list of str
        A line for each violation.
    """

    ends: Counter = field(default_factory=Counter)
    kept: Counter = field(default_factory=Counter)
    elsewhere: Counter = field(default_factory=Counter)
    answers: int = 0
    longest: float = 0.0
    largest_mb: float = 0.0
    passed_mb: float = 0.0
    lines: list = field(default_factory=list)


async def send_endless(world, servers, name, rate, seconds):
    """Let upstreams answer with bytes that never end for some seconds."""
    reactor = world.reactor
    now = reactor.seconds()
    is_alone = len(servers) == 1
    times = []
    for server in servers:
        text = f'endless {name} at {rate} B/s'
        world.records.faults.append(Fault(now, server.ident, text))
        times.append(Endless(server.ident, name, is_alone, now))
        server.endless = EndlessSource(name, rate)
    world.records.endless.extend(times)
    await deferLater(reactor, seconds)
    now = reactor.seconds()
    for server, time in zip(servers, times, strict=True):
        world.records.faults.append(Fault(now, server.ident, 'ended'))
        time.ended = now
        server.endless = None


async def play_endless(world, plan):
    """Let upstreams send the bytes of each form of a plan."""
    for name in plan.names:
        services = FORMS[name].services
        for service in services:
            await deferLater(world.reactor, _PAUSE_SECONDS)
            servers = _draw(world, world.rng, service, is_whole=plan.is_whole)
            await send_endless(
                world, servers, name, plan.rate, plan.seconds / len(services)
            )
    await deferLater(world.reactor, _AFTER_SECONDS)


async def send_endless_at_random(world, seconds):
    """Let upstreams send bytes without end now and then.

    Explanation
    ===========

    The times have a generator of their own, so that a seed's other faults are
    those of a run without them.
    """
    rng = Random(f'{world.seed}/endless')
    reactor = world.reactor
    end = reactor.seconds() + seconds
    running = []
    while True:
        await deferLater(reactor, rng.expovariate(1 / _MEAN_WAIT_SECONDS))
        if reactor.seconds() > end:
            break
        running.append(Deferred.fromCoroutine(_send_random(world, rng)))
    for sending in running:
        await sending


async def _send_random(world, rng):
    name = rng.choice(tuple(FORMS))
    service = rng.choice(FORMS[name].services)
    is_whole = rng.random() < _WHOLE_SHARE
    rate = rng.choice(tuple(RATES.values()))
    seconds = rng.uniform(*_LENGTHS_SECONDS)
    servers = _draw(world, rng, service, is_whole=is_whole)
    await send_endless(world, servers, name, rate, seconds)


def _draw(world, rng, service, *, is_whole):
    servers = world.servers_of(service)
    return servers if is_whole else [rng.choice(servers)]


def count_endless(records, deadline, *, is_only):
    """Return the :class:`EndlessCounts` of a run.

    Parameters
    ==========

    deadline : float
        Deadline of the requests, in seconds.
    is_only : bool
        Whether there were no other faults, so that all other upstreams were
        there to be asked.
    """
    counts = EndlessCounts(answers=len(records.endless_answers))
    for answer in records.endless_answers:
        _count_answer(answer, records.ended_at, deadline, counts)
    upstreams = records.upstreams_by_ident()
    for time in records.endless:
        met = _met_by(time, records)
        for record in records.requests:
            if record.ident in met:
                _count_request(record, time, upstreams[record.ident], counts)
    if is_only:
        _check_elsewhere(counts)
    for host, peak in sorted(records.peaks.items()):
        if peak > MAX_MEMORY_MB:
            counts.lines.append(f'{host} used {peak:.0f} MB')
    return counts


def _count_answer(answer, until, deadline, counts):
    """Count an answer, which its host reads until it closes its connection."""
    counts.largest_mb = max(counts.largest_mb, answer.sent_bytes / _MB)
    read_until = min(answer.closed, until)
    if read_until == _NEVER:
        return
    took = read_until - answer.began
    counts.longest = max(counts.longest, took)
    if took > deadline + _READ_MARGIN_SECONDS:
        counts.lines.append(
            f'read endless {answer.form} for {took:.2f} s: {answer.ident} at '
            f'{answer.upstream}'
        )


def _met_by(time, records):
    """Return the identifiers of what an upstream got meanwhile."""
    return {
        sent.ident
        for sent in records.sent
        if sent.upstream == time.upstream and time.began < sent.at < time.ended
    }


def _count_request(record, time, upstreams, counts):
    end = f'{time.form} {end_of(record)}'
    counts.ends[end] += 1
    counts.passed_mb = max(counts.passed_mb, record.received_bytes / _MB)
    service = time.upstream.rpartition('-')[0]
    if not time.is_alone or not _may_go_elsewhere(record, service):
        return
    others = {
        name
        for name in upstreams
        if name != time.upstream and name.rpartition('-')[0] == service
    }
    by_service = counts.elsewhere if others else counts.kept
    by_service[service] += 1


def _may_go_elsewhere(record, service):
    """Return whether a request might have been sent elsewhere.

    Explanation
    ===========

    Stage work is made again for each kind of request. An answer that has begun
    binds its host to the upstream.
    """
    if ATTEMPTS[record.kind] < 2 and service not in STAGES:
        return False
    return record.status != _OK or record.complete


def _check_elsewhere(counts):
    for service, kept in sorted(counts.kept.items()):
        sent = counts.elsewhere[service]
        total = kept + sent
        if total >= _MIN_REQUESTS and sent < _MIN_ELSEWHERE_SHARE * total:
            counts.lines.append(
                f'{sent} of {total} requests at one of the {service} were sent '
                'elsewhere'
            )
