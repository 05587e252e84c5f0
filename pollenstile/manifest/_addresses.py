"""Checks of upstream addresses and of pools without upstreams."""

import ipaddress
import re

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._traversal import list_upstreams

_ADDRESS = re.compile(r'(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})\Z')
_MAX_PORT = 65_535


def endpoint(address):
    """Return the IP address and port of ``'IP:PORT'``, or ``None``.

    Examples
    ========

    >>> endpoint('127.0.0.1:9000')
    (IPv4Address('127.0.0.1'), 9000)
    >>> endpoint('[::1]:9000')
    (IPv6Address('::1'), 9000)
    >>> endpoint('engine-1:9000') is None
    True
    """
    match = _ADDRESS.match(address)
    if not match:
        return None
    ipv6, ipv4, port = match.groups()
    try:
        host = ipaddress.ip_address(ipv6 or ipv4)
    except ValueError:
        return None
    if ipv6 and host.version == 4:
        return None
    return (host, int(port)) if 1 <= int(port) <= _MAX_PORT else None


def _address_problem(parsed, address):
    if parsed is None:
        return f'{address!r} is not IP:PORT or [IP]:PORT'
    host = parsed[0]
    if host.is_unspecified or host.is_multicast:
        return f'{address!r} is not the address of one host'
    return ''


def _upstream_address_mistakes(manifest):
    mistakes = []
    path_by_endpoint = {}
    for path, upstream in list_upstreams(manifest):
        path = f'{path}.address'
        parsed = endpoint(upstream.address)
        text = _address_problem(parsed, upstream.address)
        if not text and parsed in path_by_endpoint:
            text = (
                f'{upstream.address!r} is already the address of'
                f' {path_by_endpoint[parsed]}'
            )
        if text:
            mistakes.append(Mistake(path, text))
            continue
        path_by_endpoint[parsed] = path
    return mistakes


def _empty_pool_mistakes(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        if pool.upstreams:
            continue
        text = 'a pool must have at least one upstream'
        mistakes.append(Mistake(f'pools.{name}.upstreams', text))
    return mistakes


def address_mistakes(manifest):
    """Return a mistake for each bad address, shared address or empty pool."""
    return [
        *_upstream_address_mistakes(manifest),
        *_empty_pool_mistakes(manifest),
    ]


def coverage_warnings(manifest):
    """Return a warning for each domain in which a pool has no upstream.

    Explanation
    ===========

    A domain that is partitioned from the others can't run the stages of such
    a pool. The manifest is accepted nevertheless.
    """
    warnings = []
    for name, pool in manifest.pools.items():
        covered = {upstream.domain for upstream in pool.upstreams.values()}
        for domain in manifest.domains:
            if domain in covered:
                continue
            text = f'no upstream in domain {domain!r}'
            warnings.append(Mistake(f'pools.{name}.upstreams', text))
    return warnings
