"""Upstreams whose answers have malformed heads now and then."""

from random import Random

import msgspec
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from pollenstile.soak.live._records import record_fault
from pollenstile.soak.live._servers import (
    ENGINES,
    NOBODY,
    PLAIN,
    STAGES,
    header_lines,
    lookup_body,
    stream_event,
)

_OK = b'HTTP/1.1 200 OK\r\n'
# First lines of answers, of which each would be a success if it were taken.
MALFORMED_HEADS = {
    'status': b'HTTP/1.1 000 OK\r\n',
    'digits': b'HTTP/1.1 0200 OK\r\n',
    'version': b'HTTQ/1.1 200 OK\r\n',
    'name': b'%sX Filler: a\r\n' % _OK,
    'value': b'%sX-Filler: a\x00b\r\n' % _OK,
    'coding': b'%sContent-Encoding: br\r\n' % _OK,
    'switch': b'HTTP/1.1 101 Switching Protocols\r\n\r\n%s' % _OK,
}
# Seconds between two times, and their length.
_WAIT_SECONDS = (0.1, 0.6)
_LENGTHS_SECONDS = (0.3, 1.2)


class MalformedSource:
    """Answers requests with a malformed head and what nobody has asked for.

    Parameters
    ==========

    rng : random.Random
        Draws the head of each answer.
    """

    def __init__(self, rng):
        self.rng = rng

    def answer(self, server, request, ident):
        """Answer a request of a host; its connection stays open."""
        name = self.rng.choice(tuple(MALFORMED_HEADS))
        server.world.records.malformed.append((server.ident, name))
        lines = header_lines(request.responseHeaders.getAllRawHeaders())
        body = _body_for(server, request)
        head = MALFORMED_HEADS[name] + lines
        length = b'Content-Length: %d' % len(body)
        request.channel.write(b'%s%s\r\n\r\n%s' % (head, length, body))


def _body_for(server, request):
    """Return a body that would be proper for a request of nobody."""
    if server.service == PLAIN:
        return lookup_body(NOBODY)
    if server.service == ENGINES:
        return stream_event(NOBODY, 1, server.software)
    pieces = msgspec.json.decode(request.content.read())
    return msgspec.json.encode([NOBODY for _ in pieces])


async def spoil_at_random(world, seconds):
    """Let upstreams of each service send malformed heads now and then.

    Explanation
    ===========

    The times have generators of their own, so that a seed's other faults are
    those of a run without them.
    """
    await gatherResults(
        Deferred.fromCoroutine(_spoil_service(world, service, seconds))
        for service in (PLAIN, ENGINES, STAGES[0])
    )


async def _spoil_service(world, service, seconds):
    """Let one upstream of a service at a time do so."""
    rng = Random(f'{world.seed}/malformed/{service}')
    reactor = world.reactor
    end = reactor.seconds() + seconds
    while True:
        await deferLater(reactor, rng.uniform(*_WAIT_SECONDS))
        if reactor.seconds() > end:
            return
        server = rng.choice(world.servers_of(service))
        record_fault(world, server.ident, 'malformed')
        server.malformed = MalformedSource(rng)
        await deferLater(reactor, rng.uniform(*_LENGTHS_SECONDS))
        server.malformed = None
        record_fault(world, server.ident, 'well')
