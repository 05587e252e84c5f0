"""Builders of simulated runs with upstreams of several software versions."""

from pollenstile.bench._versionworld import VersionWorld

# Seconds in which streams begin, and in which the last ones end.
_SECONDS = 20.0
_DRAIN_SECONDS = 12.0
# New streams a second, for each host.
_RATE = 2.0
# Faults a second, in a fleet of nine hosts.
_CRASH_RATE = 0.8
_KILL_RATE = 0.5
_FLEET = 9


def _crash_upstreams(world):
    _schedule(world, _CRASH_RATE, world.crash_upstream)


def _kill_hosts(world):
    _schedule(world, _KILL_RATE, world.kill_host)


def _schedule(world, rate, fault):
    share = len(world.fleet.hosts) / _FLEET
    world.schedule_faults(rate * share, _SECONDS, fault)


def _restart_all(world):
    """Kill all hosts at the same moment, twice."""
    for moment in (5.0, 12.0):
        for name in world.fleet.hosts:
            world.later(moment, world.kill_host, name)


def _replace_upstreams(world):
    world.schedule_replacement('v2', _SECONDS)


def _kill_and_replace(world):
    _kill_hosts(world)
    _replace_upstreams(world)


FAULTS = {
    'upstreams crash': _crash_upstreams,
    'hosts are killed': _kill_hosts,
    'all hosts restart': _restart_all,
    'hosts are killed and upstreams are replaced': _kill_and_replace,
}


def play(size, versions, fault, seed):
    """Return a world in which a fault was played while streams ran.

    Parameters
    ==========

    size : tuple of int
        Number of hosts, of as many upstreams, and of failure domains.
    versions : Versions
        Software versions of the upstreams.
    fault : function
        Schedules the fault in a world.
    seed : int
        Seed of the callers and of the fault.
    """
    hosts, domains = size
    world = VersionWorld(hosts, hosts, domains, versions, seed)
    world.schedule_streams(_RATE * hosts, _SECONDS)
    fault(world)
    world.advance(_SECONDS + _DRAIN_SECONDS)
    return world
