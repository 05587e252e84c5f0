"""Stand-ins of every upstream that a manifest names."""

from dataclasses import dataclass, replace

from pollenstile.manifest import manifest_from_text
from pollenstile.ops.http import site_for
from pollenstile.standin.engine import Engine, EngineResource
from pollenstile.standin.orders import PlacementResource, warm_holdings
from pollenstile.standin.plain import PlainResource, PlainServer

_WORK = {'stage': 0.02, 'service': 0.03}
_FIRST_TOKEN = 0.05
_TOKEN_GAP = 0.005
_MOST_BODY = 1048576
_LOCAL = '127.0.0.1'


@dataclass(slots=True)
class Standin:
    """A running stand-in: its name, its state and its port."""

    name: str
    server: object
    port: object


def start_upstreams(reactor, path, scale=1.0):
    """Return stand-ins that listen at the addresses of a manifest's file."""
    with open(path, encoding='utf-8') as source:
        manifest = manifest_from_text(source.read())
    started = []
    for pool in manifest.pools.values():
        for name, upstream in pool.upstreams.items():
            port = int(upstream.address.rpartition(':')[-1])
            one = _started(reactor, manifest, name, pool, scale, port)
            started.append(one)
    return started


def start_on_free_ports(reactor, manifest, scale=1.0):
    """Start stand-ins on free ports.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Listens, and times the work.
    manifest : Manifest
        Names pools and upstreams.
    scale : float
        Factor on all times.

    Returns
    =======

    tuple
        The stand-ins by name, and the manifest with their real addresses.
    """
    started = {}
    pools = {}
    for pool_name, pool in manifest.pools.items():
        upstreams = {}
        for name, upstream in pool.upstreams.items():
            standin = _started(reactor, manifest, name, pool, scale, 0)
            started[name] = standin
            number = standin.port.getHost().port
            upstreams[name] = replace(upstream, address=f'{_LOCAL}:{number}')
        pools[pool_name] = replace(pool, upstreams=upstreams)
    return started, replace(manifest, pools=pools)


def _started(reactor, manifest, name, pool, scale, number):
    slots = pool.upstreams[name].slots
    if pool.kind == 'engine':
        server = Engine(
            reactor,
            name,
            _FIRST_TOKEN * scale,
            _TOKEN_GAP * scale,
            slots,
        )
        holdings = warm_holdings(reactor, server, manifest, pool)
        resource = PlacementResource(holdings, EngineResource(server))
    else:
        work = _WORK[pool.kind] * scale
        server = PlainServer(reactor, name, work, slots)
        resource = PlainResource(server)
    site = site_for(resource, reactor, max_body_bytes=_MOST_BODY)
    port = reactor.listenTCP(number, site, interface=_LOCAL)
    return Standin(name, server, port)
