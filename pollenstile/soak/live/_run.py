"""One live run: start, faults, crashing requests and planned changes."""

from collections import Counter
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.soak.live._balancer import await_ready
from pollenstile.soak.live._callers import (
    CRASHING_KINDS,
    RESUMABLE_KIND,
    Caller,
)
from pollenstile.soak.live._checks import find_violations
from pollenstile.soak.live._endlessruns import (
    EndlessCounts,
    EndlessPlan,
    count_endless,
    play_endless,
    send_endless_at_random,
)
from pollenstile.soak.live._endruns import (
    EndCounts,
    count_ends,
    end_answers,
)
from pollenstile.soak.live._ends import ENDS
from pollenstile.soak.live._faults import FAULTS
from pollenstile.soak.live._hosts import COMMAND
from pollenstile.soak.live._lengths import USUAL
from pollenstile.soak.live._malformed import spoil_at_random
from pollenstile.soak.live._memory import watch_memory
from pollenstile.soak.live._outlast import (
    GRACE_CALLERS,
    GraceCounts,
    GracePlan,
    count_graces,
    play_graces,
)
from pollenstile.soak.live._records import Fault, RateLimit, Records
from pollenstile.soak.live._recovery import recoveries, recovery_violations
from pollenstile.soak.live._releases import count_taken_up, release_at_random
from pollenstile.soak.live._returns import ReturnPlan, play_returns
from pollenstile.soak.live._servers import (
    COLD_SECONDS,
    ENGINES,
    LIMITED_RATE,
    PLAIN,
)
from pollenstile.soak.live._silences import (
    SilencePlan,
    play_silences,
    stand_together,
)
from pollenstile.soak.live._sound import SoundCounts, count_sound
from pollenstile.soak.live._world import DOMAINS, World, run_in

# Mean seconds between two faults, which last up to four times as long.
_MEAN_FAULT_PAUSE_SECONDS = 0.35
# Seconds for recovery after the last fault: the longest fault, the grace time
# of a host that is shutting down, its start and its connections, and the three
# seconds for which a host that lost its reader reads the store itself.
_SETTLE_SECONDS = 9.0
# Seconds of these for which answers go on to end in unusual ways.
_ALONE_SECONDS = 5.0
# Seconds of requests without faults before and after a host is shut down; an
# upstream leaves at their beginning.
_CALM_SECONDS = 3.0
# Seconds beyond these for which a failure domain stays drained.
_EXTRA_DRAINED_SECONDS = 1.5
# Seconds for which a request that crashes its upstreams is repeated: it may
# reach them without limit for three seconds after the third crash.
_CRASHING_SECONDS = 5.5
# The same for different requests with one part: three seconds after the fifth
# crash.
_CRASHING_PART_SECONDS = 7.0
# Seconds for which upstreams ask for rest, and for which others leave by their
# answers only.
_WITHDRAWN_SECONDS = 6.0
# Seconds for which upstreams state a rate: three until it counts, and two
# windows in which it does.
_LIMITED_SECONDS = 11.0
# Seconds for which all engines stand still in each run: streams fall silent for
# longer than twice the longest pause with which they count as in time.
_SILENCE_SECONDS = 1.8
# Seconds from then on for what they have not read meanwhile.
_AFTER_SILENCE_SECONDS = 1.2
_CALLER_COUNT = 14
# Callers for each host that ends with all others.
_CALLERS_PER_HOST = 2
# What plays the only faults of a run, by the class of its plan.
_PLAYS = {
    SilencePlan: play_silences,
    GracePlan: play_graces,
    EndlessPlan: play_endless,
    ReturnPlan: play_returns,
}


@dataclass(slots=True, frozen=True)
class MixedPlan:
    """All faults of a run, overlapping.

    Parameters
    ==========

    ends : tuple of str
        How upstreams end answers besides, in ``ENDS``.
    """

    ends: tuple = ENDS


@dataclass(slots=True, frozen=True)
class LiveResult:
    """Result of a run.

    Parameters
    ==========

    seed : int
        Seed of the faults.
    outcomes : dict
        Number of requests by status; 0 is a lost connection.
    faults : tuple of Fault
        Injected faults and planned changes.
    broken : tuple of str
        Violated invariants.
    sound : SoundCounts
        What became of requests whose upstreams stood still.
    graces : GraceCounts
        What became of requests that hosts had read before they stopped.
    endless : EndlessCounts
        What became of requests whose upstreams sent bytes without end.
    ends : EndCounts
        What became of answers that end in unusual ways.
    peaks : dict
        Peak memory of the processes of each host, in MB.
    recoveries : tuple of Recovery
        How service came back after each end of all hosts.
    records : Records
        What callers, upstreams and faults have left.
    taken_up : tuple of int
        Streams that were taken up again, and those of them that went on.
    """

    seed: int
    outcomes: dict
    faults: tuple
    broken: tuple
    sound: SoundCounts
    graces: GraceCounts
    endless: EndlessCounts
    ends: EndCounts
    peaks: dict
    recoveries: tuple
    records: Records
    taken_up: tuple


async def run_live(
    reactor,
    seed,
    seconds=8.0,
    hosts=4,
    command=COMMAND,
    logs=None,
    plan=None,
):
    """Run hosts as processes under random faults; return a LiveResult.

    Parameters
    ==========

    reactor : IReactorTCP, IReactorTime and IReactorProcess
        The real reactor.
    seed : int
        Seed of the faults.
    seconds : float
        Duration of the faults.
    hosts : int
        Number of entry hosts.
    command : tuple of str
        Command that runs the program ``pollenstile``.
    logs : file or None
        Binary file that the hosts' log lines are written to.
    plan : MixedPlan, SilencePlan, GracePlan, EndlessPlan, ReturnPlan or None
        The faults of the run; with None, all.
    """
    plan = plan or MixedPlan()
    lengths = plan.lengths if isinstance(plan, GracePlan) else USUAL
    world = World(reactor, seed, hosts, command, logs, lengths)
    await run_in(world, _run_phases(world, seconds, plan))
    records = world.records
    sound = count_sound(records)
    graces = count_graces(records)
    endless = count_endless(
        records, lengths.deadline, is_only=isinstance(plan, EndlessPlan)
    )
    ends = count_ends(records)
    returned = ()
    if isinstance(plan, ReturnPlan):
        returned = recoveries(records, hosts, plan.recovery)
    lines = (
        *recovery_violations(returned),
        *sound.lines,
        *graces.lines,
        *endless.lines,
        *ends.lines,
    )
    return LiveResult(
        seed,
        dict(Counter(record.status for record in records.requests)),
        tuple(records.faults),
        (*find_violations(records), *lines),
        sound,
        graces,
        endless,
        ends,
        records.peaks,
        returned,
        records,
        count_taken_up(records),
    )


async def _run_phases(world, seconds, plan):
    await world.begin()
    if not await await_ready(world):
        world.records.broken.append('not ready in time')
        return
    Deferred.fromCoroutine(watch_memory(world))
    count = _caller_count(plan, len(world.hosts))
    callers = [
        Deferred.fromCoroutine(Caller(world, number).run())
        for number in range(count)
    ]
    if isinstance(plan, MixedPlan):
        await _inject_faults(world, seconds, plan.ends)
        await _harm_upstreams(world)
    else:
        await _PLAYS[type(plan)](world, plan)
    world.is_sending = False
    for caller in callers:
        await caller


def _caller_count(plan, hosts):
    if isinstance(plan, GracePlan):
        return GRACE_CALLERS
    if isinstance(plan, ReturnPlan):
        return max(_CALLER_COUNT, _CALLERS_PER_HOST * hosts)
    return _CALLER_COUNT


async def _inject_faults(world, seconds, ends):
    reactor = world.reactor
    end = reactor.seconds() + seconds
    endless = Deferred.fromCoroutine(send_endless_at_random(world, seconds))
    spoiled = Deferred.fromCoroutine(spoil_at_random(world, seconds))
    releases = Deferred.fromCoroutine(release_at_random(world, seconds))
    ended = Deferred.fromCoroutine(
        end_answers(world, seconds + _ALONE_SECONDS, ends)
    )
    running_faults = [endless, spoiled, releases]
    while reactor.seconds() < end:
        fault = world.rng.choice(FAULTS)
        running_faults.append(Deferred.fromCoroutine(fault(world)))
        pause = world.rng.expovariate(1 / _MEAN_FAULT_PAUSE_SECONDS)
        await deferLater(reactor, pause)
    for running in running_faults:
        await running
    await deferLater(reactor, _SETTLE_SECONDS)
    await ended


async def _harm_upstreams(world):
    await _send_crashing_requests(world)
    await _limit_upstreams(world)
    await _silence_engines(world)
    await _withdraw_upstreams(world)
    await _run_planned_changes(world)


async def _send_crashing_requests(world):
    """Repeat requests that crash their upstreams."""
    for kind in CRASHING_KINDS:
        await Caller(world, 0).repeat_crashing(kind, _CRASHING_SECONDS)
    await Caller(world, 0).send_deadly_part(
        RESUMABLE_KIND, _CRASHING_PART_SECONDS
    )
    await deferLater(world.reactor, COLD_SECONDS)


async def _limit_upstreams(world):
    """Let one upstream of each kind state a rate while a host is killed."""
    reactor = world.reactor
    servers = [world.servers_of(service)[0] for service in (PLAIN, ENGINES)]
    for server in servers:
        server.rate = LIMITED_RATE
        world.records.rate_limits.append(
            RateLimit(server.ident, LIMITED_RATE, reactor.seconds())
        )
    await deferLater(reactor, _LIMITED_SECONDS / 2)
    host = world.rng.choice(world.accepting_hosts())
    world.records.faults.append(Fault(reactor.seconds(), host.name, 'kill'))
    host.kill()
    await deferLater(reactor, _LIMITED_SECONDS / 2)
    for server, limit in zip(servers, world.records.rate_limits, strict=True):
        server.rate = 0.0
        limit.ended = reactor.seconds()


async def _silence_engines(world):
    """Let all engines stand still while the configuration changes."""
    await world.configure()
    await stand_together(world, world.servers_of(ENGINES), _SILENCE_SECONDS)
    await deferLater(world.reactor, _AFTER_SILENCE_SECONDS)


async def _withdraw_upstreams(world):
    """Let upstreams of each kind leave by their answers, and ask for rest.

    Explanation
    ===========

    Their entries in the store do not state that they leave.
    """
    reactor = world.reactor
    services = (PLAIN, ENGINES)
    leaving = [world.servers_of(service)[0] for service in services]
    shedding = [world.servers_of(service)[-1] for service in services]
    for server in leaving:
        server.leaving = True
    for server in shedding:
        server.shedding = True
    world.records.quiet_from = reactor.seconds()
    await deferLater(reactor, _WITHDRAWN_SECONDS)
    world.records.quiet_until = reactor.seconds()
    for server in shedding:
        server.shedding = False
    for server in leaving:
        await world.replace_server(server)
    await deferLater(reactor, _CALM_SECONDS)


async def _drain_random_domain(world):
    drain = await world.drain(world.rng.choice(DOMAINS))
    await deferLater(world.reactor, _CALM_SECONDS + _EXTRA_DRAINED_SECONDS)
    await world.end_drain(drain)


async def _run_planned_changes(world):
    """Remove an upstream, revoke a key, drain a domain and stop a host."""
    reactor = world.reactor
    world.records.calm_from = reactor.seconds()
    service = world.rng.choice(('lookup', 'engines'))
    server = world.rng.choice(world.servers_of(service))
    await world.add_server(service, server.domain)
    await world.leave_server(server)
    if len(world.keys) > 1:
        await world.revoke(world.keys[-1])
    await _drain_random_domain(world)
    host = world.rng.choice(world.accepting_hosts())
    world.records.faults.append(Fault(reactor.seconds(), host.name, 'stop'))
    host.stop()
    await deferLater(reactor, _CALM_SECONDS)
