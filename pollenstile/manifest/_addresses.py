"""Checks of upstreams' addresses and of pools without any."""

import ipaddress
import re

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._walk import each_upstream

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
    found = _ADDRESS.match(address)
    if not found:
        return None
    six, four, port = found.groups()
    try:
        host = ipaddress.ip_address(six or four)
    except ValueError:
        return None
    if six and host.version == 4:
        return None
    return (host, int(port)) if 1 <= int(port) <= _MAX_PORT else None


def _address_text(found, address):
    if found is None:
        return f'{address!r} is not IP:PORT or [IP]:PORT'
    host = found[0]
    if host.is_unspecified or host.is_multicast:
        return f'{address!r} is not the address of one host'
    return ''


def _addresses(manifest):
    mistakes = []
    taken = {}
    for path, upstream in each_upstream(manifest):
        path = f'{path}.address'
        found = endpoint(upstream.address)
        text = _address_text(found, upstream.address)
        if not text and found in taken:
            text = f'{upstream.address!r} is the address of {taken[found]}'
        if text:
            mistakes.append(Mistake(path, text))
            continue
        taken[found] = path
    return mistakes


def _empty_pools(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        if pool.upstreams:
            continue
        text = 'a pool has at least one upstream'
        mistakes.append(Mistake(f'pools.{name}.upstreams', text))
    return mistakes


def address_mistakes(manifest):
    """Return a mistake for each bad address, shared address or empty pool."""
    return [*_addresses(manifest), *_empty_pools(manifest)]


def bare_domains(manifest):
    """Return a warning for each pool and domain without an upstream of it.

    Explanation
    ===========

    A domain that is cut off from the others can't run a stage that it has no
    upstream for. The manifest is still served.
    """
    warnings = []
    for name, pool in manifest.pools.items():
        covered = {one.domain for one in pool.upstreams.values()}
        for domain in manifest.domains:
            if domain in covered:
                continue
            text = f'no upstream in domain {domain!r}'
            warnings.append(Mistake(f'pools.{name}.upstreams', text))
    return warnings
