"""The object store over HTTP."""

from urllib.parse import quote, urlencode

import msgspec

from pollenstile.platform._http import FailedCall, Reply
from pollenstile.platform._outcome import (
    Absent,
    Changes,
    Compacted,
    Conflict,
    Found,
    InDoubt,
    Listing,
    NotApplied,
    Unavailable,
    Written,
)
from pollenstile.platform._store import PAGE_LIMIT, POLL_SECONDS, VALUE_LIMIT

_MILLISECONDS = 1000
_UNAVAILABLE = 503
_GET = {200: Found, 404: Absent}
_WRITE = {200: Written, 409: Conflict}
_LIST = {200: Listing}
_WATCH = {200: Changes, 410: Compacted}


class HttpStore:
    """The platform's object API, as ``docs/protocols/platform.md`` has it.

    Parameters
    ==========

    caller : Caller
        Sends the calls; its timeout is that of each call but a watch.
    watch_margin : float
        Seconds that a watch's answer may take beyond its poll time.
    """

    __slots__ = ('caller', 'watch_margin')

    def __init__(self, caller, watch_margin=2.0):
        self.caller = caller
        self.watch_margin = watch_margin

    def is_answering(self):
        """Return whether an answer has begun to come in and has not ended."""
        return self.caller.arriving > 0

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""
        reply = await self.caller.call('GET', _object_path(kind, name))
        return self._read('get', reply, _GET)

    async def put(self, kind, name, value, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        body = msgspec.json.encode(value)
        if len(body) > VALUE_LIMIT:
            return NotApplied('put', self.caller.peer, 'status 413')
        path = _object_path(kind, name) + _condition(if_version)
        reply = await self.caller.call('PUT', path, body, fresh=True)
        return self._written('put', reply)

    async def delete(self, kind, name, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        path = _object_path(kind, name) + _condition(if_version)
        reply = await self.caller.call('DELETE', path, fresh=True)
        return self._written('delete', reply)

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``."""
        query = urlencode({'prefix': prefix, 'after': after, 'limit': limit})
        path = f'/v1/objects/{quote(kind, safe="")}?{query}'
        return self._read('list', await self.caller.call('GET', path), _LIST)

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return ``Changes``, ``Compacted`` or ``Unavailable``."""
        query = urlencode(
            {
                'since': since,
                'prefix': prefix,
                'timeout-ms': int(timeout * _MILLISECONDS),
            },
        )
        reply = await self.caller.call(
            'GET',
            f'/v1/watch/{quote(kind, safe="")}?{query}',
            timeout=timeout + self.watch_margin,
            fresh=True,
        )
        return self._read('watch', reply, _WATCH)

    def _read(self, step, reply, types):
        peer = self.caller.peer
        if isinstance(reply, FailedCall):
            return Unavailable(step, peer, reply.reason)
        if reply.status not in types:
            reason = f'status {reply.status}'
            return Unavailable(step, peer, reason, reply.retry_after)
        return _decoded(reply, types) or Unavailable(step, peer, 'bad answer')

    def _written(self, step, reply):
        peer = self.caller.peer
        if isinstance(reply, FailedCall):
            outcome = InDoubt if reply.connected else NotApplied
            return outcome(step, peer, reply.reason)
        if reply.status in _WRITE:
            return _decoded(reply, _WRITE) or InDoubt(step, peer, 'bad answer')
        reason = f'status {reply.status}'
        if reply.status == _UNAVAILABLE or 400 <= reply.status < 500:
            return NotApplied(step, peer, reason, reply.retry_after)
        return InDoubt(step, peer, reason)


def _decoded(reply: Reply, types):
    # A 404 may come from something that is not the object API, such as a
    # balancer with no route. Only an answer of the right shape counts.
    try:
        return msgspec.json.decode(reply.body, type=types[reply.status])
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def _object_path(kind, name):
    return f'/v1/objects/{quote(kind, safe="")}/{quote(name, safe="")}'


def _condition(if_version):
    return '' if if_version is None else f'?if-version={if_version}'
