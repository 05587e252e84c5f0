"""Tickets of the weight store, which is rate-limited."""

from dataclasses import dataclass
from urllib.parse import quote

from pollenstile.platform._http import FailedCall
from pollenstile.platform._outcome import Unavailable

_DEFAULT_WAIT = 1.0


@dataclass(slots=True, frozen=True)
class Ticket:
    """The weight store lets one engine load a model's version now."""

    model: str
    version: str


@dataclass(slots=True, frozen=True)
class Throttled:
    """Not now; ask again after ``retry_after`` seconds."""

    retry_after: float


async def request_ticket(caller, model, version):
    """Return ``Ticket``, ``Throttled`` or ``Unavailable``.

    A ticket whose answer is lost is lost too: it costs one of the rate.
    """
    path = f'/v1/weights/{quote(model, safe="")}/{quote(version, safe="")}'
    reply = await caller.call('POST', f'{path}/tickets', b'', fresh=True)
    if isinstance(reply, FailedCall):
        return Unavailable('ticket', caller.peer, reply.reason)
    if reply.status == 200:
        return Ticket(model, version)
    if reply.status == 429:
        return Throttled(reply.retry_after or _DEFAULT_WAIT)
    reason = f'status {reply.status}'
    return Unavailable('ticket', caller.peer, reason, reply.retry_after)
