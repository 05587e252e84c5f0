"""Answers of upstreams whose bytes never end."""

from dataclasses import dataclass

from pollenstile.soak.live._records import EndlessAnswer
from pollenstile.soak.live._servers import (
    ENGINES,
    PLAIN,
    STAGES,
    header_lines,
    lookup_body,
)

# Bytes that an answer has in a second.
RATES = {'fast': 4_000_000, 'slow': 20_000, 'drip': 1_000}
# Seconds between two parts of an answer.
_TICK_SECONDS = 0.05
# An answer that nobody ends stands still from then on.
_MAX_ANSWER_BYTES = 100_000_000
_FILLER = b'filler' * 16
_EVENTS_TYPE = b'Content-Type: text/event-stream\r\n'


@dataclass(slots=True, frozen=True)
class EndlessForm:
    """What an answer begins with, and what it goes on with for good.

    Parameters
    ==========

    services : tuple of str
        Services whose upstreams answer so.
    status : bytes
        Status line; empty if the answer never comes to it.
    has_body : bool
        Whether the head of the answer ends.
    piece : bytes or function
        What is sent again and again; the function takes the request's
        identifier.
    """

    services: tuple
    status: bytes
    has_body: bool
    piece: object

    def head(self, headers):
        """Return the first bytes of an answer.

        Parameters
        ==========

        headers : list of tuple
            Names and values of the upstream's own headers.
        """
        if not self.status:
            return b''
        end = b'\r\n' if self.has_body else b''
        return self.status + header_lines(headers) + end

    def piece_of(self, ident):
        """Return what an answer repeats."""
        return (
            self.piece if isinstance(self.piece, bytes) else self.piece(ident)
        )


_OK = b'HTTP/1.1 200 OK\r\n'
_STREAM = _OK + _EVENTS_TYPE
_ALL = (ENGINES, PLAIN, STAGES[0])
FORMS = {
    'head': EndlessForm(_ALL, _OK, False, b'X-Filler: %s\r\n' % _FILLER),
    'continue': EndlessForm(_ALL, b'', False, b'HTTP/1.1 100 Continue\r\n\r\n'),
    'event': EndlessForm((ENGINES,), _STREAM, True, b'data: %s\n' % _FILLER),
    'nobody': EndlessForm((ENGINES,), _STREAM, True, b'data: nobody\n\n'),
    'failure': EndlessForm(
        _ALL, b'HTTP/1.1 500 Internal Server Error\r\n', True, _FILLER
    ),
    'lookup': EndlessForm((PLAIN,), _OK, True, lookup_body),
    'stage': EndlessForm((STAGES[0],), _OK, True, b'["%s"],' % _FILLER),
}


class EndlessSource:
    """Gives answers of one form at one rate.

    Parameters
    ==========

    name : str
        Name of the form, in ``FORMS``.
    rate : float
        Bytes that each answer has in a second.
    """

    def __init__(self, name, rate):
        self.name = name
        self.form = FORMS[name]
        self.rate = rate

    def answer(self, server, request, ident):
        """Begin to answer a request of a host."""
        records = server.world.records
        record = EndlessAnswer(
            ident, server.ident, self.name, server.world.reactor.seconds()
        )
        records.endless_answers.append(record)
        headers = request.responseHeaders.getAllRawHeaders()
        head = self.form.head(headers)
        writer = _Writer(self, server, request.channel, record)
        request.notifyFinish().addErrback(writer.end)
        port = request.getClientAddress().port
        connection = server.proxy.connection_from(port)
        # What an upstream reads as it goes on may be of a host that has closed.
        if connection is None or not connection.is_caller_open:
            writer.note_closed()
        else:
            connection.on_caller_ended = writer.note_closed
        request.registerProducer(writer, streaming=True)
        writer.begin(head)


class _Writer:
    """Producer of an answer, which pauses while its connection is full."""

    def __init__(self, source, server, channel, record):
        self.server = server
        self.channel = channel
        self.record = record
        self.rate = source.rate
        self.piece = source.form.piece_of(record.ident)
        self.credit = 0.0
        self.is_paused = False

    def begin(self, head):
        """Write the head, and parts until the host closes the connection."""
        self.channel.write(head)
        self._write_part()

    def note_closed(self):
        """Record that the host has closed its end of the connection."""
        self.record.closed = self.server.world.reactor.seconds()

    def end(self, reason):
        """Record that the connection was closed; called by twisted."""
        self.record.ended = self.server.world.reactor.seconds()

    def pauseProducing(self):
        """Write nothing until it is resumed; called by twisted."""
        self.is_paused = True

    def resumeProducing(self):
        """Write on; called by twisted."""
        self.is_paused = False

    def stopProducing(self):
        """Write nothing more; called by twisted."""
        self.is_paused = True

    def _write_part(self):
        if self._is_over():
            return
        if not self.is_paused:
            self.credit += self.rate * _TICK_SECONDS
            count = int(self.credit // len(self.piece))
            self.credit -= count * len(self.piece)
            self.record.sent_bytes += count * len(self.piece)
            self.channel.write(self.piece * count)
        self.server.later(_TICK_SECONDS, self._write_part)

    def _is_over(self):
        record = self.record
        is_closed = record.ended < float('inf')
        return is_closed or record.sent_bytes > _MAX_ANSWER_BYTES
