"""Faults of a hard-load run; each schedules its own end."""

from functools import partial

from pollenstile.soak.hardload._tables import ROUTES

# Hosts that serve at least, whatever befalls the others.
_LEAST_HOSTS = 3
_DOWN_SECONDS = (0.5, 3.0)
_CUT_SECONDS = (3.0, 6.0)
_PAUSE_SECONDS = (0.3, 2.0)
_BURST_SECONDS = (1.0, 2.5)
# Callers of a burst a second, beside the others.
_BURST_RATE = 40.0


def _spare_host(world):
    """Return a random serving host, or None if too few serve."""
    hosts = world.serving_hosts()
    if len(hosts) <= _LEAST_HOSTS:
        return None
    return world.rng.choice(hosts)


def _restart_later(world, host):
    world.later(
        world.rng.uniform(*_DOWN_SECONDS),
        world.start_all,
        {host.name: host.domain},
    )


def kill_host(world):
    """Kill a host without notice; it starts again later."""
    host = _spare_host(world)
    if host is None:
        return
    world.trace.note('kill', host=host.name)
    host.end()
    for answer in world.live_answers(host):
        answer.cut_off()
    _restart_later(world, host)


def leave_host(world):
    """Stop a host gracefully; it starts again later."""
    host = _spare_host(world)
    if host is None:
        return
    world.trace.note('leave', host=host.name)
    host.daemon.stop().addCallback(partial(_end_left, world, host))


def _end_left(world, host, stopped):
    if host.gone:
        return
    for answer in world.live_answers(host):
        world.violate('unanswered', answer.ident, host=host.name)
        answer.cut_off()
    world.trace.note('left', host=host.name)
    host.gone = True
    _restart_later(world, host)


def cut_domain(world):
    """Cut a failure domain off for some seconds, open connections included."""
    if world.fleet.cut:
        return
    hosts = world.fleet.hosts.values()
    domain = world.rng.choice(sorted({host.domain for host in hosts}))
    world.trace.note('cut', domain=domain)
    world.fleet.cut_off(domain)
    for client in world.clients.values():
        client.silence(world.is_cut)
    world.later(world.rng.uniform(*_CUT_SECONDS), heal, world)


def heal(world):
    """End the cut of a failure domain."""
    world.trace.note('heal')
    world.fleet.heal()


def _busy_engine(world):
    """Return a random engine, one with requests if there is any."""
    running = world.upstreams.running()
    busy = [process for process in running if process.calls]
    return world.rng.choice(busy or running)


def crash_engine(world):
    """Crash an engine; another one follows at its address."""
    process = _busy_engine(world)
    world.trace.note('crash', engine=process.ident)
    world.upstreams.crash(process)


def pause_engine(world):
    """Let an engine stand still for some seconds."""
    process = _busy_engine(world)
    world.trace.note('pause', engine=process.ident)
    process.timers.pause(world.rng.uniform(*_PAUSE_SECONDS))


def join_engine(world):
    """Start an engine at a new address."""
    number = len(world.engine_addresses)
    domain = world.rng.choice(sorted(set(world.domain_of.values())))
    world.trace.note('join', number=number, domain=domain)
    world.start_engine(f'10.0.0.{number}:1', domain)


def leave_engine(world):
    """Let an engine leave, and end it some seconds later."""
    process = world.rng.choice(world.upstreams.running())
    world.trace.note('leave', engine=process.ident)
    world.upstreams.leave(process.address)
    world.later(world.rng.uniform(*_CUT_SECONDS), _end_engine, world, process)


def _end_engine(world, process):
    # It may have crashed meanwhile, and another one may be at its address.
    if world.upstreams.processes.get(process.address) is process:
        world.upstreams.end(process.address)


def end_stage(world):
    """End a stage upstream; another one follows at its address."""
    running = [
        address
        for address, upstream in world.stages.running.items()
        if upstream is not None
    ]
    address = world.rng.choice(running)
    world.trace.note('end-stage', address=address)
    world.stages.end(address)
    world.later(
        world.rng.uniform(*_DOWN_SECONDS),
        world.stages.start,
        address,
        world.domain_of[address],
    )


def lose_store(world):
    """Let the store refuse the calls of a host for some seconds."""
    host = world.rng.choice(world.fleet.running())
    world.trace.note('store-refuses', host=host.name)
    host.path.refuses = True
    world.later(
        world.rng.uniform(*_DOWN_SECONDS), setattr, host.path, 'refuses', False
    )


def change_configuration(world):
    """Write the next version of the configuration."""
    world.version += 1
    world.trace.note('apply', version=world.version)
    world.fleet.store.write_at_once('config', 'main', world.version)


def send_burst(world):
    """Let more callers of one urgency come for some seconds."""
    route = world.rng.choice(ROUTES)
    world.trace.note('burst', route=route.name)
    world.schedule_randomly(
        _BURST_RATE,
        world.rng.uniform(*_BURST_SECONDS),
        partial(world.start_caller, route),
    )


FAULTS = (
    kill_host,
    leave_host,
    cut_domain,
    crash_engine,
    crash_engine,
    pause_engine,
    pause_engine,
    join_engine,
    join_engine,
    leave_engine,
    end_stage,
    lose_store,
    change_configuration,
    send_burst,
    send_burst,
)


def heal_all(world):
    """End the faults, so that open requests can complete."""
    heal(world)
    for host in world.fleet.running():
        host.path.refuses = False
