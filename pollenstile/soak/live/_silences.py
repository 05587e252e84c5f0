"""Upstreams that stand still and go on where they were."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.soak.live._records import record_fault
from pollenstile.soak.live._servers import ENGINES, PLAIN, STAGES
from pollenstile.soak.live._world import DOMAINS

# Minimum and maximum duration of a silence, in seconds.
_MIN_SILENCE_SECONDS = 0.6
_MAX_SILENCE_SECONDS = 4.0
# Shares of a service that stand still together; 0 is one upstream.
_SHARES = (0.0, 0.5, 1.0)
_SERVICES = (ENGINES, ENGINES, *STAGES, PLAIN)
# Share of the silences by failure domain, and of those during which a version
# of the configuration is written.
_DOMAIN_SHARE = 0.2
_CHANGE_SHARE = 0.5
# Seconds until another upstream replaces one that hangs.
_HUNG_SECONDS = 3.0
# Silences of a run of only these, seconds before each and after the last, and
# between changes of the configuration.
_SERIES = 4
_PAUSE_SECONDS = 1.6
_CHANGE_SECONDS = 0.4


@dataclass(slots=True, frozen=True)
class SilencePlan:
    """Silences that are the only faults of a run.

    Parameters
    ==========

    seconds : float
        Duration of each silence.
    services : tuple of str
        Services whose upstreams stand still.
    share : float
        Share of the upstreams of each service; with 0, none stands still.
    changes : bool
        Whether versions of the configuration are written meanwhile.
    """

    seconds: float
    services: tuple
    share: float = 1.0
    changes: bool = False


async def stand_together(world, servers, seconds, before_end=None):
    """Let upstreams stand still for some seconds, then go on.

    Parameters
    ==========

    before_end : function or None
        Called just before they go on.
    """
    silences = []
    for server in servers:
        record_fault(world, server.ident, 'stand still')
        silences.append(server.stand_still())
    await deferLater(world.reactor, seconds)
    if before_end is not None:
        before_end()
    for server, silence in zip(servers, silences, strict=True):
        record_fault(world, server.ident, 'go on')
        server.go_on(silence)


async def play_silences(world, plan):
    """Let upstreams stand still several times."""
    for _ in range(_SERIES):
        await deferLater(world.reactor, _PAUSE_SECONDS)
        servers = []
        if plan.share:
            for service in plan.services:
                servers.extend(_draw_part(world, service, plan.share))
        standing = Deferred.fromCoroutine(
            stand_together(world, servers, plan.seconds)
        )
        while plan.changes and not standing.called:
            await world.configure()
            await deferLater(world.reactor, _CHANGE_SECONDS)
        await standing
    await deferLater(world.reactor, _PAUSE_SECONDS)


async def stand_still(world):
    """Let upstreams of a service or of a domain stand still, then go on."""
    rng = world.rng
    if rng.random() < _DOMAIN_SHARE:
        domain = rng.choice(DOMAINS)
        servers = [
            server
            for server in world.servers.values()
            if server.domain == domain
        ]
    else:
        servers = _draw_part(world, rng.choice(_SERVICES), rng.choice(_SHARES))
    seconds = rng.uniform(_MIN_SILENCE_SECONDS, _MAX_SILENCE_SECONDS)
    is_changing = rng.random() < _CHANGE_SHARE
    standing = Deferred.fromCoroutine(stand_together(world, servers, seconds))
    if is_changing:
        await deferLater(world.reactor, seconds / 2)
        await world.configure()
    await standing


async def silence_connection(world):
    """Drop all further bytes of one connection to an upstream."""
    server = world.rng.choice(list(world.servers.values()))
    connections = sorted(server.proxy.connections, key=id)
    if connections:
        record_fault(world, server.ident, 'silent connection')
        world.rng.choice(connections).silent = True


async def hang_server(world):
    """Let an upstream stand still for good; another one replaces it."""
    service = world.rng.choice(_SERVICES)
    server = world.rng.choice(world.servers_of(service))
    record_fault(world, server.ident, 'hang for good')
    server.stand_still()
    await deferLater(world.reactor, _HUNG_SECONDS)
    if server.ident in world.servers:
        record_fault(world, server.ident, 'crash')
        await world.replace_server(server)


def _draw_part(world, service, share):
    """Return a share of a service's upstreams, at least one."""
    servers = world.servers_of(service)
    count = max(1, round(share * len(servers)))
    return world.rng.sample(servers, count)
