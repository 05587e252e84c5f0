"""Faults of hosts and upstreams while an upstream limits its rate."""

from pollenstile.bench.crashes import FAULTS

# Seconds after the first statement of the rate until a fault, and its length.
_FAULT_AT_SECONDS = 6.0
_FAULT_SECONDS = 5.0
_FALLEN_RATE = 1.0


def _end_allocator(world, address):
    """End the process of the host that allocates the rate."""
    world.allocator(address).end()


def _cut_allocator(world, address):
    """Cut the host that allocates the rate off from its peers for a time."""
    host = world.allocator(address)
    host.frozen = True
    world.fleet.clock.callLater(_FAULT_SECONDS, _thaw, host)


def _thaw(host):
    host.frozen = False


def _cut_domain(world, address):
    """Cut the domain of the upstream off from the others for a time."""
    domain = world.upstreams.processes[address].domain
    world.fleet.cut_off(domain)
    world.fleet.clock.callLater(_FAULT_SECONDS, world.fleet.heal)


def _isolate_all(world, address):
    """Cut all hosts off from each other, not from upstreams, for a time."""
    for host in world.fleet.running():
        host.frozen = True
        world.fleet.clock.callLater(_FAULT_SECONDS, _thaw, host)


def _restart_all(world, address):
    """Kill all hosts and start them again a second later."""
    domains = world.kill_all()
    world.fleet.clock.callLater(1.0, world.start_all, domains)


def _split_lists(world, address):
    """Let two halves of the hosts not know of each other."""
    hosts = world.fleet.running()
    for half in (hosts[::2], hosts[1::2]):
        for host in half:
            known = {one.name: one.domain for one in half if one is not host}
            _forget_hosts(host.daemon.parts.members, known)
            host.core.rates.update_hosts(known)


def _split_apart(world, address):
    """Let two halves neither know of nor reach each other."""
    for number, host in enumerate(world.fleet.running()):
        world.fleet.sides[host.name] = number % 2
    _split_lists(world, address)


def _isolate_for_long(world, address):
    """Cut all hosts off from each other, not from upstreams."""
    for number, host in enumerate(world.fleet.running()):
        world.fleet.sides[host.name] = number


def _forget_hosts(members, known):
    """Remove the hosts from a host's list that it is not to know."""
    for name in list(members.hosts):
        if name not in known:
            members.hosts.pop(name)


def _lower_rate(world, address):
    """Lower the rate that the upstream states."""
    world.upstreams.rates[address] = _FALLEN_RATE


TIMED_FAULTS = {
    'allocator ended': _end_allocator,
    'allocator cut off': _cut_allocator,
    'domain cut off': _cut_domain,
    'all hosts isolated': _isolate_all,
    'all hosts restarted': _restart_all,
    'two halves': _split_lists,
    'two halves apart': _split_apart,
    'all hosts isolated for long': _isolate_for_long,
    'rate lowered': _lower_rate,
}
FAULT_NAMES = (*FAULTS, *TIMED_FAULTS)


def inject_fault(world, address, fault):
    """Inject a fault by its name, at once or while the rate is stated."""
    immediate = FAULTS.get(fault)
    if immediate is not None:
        immediate(world.fleet)
        return
    world.fleet.clock.callLater(
        _FAULT_AT_SECONDS, TIMED_FAULTS[fault], world, address
    )
