"""Faults of a live run, in series and overlapping."""

from twisted.internet.task import deferLater

from pollenstile.soak.live._records import Fault
from pollenstile.soak.live._servers import ENGINES, PLAIN, STAGES
from pollenstile.soak.live._world import DOMAINS

# Seconds that a fault lasts, at least and at most.
_MIN_FAULT_SECONDS = 0.2
_MAX_FAULT_SECONDS = 1.6
# Share of the harmed links that lead to upstreams.
_UPSTREAM_LINK_SHARE = 0.4
_SERVICES = (PLAIN, ENGINES, *STAGES)
# Upstreams that work wrongly are mostly those that run requests: what they
# run must be neither doubled nor denied.
_FAULTY_SERVICES = (PLAIN, PLAIN, ENGINES, ENGINES, *STAGES)
_SERVER_FAULTS = ('hang', 'fail', 'lose', 'cut', 'slow')


def _record_fault(world, subject, text):
    now = world.reactor.seconds()
    world.records.faults.append(Fault(now, subject, text))


async def _wait_fault_time(world):
    seconds = world.rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)
    await deferLater(world.reactor, seconds)


async def kill_host(world):
    """Kill a process; it starts again."""
    host = world.rng.choice(world.hosts)
    _record_fault(world, host.name, 'kill')
    host.kill()


async def stop_host(world):
    """Tell a host to stop; it starts again. Planned: one at a time."""
    if any(host.leaving or not host.ready for host in world.hosts):
        return
    host = world.rng.choice(world.hosts)
    _record_fault(world, host.name, 'stop')
    host.stop()


async def pause_host(world):
    """Let a process stand still for a while."""
    host = world.rng.choice(world.hosts)
    if host.paused:
        return
    _record_fault(world, host.name, 'pause')
    host.pause()
    await _wait_fault_time(world)
    host.resume()
    _record_fault(world, host.name, 'go on')


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
    _record_fault(world, name, 'reset')
    link.reset()


async def silence_link(world):
    """Let the connections of a link go silent for good."""
    link, name = _random_link(world)
    _record_fault(world, name, 'silence')
    link.silence()


async def cut_link(world):
    """Cut a link, one way or both, for a while."""
    link, name = _random_link(world)
    directions = world.rng.choice(
        (('server',), ('caller',), ('server', 'caller')),
    )
    _record_fault(world, name, f'cut {directions}')
    link.block(*directions)
    await _wait_fault_time(world)
    link.heal()
    _record_fault(world, name, 'heal')


async def slow_link(world):
    """Delay a link for a while."""
    link, name = _random_link(world)
    _record_fault(world, name, 'slow')
    link.slow(world.rng.uniform(0.02, 0.3))
    await _wait_fault_time(world)
    link.heal()
    _record_fault(world, name, 'heal')


async def inject_server_fault(world):
    """Let an upstream work wrongly for a while."""
    service = world.rng.choice(_FAULTY_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    fault = world.rng.choice(_SERVER_FAULTS)
    _record_fault(world, server.ident, fault)
    server.fault = fault
    await _wait_fault_time(world)
    server.fault = ''
    _record_fault(world, server.ident, 'well')


async def crash_server(world):
    """End an upstream; another one comes."""
    service = world.rng.choice(_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    _record_fault(world, server.ident, 'crash')
    await world.replace_server(server)


async def leave_server(world):
    """Let an upstream tell that it leaves; it works on."""
    service = world.rng.choice(_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    _record_fault(world, server.ident, 'leave')
    await world.add_server(service, server.domain)
    await world.leave_server(server)


async def change_configuration(world):
    """Write a new version."""
    _record_fault(world, 'configuration', 'configure')
    await world.configure()


async def drain_domain(world):
    """Drain a failure domain for a while; planned: one at a time."""
    if any(not drain.ended for drain in world.records.drains):
        return
    domain = world.rng.choice(DOMAINS)
    _record_fault(world, 'configuration', f'drain {domain}')
    drain = await world.drain(domain)
    await _wait_fault_time(world)
    await world.end_drain(drain)
    _record_fault(world, 'configuration', f'end of drain {domain}')


async def revoke_key(world):
    """Take a key away, all but the last."""
    if len(world.keys) < 2:
        return
    key = world.rng.choice(world.keys)
    _record_fault(world, 'configuration', f'revoke {key}')
    await world.revoke(key)


async def inject_store_fault(world):
    """Let the store be down, slow or lose answers for a while."""
    store = world.store
    fault = world.rng.choice(('down', 'slow', 'lost'))
    _record_fault(world, 'store', fault)
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
    _record_fault(world, 'store', 'store well')


async def compact_store(world):
    """Let the store forget its history."""
    _record_fault(world, 'store', 'compact')
    world.store.objects.compact()


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
    crash_server,
    crash_server,
    leave_server,
    change_configuration,
    drain_domain,
    revoke_key,
    inject_store_fault,
    compact_store,
)
