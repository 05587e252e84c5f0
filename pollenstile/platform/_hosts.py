"""Client of the platform's host list."""

from dataclasses import dataclass
from typing import Literal

import msgspec

from pollenstile.platform._http import FailedCall
from pollenstile.platform._outcome import Unavailable


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One entry of the host list, which may be out of date.

    Parameters
    ==========

    name, address, domain : str
        Name of the host, its ``ip:port`` and its failure domain.
    incarnation : int
        Increases when the name or address is assigned to a new process.
    state : str
        ``'live'`` or ``'leaving'``.
    """

    name: str
    address: str
    domain: str
    incarnation: int
    state: Literal['live', 'leaving']


@dataclass(slots=True, frozen=True)
class HostList:
    """The full host list of one read."""

    hosts: tuple[HostEntry, ...]


async def read_host_list(client):
    """Read the host list; return ``HostList`` or ``Unavailable``.

    Parameters
    ==========

    client : ServerClient
        Client of the platform's server.
    """
    reply = await client.call('GET', '/v1/hosts')
    if isinstance(reply, FailedCall):
        return Unavailable('hosts', client.peer, reply.reason)
    if reply.status != 200:
        reason = f'status {reply.status}'
        return Unavailable('hosts', client.peer, reason, reply.retry_after)
    try:
        rows = msgspec.json.decode(reply.body, type=tuple[HostEntry, ...])
    except (msgspec.DecodeError, RecursionError):
        return Unavailable('hosts', client.peer, 'bad answer')
    return HostList(rows)
