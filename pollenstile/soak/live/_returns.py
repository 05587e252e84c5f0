"""All hosts of a live run end at the same moment, and come back."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.soak.live._records import Fault

# Times that all hosts end, and seconds of requests before each and at the end.
_ENDS = 2
_BEFORE_SECONDS = 3.0
_CALM_SECONDS = 4.0
# Seconds between two looks for hosts that are down.
_LOOK_SECONDS = 0.5
# Seconds for which the store is slow or away around an end of all hosts.
_STORE_BEFORE_SECONDS = 0.5
_STORE_AFTER_SECONDS = 3.0
_SLOW_SECONDS = 0.2


def _leave_well(store, is_on):
    """Leave the store as it is."""


def _slow_down(store, is_on):
    store.latency = _SLOW_SECONDS if is_on else 0.0


def _take_away(store, is_on):
    store.down = is_on


STORE_STATES = {'well': _leave_well, 'slow': _slow_down, 'away': _take_away}


@dataclass(slots=True, frozen=True)
class ReturnPlan:
    """Ends of all hosts at once that are the only faults of a run.

    Parameters
    ==========

    store : str
        State of the store meanwhile, in ``STORE_STATES``.
    recovery : float
        Seconds from an end until callers must be served as before.
    with_upstreams : bool
        Whether all upstreams crash with the hosts; others replace them.
    """

    store: str
    recovery: float = 12.0
    with_upstreams: bool = False


async def play_returns(world, plan):
    """End all hosts together, several times; they start again."""
    reactor = world.reactor
    Deferred.fromCoroutine(_record_down(world))
    for _ in range(_ENDS):
        await deferLater(reactor, _BEFORE_SECONDS)
        await _end_all(world, plan)
        await deferLater(
            reactor, max(0.0, plan.recovery - _STORE_AFTER_SECONDS)
        )
    world.records.calm_from = reactor.seconds()
    await deferLater(reactor, _CALM_SECONDS)


async def _record_down(world):
    """Record for how long hosts are down: they read no requests."""
    while world.is_sending:
        now = world.reactor.seconds()
        for host in world.hosts:
            if host.callers.target is None:
                world.records.faults.append(Fault(now, host.name, 'down'))
        await deferLater(world.reactor, _LOOK_SECONDS)


async def _end_all(world, plan):
    set_state = STORE_STATES[plan.store]
    set_state(world.store, True)
    await deferLater(world.reactor, _STORE_BEFORE_SECONDS)
    now = world.reactor.seconds()
    world.records.all_ended_at.append(now)
    for host in world.hosts:
        world.records.faults.append(Fault(now, host.name, 'kill'))
        host.kill()
    if plan.with_upstreams:
        _replace_upstreams(world, now)
    await deferLater(world.reactor, _STORE_AFTER_SECONDS)
    set_state(world.store, False)


def _replace_upstreams(world, now):
    for server in tuple(world.servers.values()):
        world.records.faults.append(Fault(now, server.ident, 'crash'))
        Deferred.fromCoroutine(world.replace_server(server))
