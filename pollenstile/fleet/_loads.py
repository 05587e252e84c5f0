"""Asking an upstream for its load, over HTTP."""

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from pollenstile.upstream import Load

_ANSWER_SECONDS = 1.0
_IDLE_SECONDS = 30.0
_OK = 200


def http_load_reader(reactor):
    """Return a function that asks an upstream ``GET /v1/load``.

    Explanation
    ===========

    Connections are kept between polls. After a failure all idle ones are
    closed: where something on the way has lost track of them, the next poll
    goes over a new one, before the upstream counts as missed.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = 1
    pool.cachedConnectionTimeout = _IDLE_SECONDS
    agent = Agent(reactor, connectTimeout=_ANSWER_SECONDS, pool=pool)

    async def read(upstream):
        uri = f'http://{upstream.address}/v1/load'.encode()
        response = await agent.request(b'GET', uri)
        body = await readBody(response)
        if response.code != _OK:
            return None
        return msgspec.json.decode(body, type=Load)

    def read_load(name, upstream):
        answer = Deferred.fromCoroutine(read(upstream))
        answer.addTimeout(_ANSWER_SECONDS, reactor)
        answer.addErrback(_nothing, pool)
        return answer

    return read_load


def _nothing(failure, pool):
    pool.closeCachedConnections()
