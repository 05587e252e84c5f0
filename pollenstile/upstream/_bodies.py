"""Readers of response bodies: complete replies and token streams."""

from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from pollenstile.upstream import wire
from pollenstile.upstream._sse import EventSplitter
from pollenstile.upstream._types import Chunk, Load, Lost, Reply

# Bytes of the longest reply, or text of a stream.
_MAX_REPLY_BYTES = 4194304
_MAX_EVENT_BYTES = 65536
# Bytes that a stream may send before its next token: comments, events without
# a token and tokens that it has sent before.
_MAX_IDLE_BYTES = 131072
_TOO_LARGE = 'reply too large'


def load_from_wire(report):
    """Return the load in a report, or None without a report."""
    if report is None:
        return None
    return Load(
        report.running,
        report.queued,
        report.leaving,
        report.incarnation,
    )


class _Body(Protocol):
    """Reads a response body and passes one final event to the sink."""

    def __init__(self, sink):
        self.sink = sink
        self.ended = False

    def end(self, event):
        """Pass the final event of the call to the sink, once."""
        if self.ended:
            return
        self.ended = True
        self.sink(event)

    def abort(self):
        """Abort the connection; no event is passed to the sink afterwards."""
        self.ended = True
        abort = getattr(self.transport, 'abortConnection', None)
        (abort or self.transport.loseConnection)()


class ReplyBody(_Body):
    """Reads the reply of a stage pool or a plain service."""

    def __init__(self, sink):
        super().__init__(sink)
        self.received = []
        self.size = 0

    def dataReceived(self, data):
        """Append a part of the reply; called by Twisted."""
        self.size += len(data)
        if self.size > _MAX_REPLY_BYTES:
            self.end(Lost(_TOO_LARGE))
            self.abort()
            return
        self.received.append(data)

    def connectionLost(self, reason):
        """Decode the reply if it is complete; called by Twisted."""
        # The client reports one of these two reasons for a body that reached
        # its end. Any other reason means that the connection was lost before.
        if not reason.check(ResponseDone, PotentialDataLoss):
            self.end(Lost('connection lost'))
            return
        try:
            reply = wire.decode_plain_reply(b''.join(self.received))
        except wire.DECODE_ERRORS:
            self.end(Lost('malformed reply'))
            return
        load = load_from_wire(reply.load)
        self.end(
            Reply(
                reply.attempt, reply.output, busy_ms=reply.busy_ms, load=load
            ),
        )


class StreamBody(_Body):
    """Reads the token stream of an engine.

    Parameters
    ==========

    sink : function
        Takes the chunks and then the final event.
    text : str
        Text of the tokens received in earlier attempts.
    """

    def __init__(self, sink, text):
        super().__init__(sink)
        self.splitter = EventSplitter(_MAX_EVENT_BYTES)
        self.texts = [text]
        self.size = 0
        self.idle_bytes = 0
        self.newest = -1
        self.last_event = None

    def dataReceived(self, data):
        """Pass each received token to the sink; called by Twisted."""
        self.idle_bytes += len(data)
        try:
            events = self.splitter.events(data)
        except ValueError:
            self._fail('event too long')
            return
        for event in events:
            if self.ended:
                return
            self._handle_event(event)
        if self.idle_bytes > _MAX_IDLE_BYTES:
            self._fail('stream without tokens')

    def connectionLost(self, reason):
        """Report a lost stream unless it was complete; called by Twisted."""
        self.end(Lost('stream cut off'))

    def _handle_event(self, event):
        if event == wire.DONE:
            self._complete()
            return
        try:
            decoded = wire.decode_completion_event(event)
        except wire.DECODE_ERRORS:
            self._fail('malformed event')
            return
        self.last_event = decoded
        for choice in decoded.choices:
            if not choice.text:
                continue
            self._note_token(decoded.offset, choice.text)
            self.sink(Chunk(decoded.id, decoded.offset, choice.text))
        if self.size > _MAX_REPLY_BYTES:
            self._fail(_TOO_LARGE)

    def _note_token(self, offset, text):
        """Keep a token that the stream has not sent before."""
        if offset <= self.newest:
            return
        self.newest = offset
        self.idle_bytes = 0
        self.size += len(text)
        self.texts.append(text)

    def _complete(self):
        # A stream is complete only if the engine ended it: the end marker must
        # follow an event with the number of tokens.
        if self.last_event is None or self.last_event.usage is None:
            self._fail('end without usage')
            return
        usage = self.last_event.usage
        self.end(
            Reply(
                self.last_event.id,
                ''.join(self.texts),
                usage.completion_tokens,
                usage.busy_ms,
                load_from_wire(self.last_event.load),
            ),
        )

    def _fail(self, reason):
        if self.ended:
            return
        self.end(Lost(reason))
        self.abort()
