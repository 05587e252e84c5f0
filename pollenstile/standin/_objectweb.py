"""HTTP server of the object API, backed by an in-memory store."""

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from pollenstile.platform import (
    ERA_HEADER,
    PAGE_LIMIT,
    VALUE_LIMIT,
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

_MS_PER_SECOND = 1000
_STATUS = {
    Found: 200,
    Written: 200,
    Listing: 200,
    Changes: 200,
    Absent: 404,
    Conflict: 409,
    Compacted: 410,
    NotApplied: 503,
    Unavailable: 503,
}


def objectapi_resource(store):
    """Return the resource to mount at ``/v1``.

    Parameters
    ==========

    store : MemoryStore
        Holds the objects and the injected faults. While the store is down,
        the resource answers 503. If an answer is lost, it aborts the
        connection.
    """
    root = Resource()
    root.putChild(b'objects', _ObjectsResource(store))
    root.putChild(b'watch', _WatchResource(store))
    return root


def platform_site(store, hosts=None, weights=None):
    """Return a site with the object API and the other platform fakes.

    Parameters
    ==========

    store : MemoryStore
        Store behind the object API.
    hosts, weights : twisted.web.resource.Resource or None
        Resources of the host list and of the weight store.
    """
    version = objectapi_resource(store)
    if hosts is not None:
        version.putChild(b'hosts', hosts)
    if weights is not None:
        version.putChild(b'weights', weights)
    root = Resource()
    root.putChild(b'v1', version)
    return Site(root)


class _ObjectsResource(Resource):
    isLeaf = True

    def __init__(self, store):
        super().__init__()
        self.store = store

    def render(self, request):
        path = [segment.decode() for segment in request.postpath]
        call = self._call(request, path)
        if call is None:
            return reply(request, 400, {'detail': 'no such call'})
        return answer_request(request, call)

    def _call(self, request, path):
        if len(path) == 1 and request.method == b'GET':
            return self.store.listed(
                path[0],
                _text_argument(request, b'prefix'),
                _text_argument(request, b'after'),
                _integer_argument(request, b'limit', PAGE_LIMIT),
            )
        if len(path) != 2 or not all(path):
            return None
        condition = _integer_argument(request, b'if-version', None)
        if request.method == b'GET':
            return self.store.get(*path)
        if request.method == b'DELETE':
            return self.store.delete(*path, condition)
        if request.method != b'PUT':
            return None
        return _put(self.store, request, path, condition)


class _WatchResource(Resource):
    isLeaf = True

    def __init__(self, store):
        super().__init__()
        self.store = store

    def render_GET(self, request):
        milliseconds = _integer_argument(
            request, b'timeout-ms', 30 * _MS_PER_SECOND
        )
        call = self.store.watched(
            request.postpath[0].decode(),
            _integer_argument(request, b'since', 0),
            _text_argument(request, b'prefix'),
            milliseconds / _MS_PER_SECOND,
        )
        return answer_request(request, call)


async def _put(store, request, path, condition):
    body = request.content.read(VALUE_LIMIT + 1)
    if len(body) > VALUE_LIMIT:
        return NotApplied('put', store.peer, 'status 413')
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return NotApplied('put', store.peer, 'status 400')
    return await store.put(*path, value, condition)


def _text_argument(request, name):
    return request.args.get(name, [b''])[0].decode()


def _integer_argument(request, name, default):
    text = request.args.get(name, [b''])[0]
    return int(text) if text.isdigit() else default


def reply(request, status, body):
    """Set status and content type, and return the encoded body."""
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')
    return msgspec.json.encode(body)


def answer_request(request, call):
    """Answer a request with the outcome of a store's coroutine."""
    pending = Deferred.fromCoroutine(call)
    request.notifyFinish().addErrback(lambda _: pending.cancel())
    pending.addCallback(_finish, request)
    pending.addErrback(lambda failure: failure.trap(CancelledError))
    return NOT_DONE_YET


def _finish(outcome, request):
    if isinstance(outcome, InDoubt):
        request.transport.abortConnection()
        return
    status = _STATUS[type(outcome)]
    reason = getattr(outcome, 'reason', '')
    if reason.startswith('status '):
        status = int(reason.removeprefix('status '))
    body = msgspec.to_builtins(outcome)
    if body.pop('era', None) is not None:
        request.setHeader(ERA_HEADER.encode(), str(outcome.era).encode())
    request.write(reply(request, status, body))
    request.finish()
