"""Bodies of answers that are one document, read up to a number of bytes."""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

# Reasons for which the client ends a body that may be complete.
_ALL_ENDS = (ResponseDone, PotentialDataLoss)


class TooLongError(Exception):
    """The head or the body of an answer is longer than its reader allows."""


class _BoundedBody(Protocol):
    """Collects a body; ``done`` fires with its bytes or the failure."""

    def __init__(self, max_bytes, on_part, ends):
        self.max_bytes = max_bytes
        self.ends = ends
        self.on_part = on_part
        self.parts = []
        self.size = 0
        self.done = Deferred(lambda _: self.abort())

    def dataReceived(self, data):
        """Append a part of the body; called by Twisted."""
        if self.done.called:
            return
        self.on_part()
        self.size += len(data)
        if self.size > self.max_bytes:
            self.refuse()
            return
        self.parts.append(data)

    def connectionLost(self, reason):
        """Deliver a body that has reached its end; called by Twisted."""
        if self.done.called:
            return
        if reason.check(*self.ends):
            self.done.callback(b''.join(self.parts))
            return
        self.done.errback(reason)

    def refuse(self):
        """Give the body up, as it is too long."""
        self.parts = []
        self.abort()
        self.done.errback(TooLongError(f'over {self.max_bytes} bytes'))

    def abort(self):
        """Close the connection."""
        abort = getattr(self.transport, 'abortConnection', None)
        (abort or self.transport.loseConnection)()


def _ignore_part():
    """Ignore a part of a body."""


def read_document(
    response, max_bytes, on_part=_ignore_part, *, needs_framing=False
):
    """Return a Deferred of the bytes of an answer's body.

    Explanation
    ===========

    An answer may have neither a length nor chunks and end with its connection.
    The client can't tell such a body from one that broke off. A JSON array or
    object can, as it has an end of its own, so the decoder decides.

    Parameters
    ==========

    response : twisted.web.iweb.IResponse
        Head of the answer.
    max_bytes : int
        Size of the largest body that can be an answer. The connection of a
        longer one is closed, and the Deferred fails with
        :class:`TooLongError`.
    on_part : function
        Called without arguments for each part that arrives.
    needs_framing : bool
        Whether a body that ends with its connection counts as broken off.
    """
    ends = (ResponseDone,) if needs_framing else _ALL_ENDS
    body = _BoundedBody(max_bytes, on_part, ends)
    response.deliverBody(body)
    return body.done
