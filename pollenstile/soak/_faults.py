"""The faults that a run throws in, each with its end."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.soak._callers import broken
from pollenstile.soak._hosts import address_of
from pollenstile.soak._world import STORE_LATENCY
from pollenstile.standin.virtual import REFUSED, SILENT

_MOST_SECONDS = 4.0
_RESET_SHARE = 0.7
_CUT_SHARE = 0.4
_NO_PLATFORM_SHARE = 0.6


def _later(world, least, most, function, *arguments):
    world.clock.callLater(
        world.rng.uniform(least, most),
        function,
        *arguments,
    )


def _host(world):
    return world.hosts[world.rng.choice(list(world.hosts))]


def _upstream(world):
    return world.upstreams[world.rng.choice(list(world.upstreams))]


def kill_host(world):
    """End a host's process; it starts again with a new boot identifier."""
    host = _host(world)
    if not host.process.alive:
        return
    reset = world.chance(_RESET_SHARE)
    world.trace.note('kill', host=host.name, reset=reset)
    host.kill(reset=reset)
    if reset:
        for exchange in host.exchanges:
            broken(world, exchange)
    _later(world, 0.3, _MOST_SECONDS, restart, world, host.name)


def restart(world, name):
    """Start a killed host."""
    if not world.hosts[name].process.alive:
        world.trace.note('restart', host=name)
        world.start(name)


def drain_host(world):
    """Let a host leave: it finishes what is in flight, then ends."""
    host = _host(world)
    if host.node.leaving or host.process.frozen or not host.process.alive:
        return
    world.trace.note('drain', host=host.name)
    host.node.leaving = True
    host.fleet.leave()
    _later(world, 0, 0.1, host.process.deliver, _end_when_idle, world, host)


def _end_when_idle(world, host):
    host.node.when_idle().addCallback(
        lambda _: world.clock.callLater(0, _drained, world, host),
    )


def _drained(world, host):
    if not host.process.alive:
        return
    for exchange in host.exchanges:
        if not exchange.outcomes:
            world.records.violate('cut-by-shutdown', exchange.request.ident)
    world.trace.note('drained', host=host.name)
    host.kill(reset=True)
    _later(world, 0.3, _MOST_SECONDS, restart, world, host.name)


def freeze_host(world):
    """Stop a host's process for a while."""
    host = _host(world)
    if host.process.frozen or not host.process.alive:
        return
    world.trace.note('freeze', host=host.name)
    host.process.freeze()
    _later(world, 0.1, _MOST_SECONDS, thaw, world, host)


def thaw(world, host):
    """Let a frozen process go on."""
    if host.process.alive and host.process.frozen:
        world.trace.note('thaw', host=host.name)
        host.process.thaw()


def cut_links(world):
    """Cut a host off from some upstreams, silently or with refusals."""
    host = world.rng.choice(list(world.hosts))
    state = world.rng.choice((SILENT, SILENT, REFUSED))
    for name in world.upstreams:
        if world.chance(_CUT_SHARE):
            world.links.cut[host, name] = state
    world.trace.note('cut', host=host, state=state)
    _later(world, 0.2, _MOST_SECONDS, heal_links, world, host)


def heal_links(world, host):
    """Make a host's links work again."""
    world.trace.note('heal', host=host)
    for name in world.upstreams:
        world.links.cut.pop((host, name), None)


def part_hosts(world):
    """Cut the links between hosts, and those of one to the platform."""
    one = world.rng.choice(list(world.hosts))
    for other in world.hosts:
        if other != one:
            pair = frozenset((address_of(one), address_of(other)))
            world.links.parted.add(pair)
    if world.chance(_NO_PLATFORM_SHARE):
        world.links.no_platform.add(one)
    world.trace.note('part', host=one)
    _later(world, 0.5, 2 * _MOST_SECONDS, join_hosts, world)


def join_hosts(world):
    """Let hosts reach each other and the platform again."""
    world.trace.note('join')
    world.links.parted.clear()
    world.links.no_platform.clear()


def send_astray(world):
    """Let messages get lost, doubled, late, swapped for a while."""
    world.trace.note('astray-on')
    world.links.astray = world.rng.uniform(0.05, 0.3)
    _later(world, 0.5, 3.0, setattr, world.links, 'astray', 0.0)


def _set_fault(name, value, neutral):
    def fault(world):
        upstream = _upstream(world)
        world.trace.note('fault', upstream=upstream.name, fault=name)
        setattr(upstream.faults, name, value)
        _later(world, 0.2, 3.0, setattr, upstream.faults, name, neutral)

    return fault


def replace_upstream(world):
    """End an upstream in the middle of its work; a new one starts."""
    upstream = _upstream(world)
    world.trace.note('upstream-dies', upstream=upstream.name)
    _vanish(world, upstream)
    _later(world, 0.2, 3.0, _come_back, world, upstream)


def leave_upstream(world):
    """Let an upstream say that it leaves, then go."""
    upstream = _upstream(world)
    if upstream.faults.leaving:
        return
    world.trace.note('leaving', upstream=upstream.name)
    upstream.faults.leaving = True
    world.records.leaving[upstream.name] = world.clock.seconds()
    _later(world, 5, 8, _gone, world, upstream)


def _gone(world, upstream):
    if world.upstreams[upstream.name] is upstream:
        _vanish(world, upstream)
        _later(world, 0.2, 3.0, _come_back, world, upstream)


def _vanish(world, upstream):
    upstream.faults.frozen = True
    for host in world.hosts:
        world.links.cut[host, upstream.name] = REFUSED


def _come_back(world, upstream):
    for host in world.hosts:
        world.links.cut.pop((host, upstream.name), None)
    if world.upstreams[upstream.name] is upstream:
        world.trace.note('upstream-starts', upstream=upstream.name)
        world.replace(upstream.name)


def store_down(world):
    """Take the platform's store away for a while."""
    world.trace.note('store-down')
    world.store.down = True
    _later(world, 0.2, _MOST_SECONDS, setattr, world.store, 'down', False)


def store_slow(world):
    """Slow the store down for a while."""
    world.trace.note('store-slow')
    world.store.latency = world.rng.uniform(0.2, 3.0)
    _later(
        world,
        0.2,
        2.0,
        setattr,
        world.store,
        'latency',
        STORE_LATENCY,
    )


def lose_answers(world):
    """Lose the answers of some writes, or the writes."""
    world.trace.note('store-loses')
    world.store.lose_answers += world.rng.randint(0, 3)
    world.store.lose_requests += world.rng.randint(0, 2)


def change_configuration(world):
    """Let an operator apply another configuration."""
    world.trace.note('apply', revision=world.revision + 1)
    Deferred.fromCoroutine(world.apply())


def tell_old_news(world):
    """Offer a host a configuration that another one had, maybe long ago."""
    source = _host(world)
    force = source.node.in_force
    host = _host(world)
    world.trace.note('old-news', source=source.name, host=host.name)
    if force.snapshot is None:
        return
    _later(
        world,
        0,
        _MOST_SECONDS,
        host.process.deliver,
        partial(host.node.in_force.offer, force.version, force.text, 'peer'),
    )


FAULTS = (
    kill_host,
    drain_host,
    freeze_host,
    cut_links,
    part_hosts,
    send_astray,
    send_astray,
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
    tell_old_news,
)


def heal_all(world):
    """End every fault, so that what is open can end."""
    world.trace.note('heal-all')
    world.links.cut.clear()
    join_hosts(world)
    world.links.astray = 0.0
    world.store.down = False
    world.store.latency = STORE_LATENCY
    world.store.lose_answers = 0
    world.store.lose_requests = 0
    for name in list(world.upstreams):
        world.replace(name)
    for name, host in list(world.hosts.items()):
        thaw(world, host)
        restart(world, name)
