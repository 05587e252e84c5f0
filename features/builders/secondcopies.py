"""Builders of upstreams that answer twice, or with two framings at once."""

from dataclasses import dataclass

from twisted.internet import reactor
from twisted.internet.protocol import Protocol

from features.builders.bodyends import LAST_CHUNK, stream_event
from features.builders.forwardhost import ForwardHost
from features.builders.loop import result_of
from features.builders.malformed import ROUTES, received_through
from features.builders.requests_http import serving
from features.builders.tunnels import TunnelStory
from pollenstile.forward import Upstream

# A body that is whole on each route, and half of it, which ends between events.
HALF = stream_event(1, b'\n')
BODY = HALF + stream_event(2, b'\n')
# Events that go on after it.
_MORE = stream_event(3, b'\n') + stream_event(4, b'\n')
# More than a host holds back of an answer whose length it knows.
_LONG_HALF = BODY * 2000
_OK_LINE = b'HTTP/1.1 200 OK'
_PROOF = (b'X-Attempt: a1', b'X-Proof: p')
# Time between two parts, in which a host reads the one before.
_PART_SECONDS = 0.01
# Longer than a host waits for bytes after an answer.
_LATE_SECONDS = 0.12

# How a head begins that has no end, and what repeats in it.
ENDLESS_HEADS = {
    'status line': (b'HTTP/1.1 200 ', b'x' * 100),
    'field': (b'HTTP/1.1 200 OK\r\nA: ', b'x' * 100),
    'list': (b'HTTP/1.1 200 OK\r\n', b'A: x\r\n' * 20),
}


def _head(*lines):
    return b'\r\n'.join((_OK_LINE, *lines, b'', b''))


def _size_line(size):
    return b'Content-Length: %d' % size


def _chunk(body):
    return b'%x\r\n%s\r\n' % (len(body), body)


_CHUNKED = b'Transfer-Encoding: chunked'
_CLOSED_HEAD = _head(*_PROOF)
_CHUNKED_HEAD = _head(*_PROOF, _CHUNKED)
_CHUNKS = b'%s%s%s' % (_chunk(HALF), _chunk(BODY[len(HALF) :]), LAST_CHUNK)
# Heads of a second answer that are as its upstream might write them.
_SECOND_HEADS = {
    'as before': _PROOF,
    'in another order': tuple(reversed(_PROOF)),
    'in other letters': (b'x-attempt:a1', b'X-PROOF:  p'),
    'with more fields': (b'Date: now', b'A: HTTP/1.1', *_PROOF, b'Z:'),
}


def _sized(size, body=BODY):
    """Return an answer of some length, and its body."""
    return _head(*_PROOF, _size_line(size)) + body


# What was sent first, and what its length or chunks leave open.
_FIRST = {
    'an answer without a length': _CLOSED_HEAD + BODY,
    'half of an answer without a length': _CLOSED_HEAD + HALF,
    'half of an answer with a length': _sized(len(BODY), HALF),
    'an answer whose length is higher by 3': _sized(len(BODY) + 3),
    'an answer whose length is higher by 100': _sized(len(BODY) + 100),
    'half of a long answer with a length': _sized(
        2 * len(_LONG_HALF), _LONG_HALF
    ),
    'half of an answer in chunks': _CHUNKED_HEAD + _chunk(HALF),
    'half of a chunk': _CHUNKED_HEAD + _chunk(BODY)[: len(HALF)],
}
_WHOLE = {
    'a whole answer with a length': _sized(len(BODY)),
    'a whole answer in chunks': _CHUNKED_HEAD + _CHUNKS,
}
NAMES = (*_FIRST, *_WHOLE)


def _second(name, lines):
    """Return a second answer with the framing of a first one."""
    if 'chunk' in name:
        return _head(*lines, _CHUNKED) + _CHUNKS
    if 'without a length' in name:
        return _head(*lines) + BODY
    return _head(*lines, _size_line(len(BODY))) + BODY


@dataclass(slots=True, frozen=True)
class Sent:
    """Bytes that an upstream sends for one request.

    Parameters
    ==========

    name : str
        What they are.
    parts : tuple of bytes
        What is sent at once.
    pause : float
        Seconds between two parts.
    """

    name: str
    parts: tuple
    pause: float = _PART_SECONDS


def whole_answer():
    """Return the bytes of an answer that is sent once."""
    return _WHOLE['a whole answer with a length']


def second_answers(name):
    """Return a list of :class:`Sent`: an answer, and a second one after it.

    Parameters
    ==========

    name : str
        One of :data:`NAMES`.
    """
    first = _FIRST.get(name) or _WHOLE[name]
    sent = []
    for form, lines in _SECOND_HEADS.items():
        second = _second(name, lines)
        sent.append(Sent(f'{form}, at once', (first + second,)))
        sent.append(Sent(f'{form}, later', (first, second)))
    second = _second(name, _PROOF)
    sent.append(Sent('late', (first, second), _LATE_SECONDS))
    for cut in (1, 3, 7, 13, 17, 20, 24, 30, 40, len(second) - 5):
        parts = first + second[:cut], second[cut:]
        sent.append(Sent(f'the first {cut} bytes at once', parts))
    cut_off = second[: second.index(_PROOF[0]) + len(_PROOF[0])]
    sent.append(Sent('cut off in its head', (first + cut_off,)))
    cuts = first, second[:3], second[3:20], second[20:]
    sent.append(Sent('in small parts', cuts))
    return sent


def contradictions(size):
    """Return a list of :class:`Sent`: chunks, and a length that isn't theirs.

    Parameters
    ==========

    size : int
        The length.
    """
    before = _head(_size_line(size), *_PROOF, _CHUNKED)
    after = _head(*_PROOF, _CHUNKED, _size_line(size))
    cut = len(after) + len(_chunk(HALF))
    answer = after + _CHUNKS
    return [
        Sent('length first', (before + _CHUNKS,)),
        Sent('chunks first', (answer,)),
        Sent('in two parts', (answer[:cut], answer[cut:])),
        Sent('the last chunk later', (answer[:-5], answer[-5:])),
    ]


def _bodies():
    """Return bodies that look like a second answer in part."""
    texts = (
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 200 OK\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-Attempt: a2\r\nX-Proof: p\r\n\r\n',
        b'HTTP/1.1 200 OK\r\n\r\nX-Attempt: a1\r\n',
        b'HTTP/1.1 200 OK\r\nno field\r\nX-Attempt: a1\r\n',
        b'HTTP/1.1 200 OK\r\nX-Attempt: a12\r\n',
        b'HTTP/1.1 200 OK\r\nX-Attempts: a1\r\n',
        b'HTTP/1.1 200 OK\r\ndata: X-Attempt: a1\r\n',
        b'POST /x HTTP/1.1\r\nX-Attempt: a1\r\nX-Proof: p\r\n\r\n',
        b'X-Attempt: a1\r\n',
        b'HTTP/1.1 200',
        b'HTTP/1.',
        b'HTT',
        b'H',
    )
    for text in texts:
        yield text
        yield b'%s\n%s\n%s' % (BODY, text, _MORE)
        yield BODY + text


def sound_answers():
    """Return tuples of :class:`Sent` and the body that its caller gets."""
    sent = []
    for body in _bodies():
        # An event of a stream, whose last line is none of the text.
        whole = b'id: 0\ndata: a\n\n%s\r\n\r\n' % body
        for text in (body, whole):
            sent.extend(_framed(text))
    return sent


def cut_heads():
    """Return tuples of answer and body, which ends in a part of a head."""
    head = b'HTTP/1.1 200 OK\r\nX-Attempt: a'
    bodies = [BODY + head[:size] for size in (1, 7, 12, 15, 17, len(head))]
    return [(Sent('cut', (_sized(len(body), body),)), body) for body in bodies]


def _framed(body):
    """Return an answer with a body in each framing, and in two parts."""
    chunked = b'%s%s%s' % (_CHUNKED_HEAD, _chunk(body), LAST_CHUNK)
    whole = (_CLOSED_HEAD + body, _sized(len(body), body), chunked)
    cut = len(body) // 2
    closed = (_CLOSED_HEAD + body[:cut], body[cut:])
    parts = (*((answer,) for answer in whole), closed)
    return [(Sent('sound', each), body) for each in parts]


class _SendingProtocol(Protocol):
    """Answers a request with the parts that its server has set."""

    def connectionMade(self):
        """Wait for a request; called by Twisted."""
        self.received = b''

    def dataReceived(self, data):
        """Send all parts, one after the other; called by Twisted."""
        self.received += data
        if b'\r\n\r\n' not in self.received:
            return
        self.received = b''
        sent = self.factory.server.sent
        self._send(list(sent.parts), sent.pause)

    def _send(self, parts, pause):
        self.transport.write(parts.pop(0))
        if parts:
            reactor.callLater(pause, self._send, parts, pause)
            return
        self.transport.loseConnection()


class SendingServer:
    """An upstream on loopback that sends parts and closes after the last.

    Attributes
    ==========

    sent : Sent
        Its answer.
    """

    def __init__(self):
        self.sent = None
        self.port = serving(_SendingProtocol, self)
        self.address = f'127.0.0.1:{self.port.getHost().port}'

    def stop(self):
        """Stop listening."""
        result_of(self.port.stopListening())


class TwiceHost:
    """A host with one upstream that sends parts.

    Parameters
    ==========

    path : str
        ``'directly'``, or ``'through a peer'``.

    Attributes
    ==========

    lines : list of tuple
        Number and fields of each event in the host's log.
    """

    def __init__(self, path):
        self.server = SendingServer()
        self.host = ForwardHost(upstreams=0)
        core = self.host.factory.core
        upstream = Upstream('i', 'desk', self.server.address, 'd')
        core.registry.apply('i', upstream)
        self.tunnel = TunnelStory(self.server.address)
        if path == 'through a peer':
            core.client.paths = self.tunnel.client.paths
        self.lines = []
        core.log = self._log

    def received(self, sent, kind):
        """Return what the caller of one kind gets of an answer."""
        self.server.sent = sent
        return received_through(self.host, ROUTES[kind])

    def stop(self):
        """Close all ports and connections."""
        self.tunnel.stop()
        self.host.stop()
        self.server.stop()

    def _log(self, event, **fields):
        self.lines.append((event.number, fields))


def received_by_all(answers, path):
    """Return tuples of answer, kind of request and what its caller got.

    Parameters
    ==========

    answers : list of Sent
        Each is sent on every kind of route.
    path : str
        ``'directly'``, or ``'through a peer'``.
    """
    results = []
    host = TwiceHost(path)
    for sent in answers:
        for kind in ROUTES:
            results.append((sent, kind, host.received(sent, kind)))
    host.stop()
    return results
