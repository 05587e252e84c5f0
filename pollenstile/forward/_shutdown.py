"""Shutdown of an entry host: its requests, its connections, its parts."""

from functools import partial

from twisted.internet.task import deferLater

from pollenstile.forward import events
from pollenstile.forward._departure import LOOK_SECONDS
from pollenstile.forward._leaving import end_all, end_unbegun, refuse_late
from pollenstile.ops.lateness import reading_time
from pollenstile.ops.loops import start_step

_STEP = 'shutdown'


def _never():
    """Return False: there is always something to wait for."""
    return False


async def shut_down(daemon):
    """End the requests of a host that leaves, and then all of its parts.

    Parameters
    ==========

    daemon : ForwardDaemon
        The host.
    """
    parts = daemon.parts
    factory = daemon.factory
    departure = parts.core.departure
    # The result is not awaited, as other hosts skip the entry of a host
    # that does not answer.
    start_step(daemon.log, _STEP, parts.members.leave())
    await _look_until(daemon, departure.refuses_at)
    # Callers keep using open connections until they are closed. A request
    # accepted from now on could be cut off when the process is killed.
    factory.refusing = True
    factory.close_idle()
    await _look_until(daemon, departure.latest, partial(_is_idle, daemon))
    end_unbegun(parts.core, daemon.guard)
    daemon.guard(_STEP, factory.refuse_incomplete)
    daemon.guard(_STEP, factory.close_idle)
    await deferLater(daemon.reactor, departure.stops_at - departure.latest)
    end_all(parts.core, daemon.guard)
    daemon.guard(_STEP, factory.cut_off_unread)
    await _stop_parts(daemon)
    daemon.log(events.FORWARD_STOPPED, in_flight=factory.in_flight)


async def _look_until(daemon, end, is_over=_never):
    """Refuse what can't be served in time until a time on the clock.

    Parameters
    ==========

    is_over : function
        Returns whether nothing is left to wait for.
    """
    clock = daemon.reactor
    while clock.seconds() < end and not is_over():
        pause = min(LOOK_SECONDS, end - clock.seconds())
        due = clock.seconds() + pause
        await deferLater(clock, pause)
        reading = reading_time(clock.seconds(), due)
        if reading:
            await deferLater(clock, reading)
        refuse_late(daemon.parts.core, daemon.guard)


def _is_idle(daemon):
    parts = daemon.parts
    if parts.core.runs or daemon.factory.is_closing():
        return False
    return not (parts.tunnels.open_ends or parts.owners.is_busy())


async def _stop_parts(daemon):
    parts = daemon.parts
    parts.core.configuration.loop.running = False
    parts.relay.follower.stop()
    daemon.watches.stop()
    daemon.review.stop()
    daemon.factory.gate.stop()
    parts.hub.stop()
    for port in daemon.ports:
        await port.stopListening()
