"""Stand-ins of every upstream that a manifest names."""

from dataclasses import dataclass

from pollenstile.manifest import manifest_from_text
from pollenstile.ops.http import site_for
from pollenstile.standin.engine import Engine, EngineResource
from pollenstile.standin.plain import PlainResource, PlainServer

_WORK = {'stage': 0.02, 'service': 0.03}
_FIRST_TOKEN = 0.05
_TOKEN_GAP = 0.005
_MOST_BODY = 1048576


@dataclass(slots=True)
class Standin:
    """A running stand-in: its name, its state and its port."""

    name: str
    server: object
    port: object


def started_upstreams(reactor, path, scale=1.0):
    """Return stand-ins that listen at the addresses of a manifest's file."""
    with open(path, encoding='utf-8') as source:
        manifest = manifest_from_text(source.read())
    return started_pools(reactor, manifest, scale)


def started_pools(reactor, manifest, scale=1.0):
    """Return stand-ins of every upstream of a manifest, listening.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Listens, and times the work.
    manifest : Manifest
        Names pools and addresses.
    scale : float
        Factor on all times.
    """
    started = []
    for pool in manifest.pools.values():
        for name, upstream in pool.upstreams.items():
            started.append(_started(reactor, name, upstream, pool, scale))
    return started


def _started(reactor, name, upstream, pool, scale):
    if pool.kind == 'engine':
        server = Engine(
            reactor,
            name,
            _FIRST_TOKEN * scale,
            _TOKEN_GAP * scale,
            upstream.slots,
        )
        resource = EngineResource(server)
    else:
        work = _WORK[pool.kind] * scale
        server = PlainServer(reactor, name, work, upstream.slots)
        resource = PlainResource(server)
    host, _, number = upstream.address.rpartition(':')
    site = site_for(resource, reactor, most_body=_MOST_BODY)
    port = reactor.listenTCP(int(number), site, interface=host)
    return Standin(name, server, port)
