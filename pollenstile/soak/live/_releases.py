"""Releases of software while some hosts read the store late and all end."""

from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.soak.live._records import Fault
from pollenstile.soak.live._servers import ENGINES
from pollenstile.soak.live._world import VERSIONS

_OK = 200
# Seconds between two releases, and between two upstreams of one.
_WAIT_SECONDS = (0.8, 4.0)
_STEP_SECONDS = (0.05, 0.8)
# Seconds for which an upstream that leaves goes on beside the one after it.
_BESIDE_SECONDS = (0.1, 0.8)
# Share of the upstreams that leave before they end; the others crash.
_LEAVING_SHARE = 0.5
# Share of the hosts that read the store late, and the seconds by which they do:
# within the bounds for keys and drained domains.
_LATE_SHARE = 0.4
_LAG_SECONDS = (0.3, 1.5)
# Part of the run after which all hosts end.
_END_SHARES = (0.3, 0.8)


async def release_at_random(world, seconds):
    """Release versions of the engines, and end all hosts once meanwhile.

    Explanation
    ===========

    The times have a generator of their own, so that a seed's other faults are
    those of a run without them. Releases overlap.
    """
    rng = Random(f'{world.seed}/releases')
    reactor = world.reactor
    end = reactor.seconds() + seconds
    _set_lags(world, rng)
    ending = deferLater(reactor, seconds * rng.uniform(*_END_SHARES))
    ending.addCallback(lambda _: end_all_hosts(world))
    running = [ending]
    while True:
        await deferLater(reactor, rng.uniform(*_WAIT_SECONDS))
        if reactor.seconds() > end:
            break
        running.append(Deferred.fromCoroutine(_release(world, rng)))
    for deferred in running:
        await deferred
    for host in world.hosts:
        host.late_store.lag = 0.0


def end_all_hosts(world):
    """Kill the processes of all hosts; they start again."""
    now = world.reactor.seconds()
    for host in world.hosts:
        world.records.faults.append(Fault(now, host.name, 'kill'))
        host.kill()


def count_taken_up(records):
    """Return the numbers of streams taken up, and of those that went on."""
    taken_up = [record for record in records.requests if record.resumes]
    went_on = [
        record
        for record in taken_up
        if record.status == _OK and record.received_bytes
    ]
    return len(taken_up), len(went_on)


def _set_lags(world, rng):
    now = world.reactor.seconds()
    for host in world.hosts:
        if rng.random() < _LATE_SHARE:
            host.late_store.lag = rng.uniform(*_LAG_SECONDS)
            text = f'watches late by {host.late_store.lag:.2f} s'
            world.records.faults.append(Fault(now, 'store', text))


async def _release(world, rng):
    """Replace all engines by others of a new version."""
    world.releases += 1
    world.software = f'v{len(VERSIONS) + world.releases}'
    for server in world.servers_of(ENGINES):
        await deferLater(world.reactor, rng.uniform(*_STEP_SECONDS))
        if server.ident in world.servers:
            await _replace(world, server, rng)


async def _replace(world, server, rng):
    now = world.reactor.seconds()
    text = f'released as {world.software}'
    world.records.faults.append(Fault(now, server.ident, text))
    if rng.random() < _LEAVING_SHARE:
        await world.add_server(server.service, server.domain)
        await world.leave_server(server)
        await deferLater(world.reactor, rng.uniform(*_BESIDE_SECONDS))
        if server.ident in world.servers:
            await world.crash_server(server)
        return
    await world.replace_server(server)
