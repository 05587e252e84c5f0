"""Builders of an entry host with engines and services in one domain."""

import hashlib
from dataclasses import dataclass
from random import Random

from pollenstile.entry import Daemon, build_node
from pollenstile.manifest import (
    Domain,
    Manifest,
    Model,
    Policy,
    Pool,
    Stage,
    Team,
    Upstream,
    text_from_manifest,
)
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    healthy_network,
)

_LAME_DUCK_SECONDS = 2.0
TEAM = 'salons'
CHAT_STAGE = Stage('generate', 'engines', model='demo', max_tokens=6)
BOOK_STAGE = Stage('book', 'booking', idempotent=False, attempts=1)
_SILENCE_MS = 30000
_SLOTS = 8
_TOKEN_GAP_SECONDS = 0.01


def one_upstream_pool(kind, name, port, **fields):
    """Return a pool with one upstream in the domain ``here``."""
    upstream = Upstream('here', f'127.0.0.1:{port}')
    return Pool(kind, {name: upstream}, **fields)


def entry_manifest(name, key, pools, pipelines):
    """Return a manifest with one domain, one model and one team.

    Parameters
    ==========

    name : str
        Name of the manifest.
    key : bytes
        Key of the team.
    pools, pipelines : dict
        Pools and pipelines by name.
    """
    return Manifest(
        name=name,
        domains={'here': Domain('here')},
        models={'demo': Model('1')},
        pools=pools,
        pipelines=pipelines,
        teams={TEAM: Team([hashlib.sha256(key).hexdigest()])},
        policy=Policy(
            lame_duck_ms=int(_LAME_DUCK_SECONDS * 1000), silence_ms=_SILENCE_MS
        ),
    )


def virtual_upstreams(clock, kinds, work=0.05):
    """Return virtual upstreams by name.

    Parameters
    ==========

    kinds : dict
        Kind of each upstream, by name.
    work : float
        Seconds that each upstream works on a call.
    """
    times = Times(lambda: work, lambda: _TOKEN_GAP_SECONDS)
    return {
        name: VirtualUpstream(clock, name, kind, _SLOTS, times)
        for name, kind in kinds.items()
    }


@dataclass(slots=True, frozen=True)
class EntryHost:
    """What an entry host is built from.

    Parameters
    ==========

    name : str
        Name of the host.
    manifest : Manifest
        Its configuration.
    upstreams : dict
        Virtual upstreams by name.
    environment : dict
        Its further settings.
    seed : int
        Seed of its random numbers.
    """

    name: str
    manifest: Manifest
    upstreams: dict
    environment: dict
    seed: int = 1


def started_daemon(clock, host, store, log):
    """Return the started daemon of an entry host."""
    environment = {
        'POLLENSTILE_HOST': host.name,
        'POLLENSTILE_DOMAIN': 'here',
        **host.environment,
    }
    settings = settings_from(None, ENTRY, environment)
    network = healthy_network(clock, host.upstreams)
    node = build_node(
        clock,
        Random(host.seed),
        settings,
        network.transport_from(host.name),
        store=store,
        log=log,
    )
    node.in_force.offer(1, text_from_manifest(host.manifest), 'test')
    daemon = Daemon(clock, node, settings)
    daemon.start()
    return daemon


def caller_request(path, bearer, body, *headers):
    """Return the bytes of a caller's HTTP request.

    Parameters
    ==========

    path : str
        Path of the request.
    bearer : bytes
        Key of the caller.
    body : bytes
        Body of the request.
    headers : tuple of bytes
        Lines of further headers.
    """
    lines = (
        b'POST %s HTTP/1.1' % path.encode(),
        b'Host: here',
        b'Authorization: Bearer %s' % bearer,
        b'Content-Length: %d' % len(body),
        *headers,
    )
    return b'\r\n'.join([*lines, b'', body])


def key_headers(key):
    """Return the lines that state an idempotency key, if it isn't empty."""
    return (b'Idempotency-Key: %s' % key.encode(),) if key else ()
