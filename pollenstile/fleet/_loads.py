"""Load polls of upstreams over HTTP."""

import msgspec
from twisted.internet.defer import Deferred

from pollenstile.ops.agents import agent_for
from pollenstile.ops.documents import read_document
from pollenstile.upstream import Load

_TIMEOUT_SECONDS = 1.0
# Size of the longest report, which has four short values.
_MAX_BYTES = 65536
_OK = 200


def http_load_reader(reactor):
    """Return a function that sends ``GET /v1/load`` to an upstream.

    Explanation
    ===========

    Each poll opens a connection. Reports don't name their polls, so a late
    second answer on a kept connection would pass for the next report.
    """
    agent = agent_for(reactor, connect_timeout=_TIMEOUT_SECONDS)

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
        answer.addErrback(_no_report)
        return answer

    return read_load


def _no_report(failure):
    """Return None: the upstream has sent no report that can be read."""
