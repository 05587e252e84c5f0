"""Faults that a run injects; each schedules its own end."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.soak._callers import connection_lost
from pollenstile.soak._hosts import address_of
from pollenstile.soak._world import STORE_LATENCY_SECONDS
from pollenstile.standin.virtual import REFUSED, SILENT

_MAX_FAULT_SECONDS = 4.0
_RESET_SHARE = 0.7
_CUT_SHARE = 0.4
_NO_PLATFORM_SHARE = 0.6
_RETURN_EVERY_SECONDS = 4.0


def _schedule(world, least, most, function, *arguments):
    world.clock.callLater(
        world.rng.uniform(least, most),
        function,
        *arguments,
    )


def _random_host(world):
    return world.hosts[world.rng.choice(list(world.hosts))]


def _random_upstream(world):
    return world.upstreams[world.rng.choice(list(world.upstreams))]


def kill_host(world):
    """Kill a host's process; it restarts later with a new boot identifier."""
    host = _random_host(world)
    if not host.process.alive:
        return
    reset = world.chance(_RESET_SHARE)
    world.trace.note('kill', host=host.name, reset=reset)
    host.kill(reset=reset)
    if reset:
        for exchange in host.exchanges:
            connection_lost(world, exchange)
    _schedule(world, 0.3, _MAX_FAULT_SECONDS, restart, world, host.name)


def restart(world, name):
    """Start a killed host."""
    if not world.hosts[name].process.alive:
        world.trace.note('restart', host=name)
        world.start(name)


def drain_host(world):
    """Shut a host down gracefully: requests in flight finish first."""
    host = _random_host(world)
    if host.node.leaving or host.process.frozen or not host.process.alive:
        return
    leave_host(world, host)


def leave_host(world, host):
    """Let a host leave; its process ends when it is idle."""
    world.trace.note('drain', host=host.name)
    host.node.leaving = True
    host.fleet.leave()
    _schedule(world, 0, 0.1, host.process.deliver, _end_when_idle, world, host)


def _end_when_idle(world, host):
    host.node.when_idle().addCallback(
        lambda _: world.clock.callLater(0, _end_drained_host, world, host),
    )


def _end_drained_host(world, host):
    if not host.process.alive:
        return
    for exchange in host.exchanges:
        if not exchange.outcomes:
            world.records.violate('cut-by-shutdown', exchange.request.ident)
    world.trace.note('drained', host=host.name)
    host.kill(reset=True)
    _schedule(world, 0.3, _MAX_FAULT_SECONDS, restart, world, host.name)


def freeze_host(world):
    """Suspend a host's process for a random time."""
    host = _random_host(world)
    if host.process.frozen or not host.process.alive:
        return
    world.trace.note('freeze', host=host.name)
    host.process.freeze()
    _schedule(world, 0.1, _MAX_FAULT_SECONDS, thaw, world, host)


def thaw(world, host):
    """Resume a frozen process."""
    if host.process.alive and host.process.frozen:
        world.trace.note('thaw', host=host.name)
        host.process.thaw()


def cut_links(world):
    """Cut a host off from some upstreams: calls time out or are refused."""
    host = world.rng.choice(list(world.hosts))
    state = world.rng.choice((SILENT, SILENT, REFUSED))
    for name in world.upstreams:
        if world.chance(_CUT_SHARE):
            world.links.cut[host, name] = state
    world.trace.note('cut', host=host, state=state)
    _schedule(world, 0.2, _MAX_FAULT_SECONDS, heal_links, world, host)


def heal_links(world, host):
    """Restore a host's links to all upstreams."""
    world.trace.note('heal', host=host)
    for name in world.upstreams:
        world.links.cut.pop((host, name), None)


def partition_host(world):
    """Cut a host off from the other hosts and perhaps from the platform."""
    isolated = world.rng.choice(list(world.hosts))
    for other in world.hosts:
        if other != isolated:
            pair = frozenset((address_of(isolated), address_of(other)))
            world.links.partitioned.add(pair)
    if world.chance(_NO_PLATFORM_SHARE):
        world.links.no_platform.add(isolated)
    world.trace.note('part', host=isolated)
    _schedule(world, 0.5, 2 * _MAX_FAULT_SECONDS, heal_partitions, world)


def heal_partitions(world):
    """Restore all links between hosts and to the platform."""
    world.trace.note('join')
    world.links.partitioned.clear()
    world.links.no_platform.clear()


def disturb_messages(world):
    """Lose, duplicate, delay or reorder messages for a random time."""
    world.trace.note('astray-on')
    world.links.disturbed_share = world.rng.uniform(0.05, 0.3)
    _schedule(world, 0.5, 3.0, setattr, world.links, 'disturbed_share', 0.0)


def _set_fault(name, value, neutral):
    def fault(world):
        upstream = _random_upstream(world)
        world.trace.note('fault', upstream=upstream.name, fault=name)
        setattr(upstream.faults, name, value)
        _schedule(world, 0.2, 3.0, setattr, upstream.faults, name, neutral)

    return fault


def replace_upstream(world):
    """Kill an upstream with calls in progress; a new incarnation follows."""
    upstream = _random_upstream(world)
    world.trace.note('upstream-dies', upstream=upstream.name)
    _cut_off_upstream(world, upstream)
    _schedule(world, 0.2, 3.0, _start_replacement, world, upstream)


def leave_upstream(world):
    """Let an upstream report that it is leaving, and end it later."""
    upstream = _random_upstream(world)
    if upstream.faults.leaving:
        return
    world.trace.note('leaving', upstream=upstream.name)
    upstream.faults.leaving = True
    world.records.leaving_since[upstream.name] = world.clock.seconds()
    _schedule(world, 5, 8, _end_left_upstream, world, upstream)


def _end_left_upstream(world, upstream):
    if world.upstreams[upstream.name] is upstream:
        _cut_off_upstream(world, upstream)
        _schedule(world, 0.2, 3.0, _start_replacement, world, upstream)


def _cut_off_upstream(world, upstream):
    upstream.faults.frozen = True
    for host in world.hosts:
        world.links.cut[host, upstream.name] = REFUSED


def _start_replacement(world, upstream):
    for host in world.hosts:
        world.links.cut.pop((host, upstream.name), None)
    if world.upstreams[upstream.name] is upstream:
        world.trace.note('upstream-starts', upstream=upstream.name)
        world.replace(upstream.name)


def store_down(world):
    """Make the platform's store unavailable for a random time."""
    world.trace.note('store-down')
    world.store.down = True
    _schedule(
        world, 0.2, _MAX_FAULT_SECONDS, setattr, world.store, 'down', False
    )


def store_slow(world):
    """Increase the store's latency for a random time."""
    world.trace.note('store-slow')
    world.store.latency = world.rng.uniform(0.2, 3.0)
    _schedule(
        world,
        0.2,
        2.0,
        setattr,
        world.store,
        'latency',
        STORE_LATENCY_SECONDS,
    )


def lose_answers(world):
    """Lose the next few answers and requests of store calls."""
    world.trace.note('store-loses')
    world.store.lose_answers += world.rng.randint(0, 3)
    world.store.lose_requests += world.rng.randint(0, 2)


def schedule_returns(world, rng, seconds):
    """Let the store come back from older copies at random times.

    Explanation
    ===========

    The times have a generator of their own, so that a seed's other faults are
    those of a run without returns.
    """
    world.store.objects.era = 0
    moment = rng.uniform(1.0, _RETURN_EVERY_SECONDS)
    while moment < seconds:
        world.clock.callLater(moment, _copy_and_return, world, rng)
        moment += rng.uniform(0.5, _RETURN_EVERY_SECONDS)


def _copy_and_return(world, rng):
    copy = world.store.objects.copy()
    world.clock.callLater(
        rng.uniform(0.2, _MAX_FAULT_SECONDS), world.return_store, copy
    )


def change_configuration(world):
    """Apply the next revision of the configuration, as an operator does."""
    world.trace.note('apply', revision=world.revision + 1)
    Deferred.fromCoroutine(world.apply_configuration())


def offer_old_configuration(world):
    """Offer a host another host's configuration, possibly an outdated one."""
    source = _random_host(world)
    force = source.node.in_force
    host = _random_host(world)
    world.trace.note('old-news', source=source.name, host=host.name)
    if force.snapshot is None:
        return
    _schedule(
        world,
        0,
        _MAX_FAULT_SECONDS,
        host.process.deliver,
        partial(host.node.in_force.offer, force.version, force.text, 'peer'),
    )


FAULTS = (
    kill_host,
    drain_host,
    freeze_host,
    cut_links,
    partition_host,
    disturb_messages,
    disturb_messages,
    _set_fault('slow', 10.0, 1.0),
    _set_fault('slow', 3.0, 1.0),
    _set_fault('frozen', True, False),
    _set_fault('refusing', True, False),
    _set_fault('foreign', True, False),
    _set_fault('cut_after', 3, -1),
    replace_upstream,
    leave_upstream,
    store_down,
    store_slow,
    lose_answers,
    change_configuration,
    change_configuration,
    offer_old_configuration,
)


def heal_all(world):
    """End every fault, so that open requests can complete."""
    world.trace.note('heal-all')
    world.links.cut.clear()
    heal_partitions(world)
    world.links.disturbed_share = 0.0
    world.store.down = False
    world.store.latency = STORE_LATENCY_SECONDS
    world.store.lose_answers = 0
    world.store.lose_requests = 0
    for name in list(world.upstreams):
        world.replace(name)
    for name, host in list(world.hosts.items()):
        thaw(world, host)
        restart(world, name)
