"""Tries of simulated streams at whole hosts."""

from pollenstile.forward import Exchange, RouteQuery, serve
from pollenstile.quarantine import fingerprint
from pollenstile.standin.crashing import NAMES

SERVICE = 's'
AIM_SECONDS = 2.0
_TARGET = b'/a/x'
_QUERY = RouteQuery('host', '/a/x')


def serving_hosts(fleet):
    """Return the running hosts of a fleet that know their upstreams."""
    return [host for host in fleet.running() if _is_serving(host)]


def serve_try(world, host, caller, ident, answer):
    """Let a host serve one try of a stream.

    Parameters
    ==========

    world : object
        With ``now()`` and the ``route`` of the streams.
    host : object
        One of :func:`serving_hosts`.
    caller : StreamCaller
        Has sent the try.
    ident : str
        Identifier of the try.
    answer : TryAnswer
        Receives the answer.
    """
    core = host.core
    now = world.now()
    exchange = Exchange(
        ident,
        b'POST',
        _TARGET,
        [(NAMES.attempt, ident.encode())],
        caller.body,
        world.route,
        core.configuration.table,
        _QUERY,
        caller.team,
        arrived=now,
        aim=now + AIM_SECONDS,
        ends=caller.ends,
        last_event=str(caller.last) if caller.last else '',
        resumes=caller.origin,
        service=SERVICE,
        fingerprint=fingerprint(core.quarantine.key, _TARGET, caller.body),
    )
    answer.work = serve(core, exchange, answer)


def _is_serving(host):
    return host.configuration.table is not None and host.core.registry.known
