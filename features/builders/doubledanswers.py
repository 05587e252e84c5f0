"""Builders of a server whose answers are sent twice, or framed twice."""

from features.builders.answerreaders import READERS, AnsweringServer

_LINE = b'HTTP/1.1 200 OK\r\n'
# Shares of a body that are sent before the second answer.
_SHARES = (0.05, 0.2, 0.5, 0.8, 0.95)
# Bytes by which a stated length is too high.
_EXCESS = (1, 3, 15, 17, 30)


def _sized(size, body):
    return b'%sContent-Length: %d\r\n\r\n%s' % (_LINE, size, body)


def _unsized(body):
    return b'%s\r\n%s' % (_LINE, body)


def _misframed(size, body):
    """Return an answer with a length beside chunks that have another one."""
    lines = b'Content-Length: %d\r\nTransfer-Encoding: chunked' % size
    chunks = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    return b'%s%s\r\n\r\n%s' % (_LINE, lines, chunks)


def _halves(body):
    """Return an answer after a part of itself, for each part."""
    size = len(body)
    whole = _sized(size, body)
    return [
        _sized(size, body[: int(size * share)]) + whole for share in _SHARES
    ]


def _excesses(body):
    size = len(body)
    whole = _sized(size, body)
    return [_sized(size + excess, body) + whole for excess in _EXCESS]


def _unframed(body):
    half = body[: len(body) // 2]
    whole = _unsized(body)
    return [whole + whole, _unsized(half) + whole]


def _contradictions(body):
    size = len(body)
    return [_misframed(other, body) for other in (5, size - 1, size + 1, 500)]


# Functions of a body that return bytes which are no answer, by what they are.
DOUBLED = {
    'a part of its length, and again': _halves,
    'a length that is too high, and again': _excesses,
    'no length, and again': _unframed,
    'a length beside other chunks': _contradictions,
}


class DoublingServer(AnsweringServer):
    """A server that sends what is no answer, and closes its connection.

    Attributes
    ==========

    make : function
        One of the values of :data:`DOUBLED`.
    number : int
        Which of the texts that it makes is sent.
    """

    def __init__(self, make):
        super().__init__()
        self.make = make
        self.number = 0

    def answer(self, transport, request_head):
        """Write what is no answer."""
        body = self.body_for(request_head)
        transport.write(self.make(body)[self.number])
        transport.loseConnection()


def outcomes_taken(server, name):
    """Return outcomes of a reader that were taken, with the text's number.

    Parameters
    ==========

    server : DoublingServer
        Answers the reader.
    name : str
        Key of ``READERS``.
    """
    reader = READERS[name]
    server.body_for = reader.body_for
    taken = []
    for number, _ in enumerate(server.make(b'')):
        server.number = number
        outcome = reader.read(server)
        if reader.is_taken(outcome):
            taken.append((number, outcome))
    return taken
