"""The platform's host list."""

from dataclasses import dataclass
from typing import Literal

import msgspec

from pollenstile.platform._http import FailedCall
from pollenstile.platform._outcome import Unavailable


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One line of the host list, which lags behind reality.

    Parameters
    ==========

    name, address, domain : str
        The host, its ``ip:port`` and its failure domain.
    incarnation : int
        Rises when the name or the address is given to a new process.
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
    """The whole list as it was read."""

    hosts: tuple[HostEntry, ...]


async def read_host_list(caller):
    """Return ``HostList`` or ``Unavailable``.

    Parameters
    ==========

    caller : Caller
        Sends the call.
    """
    reply = await caller.call('GET', '/v1/hosts')
    if isinstance(reply, FailedCall):
        return Unavailable('hosts', caller.peer, reply.reason)
    if reply.status != 200:
        reason = f'status {reply.status}'
        return Unavailable('hosts', caller.peer, reason, reply.retry_after)
    try:
        rows = msgspec.json.decode(reply.body, type=tuple[HostEntry, ...])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return Unavailable('hosts', caller.peer, 'bad answer')
    return HostList(rows)
