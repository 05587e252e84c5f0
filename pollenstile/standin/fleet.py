"""Fakes of all upstreams that a manifest declares."""

from dataclasses import dataclass, replace

from pollenstile.manifest import manifest_from_text
from pollenstile.ops.http import site_for
from pollenstile.standin.engine import Engine, EngineResource
from pollenstile.standin.orders import PlacementResource, preloaded_holdings
from pollenstile.standin.plain import PlainResource, PlainServer

_WORK_SECONDS = {'stage': 0.02, 'service': 0.03}
_FIRST_TOKEN_SECONDS = 0.05
_TOKEN_GAP_SECONDS = 0.005
_MAX_BODY_BYTES = 1048576
_LOOPBACK = '127.0.0.1'


@dataclass(slots=True)
class Standin:
    """A running fake upstream with its name, state and listening port."""

    name: str
    server: object
    port: object


def start_upstreams(reactor, path, scale=1.0):
    """Start fakes at the addresses in a manifest file; return them."""
    with open(path, encoding='utf-8') as source:
        manifest = manifest_from_text(source.read())
    started = []
    for pool in manifest.pools.values():
        for name, upstream in pool.upstreams.items():
            port = int(upstream.address.rpartition(':')[-1])
            standin = _start_upstream(
                reactor, manifest, name, pool, scale, port
            )
            started.append(standin)
    return started


def start_on_free_ports(reactor, manifest, scale=1.0):
    """Start fakes of all upstreams of a manifest on free ports.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Reactor that listens and times the work.
    manifest : Manifest
        Declares pools and upstreams.
    scale : float
        Factor by which all times are multiplied.

    Returns
    =======

    tuple
        Dict of :class:`Standin` by name, and the manifest with their actual
        addresses.
    """
    started = {}
    pools = {}
    for pool_name, pool in manifest.pools.items():
        upstreams = {}
        for name, upstream in pool.upstreams.items():
            standin = _start_upstream(reactor, manifest, name, pool, scale, 0)
            started[name] = standin
            port_number = standin.port.getHost().port
            upstreams[name] = replace(
                upstream, address=f'{_LOOPBACK}:{port_number}'
            )
        pools[pool_name] = replace(pool, upstreams=upstreams)
    return started, replace(manifest, pools=pools)


def _start_upstream(reactor, manifest, name, pool, scale, port_number):
    slots = pool.upstreams[name].slots
    if pool.kind == 'engine':
        server = Engine(
            reactor,
            name,
            _FIRST_TOKEN_SECONDS * scale,
            _TOKEN_GAP_SECONDS * scale,
            slots,
        )
        holdings = preloaded_holdings(reactor, server, manifest, pool)
        resource = PlacementResource(holdings, EngineResource(server))
    else:
        work = _WORK_SECONDS[pool.kind] * scale
        server = PlainServer(reactor, name, work, slots)
        resource = PlainResource(server)
    site = site_for(resource, reactor, max_body_bytes=_MAX_BODY_BYTES)
    port = reactor.listenTCP(port_number, site, interface=_LOOPBACK)
    return Standin(name, server, port)
