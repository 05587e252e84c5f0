"""Answers that are malformed, and unusual ones that are not."""

from dataclasses import dataclass

from features.builders.bodyends import stream_event

# A body that is whole on each route.
BODY = stream_event(1, b'\n') + stream_event(2, b'\n')
OK_LINE = b'HTTP/1.1 200 OK'
PROOF = (b'X-Attempt: a1', b'X-Proof: p')


@dataclass(slots=True, frozen=True)
class Form:
    """An answer as an upstream sends it.

    Parameters
    ==========

    line : bytes
        Status line.
    lines : tuple of bytes
        Further lines of the head.
    status : int
        Status that its caller gets.
    body : bytes
        Body of the answer.
    rest : bytes or None
        Bytes after the head, whose lines say how they are framed; None for the
        body, with its length.
    """

    line: bytes = OK_LINE
    lines: tuple = ()
    status: int = 200
    body: bytes = BODY
    rest: object = None

    def sent(self):
        """Return the bytes of the answer."""
        head = (self.line, *PROOF, *self.lines)
        if self.rest is not None:
            return b'%s\r\n\r\n%s' % (b'\r\n'.join(head), self.rest)
        length = b'Content-Length: %d' % len(self.body)
        return b'%s\r\n\r\n%s' % (b'\r\n'.join((*head, length)), self.body)


_STATUS_LINES = (
    # Statuses outside of the range.
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 000',
    b'HTTP/1.1 001 OK',
    b'HTTP/1.1 042 Nearly',
    b'HTTP/1.1 600 Beyond',
    b'HTTP/1.1 777 Beyond',
    # Statuses of other lengths.
    b'HTTP/1.1 2 OK',
    b'HTTP/1.1 0404 Not Found',
    b'HTTP/1.1 00500 Failed',
    b'HTTP/1.1 20000 OK',
    # What the language takes for numbers.
    b'HTTP/1.1 +404 Not Found',
    b'HTTP/1.1 -1 OK',
    b'HTTP/1.1 2_04 OK',
    b'HTTP/1.1 20_0 OK',
    b'HTTP/1.1 200\x0b OK',
    b'HTTP/1.1 \x0c200 OK',
    b'HTTP/1.1 200\r OK',
    b'HTTP/1.1 200\tOK',
    # Versions.
    b'Http/1.1 200 OK',
    b'HTTPS/1.1 200 OK',
    b'RTSP/1.0 200 OK',
    b'SIP/2.0 200 OK',
    b'/1.1 200 OK',
    b'HTTP/0.1 200 OK',
    b'HTTP/2.0 200 OK',
    b'HTTP/3.1 200 OK',
    b'HTTP/01.1 200 OK',
    b'HTTP/1.01 200 OK',
    b'HTTP/1.10 200 OK',
    b'HTTP/+1.1 200 OK',
    b'HTTP/1_0.1 200 OK',
    b'HTTP/1.\t1 200 OK',
    b'\tHTTP/1.1 200 OK',
)
_HANDLED_STATUS_LINES = (
    b'',
    b'200 OK',
    b'HTTP/1.1',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1 OK 200',
    b'HTTP/1.1 0x194 Not Found',
    b'HTTP/1.1 4e2 OK',
    b'HTTP/1.1 \xd9\xa2\xd9\xa0\xd9\xa0 OK',
    b'HTTP/1 200 OK',
    b'HTTP/1.1.1 200 OK',
    b'HTTP/-1.1 200 OK',
    b'OTTER',
)
# Control bytes that a head must not hold; it ends its lines with two others.
_CONTROLS = b'\x00\x01\x08\x0b\x0c\x0e\x1b\x1f\x7f'
_CONTROL_FORMS = (
    *(Form(b'HTTP/1.1 200 a%cb' % byte) for byte in _CONTROLS),
    Form(b'HTTP/1.1 200 a\rb'),
    Form(b'HTTP/1.1 200 a\r'),
    Form(b'HTTP/1.1 200 \x00'),
    Form(b'HTTP/1.1 404 a\x00b', status=404),
    *(Form(lines=(b'X-Filler: a%cb' % byte,)) for byte in _CONTROLS),
    Form(lines=(b'X-Filler: a\rb',)),
    Form(lines=(b'X-Filler: a\rX-Proof: q',)),
    # At either end of a value, where the library strips some of them.
    Form(lines=(b'X-Filler: a\r',)),
    Form(lines=(b'X-Filler:\x0ba',)),
    Form(lines=(b'X-Filler: a\x0c ',)),
    Form(lines=(b'X-Filler: a', b' b\x00c')),
    Form(lines=(b'X-Filler:', b'\t\x01')),
    Form(lines=(b'Content-Length:\x0b%d' % len(BODY),)),
    Form(lines=(b'Connection: close\x00',)),
    # Before the head of the answer.
    Form(b'HTTP/1.1 103 Early\x00\r\n\r\n%s' % OK_LINE),
    Form(b'HTTP/1.1 103 Early\r\nLink: \x01\r\n\r\n%s' % OK_LINE),
)
_NAME_FORMS = tuple(
    Form(lines=(line,))
    for line in (
        b'X Filler: a',
        b'X-Filler : a',
        b'X-Filler\t: a',
        b'Content-Length : 4',
        b'Transfer-Encoding : chunked',
        b'X\x00Filler: a',
        b'X-Filler\x1f: a',
        b'X-Filler\x7f: a',
        b'X-\xc3\xad: a',
        b'X(Filler): a',
        b'X/Filler: a',
        b'X[0]: a',
        b'"X": a',
        b': a',
        b'X-Filler',
        b'X-Filler a',
    )
)
_CODED_FORMS = (
    Form(lines=(b'Content-Encoding: br',)),
    Form(lines=(b'Content-Encoding: deflate',)),
    Form(lines=(b'content-encoding:zstd',)),
    Form(lines=(b'CONTENT-ENCODING: x-gzip, br',)),
    Form(lines=(b'Content-Encoding: own', b'Content-Encoding: other')),
    Form(lines=(b'Content-Encoding:', b' compress')),
    Form(lines=(b'Content-Encoding: identity',)),
    Form(b'HTTP/1.0 206 Part', lines=(b'Content-Encoding: br',), status=206),
    Form(b'HTTP/1.1 404 Lost', lines=(b'Content-Encoding: br',), status=404),
    Form(b'HTTP/1.1 500 Failed', lines=(b'Content-Encoding: br',), status=500),
)
_CHUNKED = b'Transfer-Encoding: chunked'
_CHUNK = b'%x\r\n%s\r\n' % (len(BODY), BODY)
_LAST_CHUNK = b'0\r\n\r\n'


def _chunked(*parts):
    """Return an answer in chunks, of these bytes."""
    return Form(lines=(_CHUNKED,), rest=b''.join(parts))


def _coded(*lines):
    """Return an answer in chunks, with these lines in its head."""
    return Form(lines=lines, rest=b''.join((_CHUNK, _LAST_CHUNK)))


def _sized(text):
    """Return an answer whose length is stated in some way."""
    return Form(lines=(b'Content-Length: %s' % text,), rest=BODY)


_CODING_FORMS = (
    _coded(_CHUNKED, b'Transfer-Encoding: gzip'),
    _coded(_CHUNKED, b'transfer-encoding:'),
    _coded(_CHUNKED, b'Transfer-Encoding: identity'),
    _coded(_CHUNKED, b'X-Filler: a', _CHUNKED),
)
_SIZE = len(BODY)
_FRAMING_FORMS = (
    _coded(b'Transfer-Encoding: deflate', _CHUNKED),
    _coded(b'Transfer-Encoding: chunked, gzip'),
    _coded(b'Transfer-Encoding: chunked, chunked'),
    _coded(b'Transfer-Encoding: xchunked'),
    _coded(b'Transfer-Encoding: "chunked"'),
    _coded(b'Transfer-Encoding: chunked;q=1'),
    _sized(b'%d, %d' % (_SIZE, _SIZE + 1)),
    _sized(b'%d;' % _SIZE),
    _sized(b'%d %d' % (_SIZE, _SIZE)),
    _sized(b'%d.0' % _SIZE),
    _sized(b'"%d"' % _SIZE),
    _sized(b'0x%x' % _SIZE),
    _sized(b'+%d' % _SIZE),
    _sized(b'5_2'),
    _sized(b'many'),
    Form(lines=(b'Content-Length: %d' % (_SIZE + 1),)),
)
_CHUNK_FORMS = (
    _chunked(b'-%s' % _CHUNK),
    _chunked(b'+%s' % _CHUNK),
    _chunked(b' %s' % _CHUNK),
    _chunked(b'0x%s' % _CHUNK),
    _chunked(b'\r\n%s' % _CHUNK),
    _chunked(b'_%s%s' % (_CHUNK, _LAST_CHUNK)),
    _chunked(b'%x \r\n%s\r\n%s' % (_SIZE, BODY, _LAST_CHUNK)),
    _chunked(_CHUNK.replace(b'\r\n', b'\n'), _LAST_CHUNK),
    _chunked(_CHUNK, b'5_0\r\n'),
    _chunked(_CHUNK, b'z\r\n'),
    _chunked(_CHUNK, b'%x;\x00\r\n' % _SIZE),
    _chunked(_CHUNK[:-2], _LAST_CHUNK),
    _chunked(_CHUNK[:-1], b'x', _LAST_CHUNK),
    _chunked(_CHUNK),
    _chunked(_CHUNK, b'0\r\n'),
    _chunked(_CHUNK, b'0\r\nX-Sum: a\r\n'),
    _sized(b'%d' % (_SIZE + 9)),
    _sized(b'0%d' % (_SIZE + 1)),
)
_SWITCH = b'HTTP/1.1 101 Switching Protocols\r\n'
_SWITCHED_FORMS = (
    Form(b'%s\r\n%s' % (_SWITCH, OK_LINE)),
    Form(b'%sUpgrade: tern\r\n\r\n%s' % (_SWITCH, OK_LINE)),
    Form(b'%sUpgrade: h2c\r\n\r\nHTTP/1.1 404 Lost' % _SWITCH, status=404),
    Form(b'HTTP/1.1 103\r\n\r\n%s\r\n%s' % (_SWITCH, OK_LINE)),
)
_UNUSUAL = (
    Form(b'HTTP/1.0 200 OK'),
    Form(b'HTTP/1.9 200 OK'),
    Form(b'HTTP/1.1 200'),
    Form(b'HTTP/1.1 200 '),
    Form(b'HTTP/1.1 200  two  blanks '),
    Form(b'HTTP/1.1 200 a\ttab'),
    Form(b'HTTP/1.1 200 200'),
    Form('HTTP/1.1 200 Príma'.encode()),
    Form(b'HTTP/1.1 203 Not Its Own', status=203),
    Form(b'HTTP/1.1 226 Unheard Of', status=226),
    Form(b'HTTP/1.1 298 Unheard Of', status=298),
    Form(b'HTTP/1.1 302 Elsewhere', status=302),
    Form(b'HTTP/1.1 404 Not Found', status=404),
    Form(b'HTTP/1.1 418', status=418),
    Form(b'HTTP/1.1 499 Left', status=499),
    Form(b'HTTP/1.1 500 ', status=500),
    Form(b'HTTP/1.1 599 Last', status=599),
    Form(lines=(b'X-Empty:',)),
    Form(lines=(b'X-Filler:a',)),
    Form(lines=(b'X-Filler: \t  a\tb  ',)),
    Form(lines=('X-Filler: í é 漢'.encode(),)),
    Form(lines=(b'X-Filler: \x80\xa0\xff',)),
    Form(lines=(b'X-Filler: a:b: "c;d" (e), {f}',)),
    Form(lines=(b'X-Filler: %s' % (b'a' * 8000),)),
    Form(lines=(b'X-Filler: a', b'  b', b'\tc')),
    Form(lines=(b'X-Filler: a', b'x-filler: b', b'X-FILLER: c')),
    Form(lines=(b"!#$%&'*+-.^_`|~09azAZ: a",)),
    Form(lines=(b'content-LENGTH: %d' % len(BODY),)),
    Form(lines=(b'Content-Length: 000%d' % len(BODY),)),
    Form(lines=(b'Content-Length: %d, %d' % (len(BODY), len(BODY)),)),
    Form(b'HTTP/1.1 100 Continue\r\n\r\n%s' % OK_LINE),
    Form(b'HTTP/1.1 102\r\n\r\nHTTP/1.1 102\r\n\r\n%s' % OK_LINE),
    Form(b'HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n%s' % OK_LINE),
    Form(b'HTTP/1.1 199 Unheard Of\r\n\r\n%s' % OK_LINE),
    _coded(b'TRANSFER-encoding: CHUNKED'),
    _chunked(b'000%s000\r\n\r\n' % _CHUNK),
    _chunked(b'%X;a=b;c="d e"\r\n%s\r\n0;z\r\n\r\n' % (_SIZE, BODY)),
    _chunked(_CHUNK, b'0\r\nX-Sum: a\r\nX-Other: b\r\n\r\n'),
    _coded(_CHUNKED, b'Content-Length: %d' % _SIZE),
    _chunked(b'1\r\n:\r\n%x\r\n%s\r\n0\r\n\r\n' % (_SIZE - 1, BODY[1:])),
    Form(rest=BODY),
    Form(b'HTTP/1.0 200 OK', lines=(b'Connection: keep-alive',), rest=BODY),
    _sized(b'%d \t ' % _SIZE),
    _sized(b'%d,%d , %d' % (_SIZE, _SIZE, _SIZE)),
    Form(b'HTTP/1.1 200 OK\nX-Filler: a\nX-Other: b'),
    Form(b'HTTP/1.0 200', (_CHUNKED,), rest=b''.join((_CHUNK, _LAST_CHUNK))),
    Form(lines=(b'Content-Type: a/b; charset=br', b'X-Content-Encoding: br')),
    Form(b'HTTP/1.1 204', (b'Content-Encoding: br',), status=204, body=b''),
    Form(b'HTTP/1.1 103 Early\r\nContent-Encoding: br\r\n\r\n%s' % OK_LINE),
)

FORMS = {
    'status line': tuple(map(Form, _STATUS_LINES)),
    'status line without a number': tuple(map(Form, _HANDLED_STATUS_LINES)),
    'phrase or value with a control byte': _CONTROL_FORMS,
    'name of a field': _NAME_FORMS,
    'body, as it has a content coding,': _CODED_FORMS,
    'transfer coding': _CODING_FORMS,
    'switch of protocols before it': _SWITCHED_FORMS,
    'framing': _FRAMING_FORMS,
    'chunk': _CHUNK_FORMS,
    'unusual': _UNUSUAL,
}

# A head of each kind, for those who read answers beside the forwarding path.
# All of them would be a success for a reader that takes them.
MALFORMED_HEADS = (
    (b'HTTP/1.1 0200 OK', ()),
    (b'HTTP/1.1 2_00 OK', ()),
    (b'HTTP/1.1 200\t', ()),
    (b'HTTP/1.+1 200 OK', ()),
    (b'http/1.1 200 OK', ()),
    (b'QRP/1.1 200 OK', ()),
    (b'HTTP/1.1 000 OK', ()),
    (b'HTTP/1.1 200 a\x00b', ()),
    (OK_LINE, (b'X-Filler: a\x00b',)),
    (OK_LINE, (b'X-Filler: a\rb',)),
    (OK_LINE, (b'X-Filler: a', b' b\x0b')),
    (OK_LINE, (b'Content-Encoding: br',)),
    (b'%s\r\n%s' % (_SWITCH, OK_LINE), ()),
    (OK_LINE, (b'X Filler: a',)),
    (OK_LINE, (b'X-Filler : a',)),
    (OK_LINE, (b'X\x01Filler: a',)),
    (OK_LINE, (b': a',)),
    (OK_LINE, (b'X-Filler',)),
)
UNUSUAL_HEADS = (
    (OK_LINE, ()),
    (b'HTTP/1.1 200', ()),
    (b'HTTP/1.0 200 ', (b'Connection: close',)),
    (b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK', (b'X-Empty:',)),
    (OK_LINE, (b"!#$%&'*+-.^_`|~09aZ: \xc3\xad\ta",)),
)
