"""Object store client over HTTP."""

from dataclasses import replace
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
from pollenstile.platform._rows import decode_json
from pollenstile.platform._store import PAGE_LIMIT, POLL_SECONDS, VALUE_LIMIT

_MILLISECONDS = 1000
_UNAVAILABLE = 503
_GET = {200: Found, 404: Absent}
_WRITE = {200: Written, 409: Conflict}
_LIST = {200: Listing}
_WATCH = {200: Changes, 410: Compacted}


class HttpStore:
    """Client of the object API described in ``docs/protocols/platform.md``.

    Parameters
    ==========

    client : ServerClient
        HTTP client of the store; its timeout applies to all calls but watches.
    watch_margin : float
        Seconds that the response to a watch may take beyond its poll time.
    """

    __slots__ = ('client', 'watch_margin')

    def __init__(self, client, watch_margin=2.0):
        self.client = client
        self.watch_margin = watch_margin

    def is_answering(self):
        """Return whether a response body is being received."""
        return self.client.bodies_in_progress > 0

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""
        reply = await self.client.call('GET', _object_path(kind, name))
        return _stated(self._read_outcome('get', reply, _GET), reply)

    async def put(self, kind, name, value, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        body = msgspec.json.encode(value)
        if len(body) > VALUE_LIMIT:
            return NotApplied('put', self.client.peer, 'status 413')
        path = _object_path(kind, name) + _version_query(if_version)
        reply = await self.client.call('PUT', path, body)
        return _stated(self._write_outcome('put', reply), reply)

    async def delete(self, kind, name, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        path = _object_path(kind, name) + _version_query(if_version)
        reply = await self.client.call('DELETE', path)
        return _stated(self._write_outcome('delete', reply), reply)

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``."""
        query = urlencode({'prefix': prefix, 'after': after, 'limit': limit})
        path = f'/v1/objects/{quote(kind, safe="")}?{query}'
        reply = await self.client.call('GET', path)
        return _stated(self._read_outcome('list', reply, _LIST), reply)

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return ``Changes``, ``Compacted`` or ``Unavailable``."""
        query = urlencode(
            {
                'since': since,
                'prefix': prefix,
                'timeout-ms': int(timeout * _MILLISECONDS),
            },
        )
        reply = await self.client.call(
            'GET',
            f'/v1/watch/{quote(kind, safe="")}?{query}',
            timeout=timeout + self.watch_margin,
        )
        return _stated(self._read_outcome('watch', reply, _WATCH), reply)

    def _read_outcome(self, step, reply, types):
        peer = self.client.peer
        if isinstance(reply, FailedCall):
            return Unavailable(step, peer, reply.reason)
        if reply.status not in types:
            reason = f'status {reply.status}'
            return Unavailable(step, peer, reason, reply.retry_after)
        return _decode_reply(reply, types) or Unavailable(
            step, peer, 'bad answer'
        )

    def _write_outcome(self, step, reply):
        peer = self.client.peer
        if isinstance(reply, FailedCall):
            outcome = InDoubt if reply.connected else NotApplied
            return outcome(step, peer, reply.reason)
        if reply.status in _WRITE:
            return _decode_reply(reply, _WRITE) or InDoubt(
                step, peer, 'bad answer'
            )
        reason = f'status {reply.status}'
        if reply.status == _UNAVAILABLE or 400 <= reply.status < 500:
            return NotApplied(step, peer, reason, reply.retry_after)
        return InDoubt(step, peer, reason)


def _stated(outcome, reply):
    """Return an outcome with the era that its answer has stated."""
    return replace(outcome, era=getattr(reply, 'era', None))


def _decode_reply(reply: Reply, types):
    # A 404 may come from a server other than the object API, such as a load
    # balancer without a route. Only a response that matches the schema counts.
    return decode_json(reply.body, types[reply.status])


def _object_path(kind, name):
    return f'/v1/objects/{quote(kind, safe="")}/{quote(name, safe="")}'


def _version_query(if_version):
    return '' if if_version is None else f'?if-version={if_version}'
