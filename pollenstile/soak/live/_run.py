"""One live run, from the first process to the last."""

from collections import Counter
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.soak.live._balancer import poll_readiness
from pollenstile.soak.live._callers import CRASHING_KINDS, Caller
from pollenstile.soak.live._checks import find_violations
from pollenstile.soak.live._faults import FAULTS
from pollenstile.soak.live._hosts import COMMAND
from pollenstile.soak.live._records import Fault
from pollenstile.soak.live._servers import COLD_SECONDS
from pollenstile.soak.live._world import DOMAINS, World

# Seconds in which hosts must be ready at first.
_START_SECONDS = 20.0
# Seconds between two faults, on average; they last up to four times as long.
_MEAN_FAULT_PAUSE_SECONDS = 0.35
# Seconds after the last fault until all is in order again: the longest fault,
# the grace time of a host that was told to stop, its start and links, and the
# three seconds for which a host that lost its reader reads for itself.
_SETTLE_SECONDS = 9.0
# Seconds of requests without faults before and after a host is told to stop;
# an upstream leaves at their beginning.
_CALM_SECONDS = 3.0
# Seconds beyond them for which a failure domain stays drained meanwhile.
_EXTRA_DRAINED_SECONDS = 1.5
# Seconds for which a request that ends its upstreams comes again: it may reach
# them freely for three seconds after the third.
_CRASHING_SECONDS = 5.5
_CALLER_COUNT = 14
_READY_POLL_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class LiveResult:
    """What a run came to.

    Parameters
    ==========

    seed : int
        Decides the faults.
    outcomes : dict
        How many requests ended with each status; 0 is a lost connection.
    faults : tuple of Fault
        What was done.
    broken : tuple of str
        Promises that did not hold.
    """

    seed: int
    outcomes: dict
    faults: tuple
    broken: tuple


async def run_live(
    reactor,
    seed,
    seconds=8.0,
    hosts=4,
    command=COMMAND,
    logs=None,
):
    """Run hosts as processes under random faults; return a LiveResult.

    Parameters
    ==========

    reactor : IReactorTCP, IReactorTime and IReactorProcess
        Real.
    seconds : float
        For which faults go on.
    command : tuple of str
        Runs the program ``pollenstile``.
    logs : file or None
        Takes the hosts' log lines, as bytes.
    """
    world = World(reactor, seed, hosts, command, logs)
    # A soak that is itself told to stop leaves no hosts behind.
    trigger = reactor.addSystemEventTrigger('before', 'shutdown', world.kill)
    try:
        await _run_phases(world, seconds)
    finally:
        reactor.removeSystemEventTrigger(trigger)
        await world.close()
    records = world.records
    return LiveResult(
        seed,
        dict(Counter(one.status for one in records.requests)),
        tuple(records.faults),
        tuple(find_violations(records)),
    )


async def _run_phases(world, seconds):
    reactor = world.reactor
    await world.begin()
    Deferred.fromCoroutine(poll_readiness(world))
    latest = reactor.seconds() + _START_SECONDS
    while not all(host.ready for host in world.hosts):
        if reactor.seconds() > latest:
            world.records.broken.append('not ready in time')
            return
        await deferLater(reactor, _READY_POLL_SECONDS)
    callers = [
        Deferred.fromCoroutine(Caller(world, number).run())
        for number in range(_CALLER_COUNT)
    ]
    await _inject_faults(world, seconds)
    await _send_crashing_requests(world)
    await _run_planned_changes(world)
    world.is_sending = False
    for caller in callers:
        await caller


async def _inject_faults(world, seconds):
    reactor = world.reactor
    ends = reactor.seconds() + seconds
    under_way = []
    while reactor.seconds() < ends:
        fault = world.rng.choice(FAULTS)
        under_way.append(Deferred.fromCoroutine(fault(world)))
        pause = world.rng.expovariate(1 / _MEAN_FAULT_PAUSE_SECONDS)
        await deferLater(reactor, pause)
    for one in under_way:
        await one
    await deferLater(reactor, _SETTLE_SECONDS)


async def _send_crashing_requests(world):
    """Let requests come again and again that end their upstreams."""
    for kind in CRASHING_KINDS:
        await Caller(world, 0).repeat_crashing(kind, _CRASHING_SECONDS)
    await deferLater(world.reactor, COLD_SECONDS)


async def _drain_random_domain(world):
    drain = await world.drain(world.rng.choice(DOMAINS))
    await deferLater(world.reactor, _CALM_SECONDS + _EXTRA_DRAINED_SECONDS)
    await world.end_drain(drain)


async def _run_planned_changes(world):
    """Let an upstream leave, a key go and a domain drain, and a host stop."""
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
