"""Client of the rate-limited weight store."""

from dataclasses import dataclass
from urllib.parse import quote

from pollenstile.platform._http import FailedCall
from pollenstile.platform._outcome import Unavailable

_DEFAULT_WAIT = 1.0


@dataclass(slots=True, frozen=True)
class Ticket:
    """Permission for one engine to load a version of a model now."""

    model: str
    version: str


@dataclass(slots=True, frozen=True)
class Throttled:
    """Refusal of a ticket; retry after ``retry_after`` seconds."""

    retry_after: float


async def request_ticket(client, model, version):
    """Request a ticket; return ``Ticket``, ``Throttled`` or ``Unavailable``.

    A ticket whose response is lost can't be used and still counts against the
    rate.
    """
    path = f'/v1/weights/{quote(model, safe="")}/{quote(version, safe="")}'
    reply = await client.call('POST', f'{path}/tickets', b'')
    if isinstance(reply, FailedCall):
        return Unavailable('ticket', client.peer, reply.reason)
    if reply.status == 200:
        return Ticket(model, version)
    if reply.status == 429:
        return Throttled(reply.retry_after or _DEFAULT_WAIT)
    reason = f'status {reply.status}'
    return Unavailable('ticket', client.peer, reason, reply.retry_after)
