"""Load polls of upstreams over HTTP."""

import msgspec
from twisted.internet.defer import Deferred

from pollenstile.ops.agents import agent_for, connection_pool
from pollenstile.ops.documents import read_document
from pollenstile.upstream import Load

_TIMEOUT_SECONDS = 1.0
# Seconds for which an idle connection is kept.
_IDLE_SECONDS = 30.0
# Size of the longest report, which has four short values.
_MAX_BYTES = 65536
_OK = 200


def http_load_reader(reactor):
    """Return a function that sends ``GET /v1/load`` to an upstream.

    Explanation
    ===========

    Connections are kept between polls. After a failure, all idle ones are
    closed, because a middlebox may have dropped their state. The next poll then
    uses a new connection, before the upstream counts as unreachable.
    """
    pool = connection_pool(reactor, persistent=True)
    pool.maxPersistentPerHost = 1
    pool.cachedConnectionTimeout = _IDLE_SECONDS
    agent = agent_for(reactor, pool, _TIMEOUT_SECONDS)

    async def read(upstream):
        uri = f'http://{upstream.address}/v1/load'.encode()
        response = await agent.request(b'GET', uri)
        body = await read_document(response, _MAX_BYTES)
        if response.code != _OK:
            return None
        return msgspec.json.decode(body, type=Load)

    def read_load(name, upstream):
        answer = Deferred.fromCoroutine(read(upstream))
        answer.addTimeout(_TIMEOUT_SECONDS, reactor)
        answer.addErrback(_close_idle, pool)
        return answer

    return read_load


def _close_idle(failure, pool):
    pool.closeCachedConnections()
