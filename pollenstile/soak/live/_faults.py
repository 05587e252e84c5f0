"""Faults of a live run, which may overlap."""

from twisted.internet.task import deferLater

from pollenstile.soak.live._records import record_fault
from pollenstile.soak.live._servers import ENGINES, PLAIN, STAGES
from pollenstile.soak.live._silences import (
    hang_server,
    silence_connection,
    stand_still,
)
from pollenstile.soak.live._world import DOMAINS

# Minimum and maximum duration of a fault, in seconds.
_MIN_FAULT_SECONDS = 0.2
_MAX_FAULT_SECONDS = 1.6
# Share of the link faults that affect links to upstreams.
_UPSTREAM_LINK_SHARE = 0.4
_SERVICES = (PLAIN, ENGINES, *STAGES)
# Share of the returns of the store after which all is written again later.
_LATE_SHARE = 0.5
# Faulty upstreams are mostly those that run requests: a request that they run
# must be neither run twice nor reported as not run.
_FAULTY_SERVICES = (PLAIN, PLAIN, ENGINES, ENGINES, *STAGES)
# Requests a second that a limited upstream accepts.
_RATES = (0.5, 2.0, 10.0)
_SERVER_FAULTS = ('hang', 'fail', 'lose', 'cut', 'slow')


async def _wait_fault_time(world):
    seconds = world.rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)
    await deferLater(world.reactor, seconds)


async def kill_host(world):
    """Kill a host's process; it restarts."""
    host = world.rng.choice(world.hosts)
    record_fault(world, host.name, 'kill')
    host.kill()


async def stop_host(world):
    """Shut a host down gracefully; it restarts.

    Explanation
    ===========

    A shutdown is planned, so there is only one at a time.
    """
    if any(host.leaving or not host.ready for host in world.hosts):
        return
    host = world.rng.choice(world.hosts)
    record_fault(world, host.name, 'stop')
    host.stop()


async def pause_host(world):
    """Suspend a host's process for a random time."""
    host = world.rng.choice(world.hosts)
    if host.paused:
        return
    record_fault(world, host.name, 'pause')
    host.pause()
    await _wait_fault_time(world)
    host.resume()
    record_fault(world, host.name, 'go on')


def _random_link(world):
    host = world.rng.choice(world.hosts)
    name = world.rng.choice(('callers', 'peers', 'store'))
    if world.rng.random() < _UPSTREAM_LINK_SHARE:
        server = world.rng.choice(list(world.servers.values()))
        return server.proxy, server.ident
    return getattr(host, name), host.name


async def reset_link(world):
    """Reset all connections of a link."""
    link, name = _random_link(world)
    record_fault(world, name, 'reset')
    link.reset()


async def silence_link(world):
    """Drop all further bytes on the current connections of a link."""
    link, name = _random_link(world)
    record_fault(world, name, 'silence')
    link.silence()


async def cut_link(world):
    """Block a link in one or both directions for a random time."""
    link, name = _random_link(world)
    directions = world.rng.choice(
        (('server',), ('caller',), ('server', 'caller')),
    )
    record_fault(world, name, f'cut {directions}')
    link.block(*directions)
    await _wait_fault_time(world)
    link.heal()
    record_fault(world, name, 'heal')


async def slow_link(world):
    """Delay the bytes on a link for a random time."""
    link, name = _random_link(world)
    record_fault(world, name, 'slow')
    link.slow(world.rng.uniform(0.02, 0.3))
    await _wait_fault_time(world)
    link.heal()
    record_fault(world, name, 'heal')


async def inject_server_fault(world):
    """Make an upstream faulty for a random time."""
    service = world.rng.choice(_FAULTY_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    fault = world.rng.choice(_SERVER_FAULTS)
    record_fault(world, server.ident, fault)
    server.fault = fault
    await _wait_fault_time(world)
    server.fault = ''
    record_fault(world, server.ident, 'well')


async def limit_server(world):
    """Let an upstream state a request rate for a random time."""
    service = world.rng.choice(_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    rate = world.rng.choice(_RATES)
    record_fault(world, server.ident, f'rate {rate}')
    server.rate = rate
    await _wait_fault_time(world)
    server.rate = 0.0
    record_fault(world, server.ident, 'no rate')


async def shed_server(world):
    """Let an upstream turn requests away and ask for rest for a time."""
    service = world.rng.choice(_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    record_fault(world, server.ident, 'shed')
    server.shedding = True
    await _wait_fault_time(world)
    server.shedding = False
    record_fault(world, server.ident, 'no shedding')


async def crash_server(world):
    """Crash an upstream; another one replaces it."""
    service = world.rng.choice(_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    record_fault(world, server.ident, 'crash')
    await world.replace_server(server)


async def leave_server(world):
    """Let an upstream announce that it leaves; it keeps running."""
    service = world.rng.choice(_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    record_fault(world, server.ident, 'leave')
    await world.add_server(service, server.domain)
    await world.leave_server(server)


async def change_configuration(world):
    """Write a new version of the configuration."""
    record_fault(world, 'configuration', 'configure')
    await world.configure()


async def drain_domain(world):
    """Drain a failure domain for a random time.

    Explanation
    ===========

    A drain is planned, so there is only one at a time.
    """
    if any(not drain.ended for drain in world.records.drains):
        return
    domain = world.rng.choice(DOMAINS)
    record_fault(world, 'configuration', f'drain {domain}')
    drain = await world.drain(domain)
    await _wait_fault_time(world)
    await world.end_drain(drain)
    record_fault(world, 'configuration', f'end of drain {domain}')


async def revoke_key(world):
    """Revoke a random key, but never the last one."""
    if len(world.keys) < 2:
        return
    key = world.rng.choice(world.keys)
    record_fault(world, 'configuration', f'revoke {key}')
    await world.revoke(key)


async def inject_store_fault(world):
    """Make the store unavailable, slow or lose answers for a random time."""
    store = world.store
    fault = world.rng.choice(('down', 'slow', 'lost'))
    record_fault(world, 'store', fault)
    if fault == 'down':
        store.down = True
    elif fault == 'slow':
        store.latency = 0.2
    else:
        store.lose_answers = 5
    await _wait_fault_time(world)
    store.down = False
    store.latency = 0.0
    store.lose_answers = 0
    record_fault(world, 'store', 'store well')


async def compact_store(world):
    """Compact the store, which discards its history of changes."""
    record_fault(world, 'store', 'compact')
    world.store.objects.compact()


def _write_lost(world):
    """Write again what the store lacks since its return from a copy."""
    names = list(world.written)
    world.rng.shuffle(names)
    for kind, name in names:
        value = world.written[kind, name]
        if world.store.objects.value_of(kind, name) != value:
            world.store.write_at_once(kind, name, value)


async def return_store(world):
    """Let the store come back from a copy of a random time before."""
    if world.store.down:
        return
    record_fault(world, 'store', 'copy')
    copy = world.store.objects.copy()
    await _wait_fault_time(world)
    world.store.down = True
    await _wait_fault_time(world)
    world.store.return_from(copy)
    is_late = world.rng.random() < _LATE_SHARE
    if not is_late:
        _write_lost(world)
    world.store.down = False
    record_fault(world, 'store', f'return, written again late: {is_late}')
    if is_late:
        await _wait_fault_time(world)
        _write_lost(world)


FAULTS = (
    kill_host,
    stop_host,
    pause_host,
    reset_link,
    silence_link,
    cut_link,
    slow_link,
    inject_server_fault,
    inject_server_fault,
    inject_server_fault,
    inject_server_fault,
    limit_server,
    shed_server,
    crash_server,
    crash_server,
    leave_server,
    change_configuration,
    drain_domain,
    revoke_key,
    inject_store_fault,
    compact_store,
    return_store,
    stand_still,
    stand_still,
    stand_still,
    stand_still,
    silence_connection,
    hang_server,
)
