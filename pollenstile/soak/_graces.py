"""Hosts of a run that stop while requests may outlast their grace."""

from functools import partial

from pollenstile.entry import plan_grace
from pollenstile.soak._callers import connection_lost
from pollenstile.soak._faults import leave_host, restart
from pollenstile.soak._silences import fall_silent

_STOP_EVERY_SECONDS = 2.5
# Seconds from SIGTERM to SIGKILL; requests last up to two and a half.
_GRACES_SECONDS = (0.4, 0.8, 1.5)
# Upstreams that stand still beside a stop, from when to when.
_SILENT_SHARES = (0.0, 0.5, 1.0)
_SILENT_BEFORE_SECONDS = 0.1
_SILENT_AFTER_SECONDS = 0.5
_RESTART_SECONDS = 0.3


def schedule_graces(world, rng, seconds):
    """Stop hosts at random times, in most cases beside silent upstreams.

    Explanation
    ===========

    The times have a generator of their own.
    """
    moment = rng.uniform(0.5, _STOP_EVERY_SECONDS)
    while moment < seconds:
        grace = rng.choice(_GRACES_SECONDS)
        world.clock.callLater(moment, _fall_silent, world, rng, grace)
        world.clock.callLater(
            moment + _SILENT_BEFORE_SECONDS, _stop, world, rng, grace
        )
        moment += grace + rng.uniform(0.5, _STOP_EVERY_SECONDS)


def _fall_silent(world, rng, grace):
    seconds = _SILENT_BEFORE_SECONDS + grace + _SILENT_AFTER_SECONDS
    fall_silent(world, rng, rng.choice(_SILENT_SHARES), seconds)


def _stop(world, rng, grace):
    host = world.hosts[rng.choice(sorted(world.hosts))]
    if host.node.leaving or not host.process.alive:
        return
    leave_host(world, host)
    _plan_end(host, grace)
    world.clock.callLater(grace, _end_grace, world, host)


def _plan_end(host, grace):
    """Let a host end its requests as the daemon does."""
    plan = plan_grace(host.process.seconds(), grace, lame_duck=0)
    host.node.leave(plan.tells_at)
    for moment, begun in ((plan.tells_at, False), (plan.resets_at, True)):
        wait = moment - host.process.seconds()
        host.process.callLater(
            wait, partial(host.node.end_requests, begun=begun)
        )


def _end_grace(world, host):
    """Kill a host that has not ended by itself."""
    if not host.process.alive:
        return
    world.trace.note('end-of-grace', host=host.name)
    for exchange in host.exchanges:
        if not (exchange.closed or exchange.outcomes):
            world.records.violate('unanswered', exchange.request.ident)
    host.kill(reset=True)
    for exchange in host.exchanges:
        connection_lost(world, exchange)
    world.clock.callLater(_RESTART_SECONDS, restart, world, host.name)
