"""Builders of upstreams that answer long uploads before they have read them."""

import socket
from contextlib import suppress
from dataclasses import dataclass

from twisted.internet import reactor
from twisted.internet.protocol import Protocol

from features.builders.forwardhost import ForwardHost
from features.builders.loop import result_of
from features.builders.malformed import received_through
from features.builders.malformedforms import BODY, PROOF
from features.builders.requests_http import serving
from pollenstile.forward import Upstream

# Longer than what buffers hold of a connection that nobody reads.
UPLOAD_BYTES = 900_000
# Time for the answer to arrive before its connection ends.
_END_SECONDS = 0.05


def _reset(transport):
    transport.abortConnection()


def _close(transport):
    transport.loseConnection()


def _close_one_side(transport):
    # The host may have ended it, which nobody notices who doesn't read.
    with suppress(OSError):
        transport.socket.shutdown(socket.SHUT_WR)


ENDS = {
    'resets': _reset,
    'closes': _close,
    'closes its side of': _close_one_side,
}


def _framings(body, last_chunk):
    """Return the last head line and the body that is sent, by framing."""
    chunk = b'%x\r\n%s\r\n' % (len(body), body)
    return {
        'no framing': (b'X-Filler: a', body),
        'a length': (b'Content-Length: %d' % len(BODY), body),
        'chunks': (b'Transfer-Encoding: chunked', chunk + last_chunk),
    }


# Answers of which a part is sent, and whole ones.
PARTS = _framings(BODY[:-5], b'')
WHOLE = _framings(BODY, b'0\r\n\r\n')


@dataclass(slots=True, frozen=True)
class EarlyAnswer:
    """An answer that is sent as soon as a request begins to arrive.

    Parameters
    ==========

    line : bytes
        Status line.
    framing, body : bytes
        Line of the head that tells where the body ends, and what is sent of
        the body with its framing.
    end : function
        Ends the connection; takes its transport.
    reads : bool
        Whether the upstream reads all of the request before that.
    """

    line: bytes
    framing: bytes
    body: bytes
    end: object
    reads: bool

    def sent(self):
        """Return the bytes of the answer."""
        head = b'\r\n'.join((self.line, *PROOF, self.framing))
        return b'%s\r\n\r\n%s' % (head, self.body)


class _EarlyProtocol(Protocol):
    """Answers at the first bytes of a request."""

    def connectionMade(self):
        """Wait for a request; called by Twisted."""
        self.received_bytes = 0

    def dataReceived(self, data):
        """Answer at once, and end the connection; called by Twisted."""
        answer = self.factory.server.answer
        is_first = not self.received_bytes
        was_read = self.received_bytes >= UPLOAD_BYTES
        self.received_bytes += len(data)
        if is_first:
            self.transport.write(answer.sent())
            if not answer.reads:
                self.transport.pauseProducing()
        is_due = is_first
        if answer.reads:
            is_due = not was_read and self.received_bytes >= UPLOAD_BYTES
        if is_due:
            reactor.callLater(_END_SECONDS, self._end)

    def _end(self):
        """End the connection, unless the host has done so."""
        if self.transport.connected:
            self.factory.server.answer.end(self.transport)


class EarlyUpstream:
    """An upstream on loopback, and a host that forwards uploads to it.

    Attributes
    ==========

    answer : EarlyAnswer
        Answer to all requests.
    """

    def __init__(self):
        self.answer = None
        self.port = serving(_EarlyProtocol, self)
        self.host = ForwardHost(upstreams=0)
        self.host.factory.core.registry.apply(
            'early', Upstream('early', 'desk', self.address, 'd')
        )

    @property
    def address(self):
        """Address of the upstream, ``IP:PORT``."""
        return f'127.0.0.1:{self.port.getHost().port}'

    def received(self, route):
        """Return what the caller of an upload gets on a route."""
        return received_through(self.host, route, body=bytes(UPLOAD_BYTES))

    def stop(self):
        """Close all ports and connections."""
        self.host.stop()
        result_of(self.port.stopListening())
