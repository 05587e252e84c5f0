"""Readers of answers' bodies: whole replies and streams of tokens."""

from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from pollenstile.upstream import wire
from pollenstile.upstream._sse import EventSplitter
from pollenstile.upstream._types import Chunk, Load, Lost, Reply

_MOST_REPLY_BYTES = 4194304
_MOST_EVENT_BYTES = 65536


def load_from_wire(report):
    """Return the load that a report states, None for none."""
    if report is None:
        return None
    return Load(
        report.running,
        report.queued,
        report.leaving,
        report.incarnation,
    )


class _Body(Protocol):
    """Reads one body; hands the sink the end of the call once."""

    def __init__(self, sink):
        self.sink = sink
        self.ended = False

    def end(self, event):
        """Hand over the call's end, unless that was done already."""
        if self.ended:
            return
        self.ended = True
        self.sink(event)

    def abort(self):
        """Close the connection; nothing reaches the sink afterwards."""
        self.ended = True
        abort = getattr(self.transport, 'abortConnection', None)
        (abort or self.transport.loseConnection)()


class WholeBody(_Body):
    """Reads a stage's or a service's reply."""

    def __init__(self, sink):
        super().__init__(sink)
        self.received = []
        self.size = 0

    def dataReceived(self, data):
        """Keep a part of the reply; called by twisted."""
        self.size += len(data)
        if self.size > _MOST_REPLY_BYTES:
            self.end(Lost('reply too large'))
            self.abort()
            return
        self.received.append(data)

    def connectionLost(self, reason):
        """Decode the reply when it is whole; called by twisted."""
        # A connection that breaks in the middle shows as a reason other than
        # the two that the client gives for a body that reached its end.
        if not reason.check(ResponseDone, PotentialDataLoss):
            self.end(Lost('connection lost'))
            return
        try:
            reply = wire.decode_plain_reply(b''.join(self.received))
        except wire.DecodeError:
            self.end(Lost('malformed reply'))
            return
        load = load_from_wire(reply.load)
        self.end(
            Reply(
                reply.attempt, reply.output, busy_ms=reply.busy_ms, load=load
            ),
        )


class StreamBody(_Body):
    """Reads an engine's tokens.

    Parameters
    ==========

    sink : function
        Takes chunks, then the end.
    text : str
        Text of tokens that earlier attempts brought.
    """

    def __init__(self, sink, text):
        super().__init__(sink)
        self.splitter = EventSplitter(_MOST_EVENT_BYTES)
        self.parts = [text]
        self.last = None

    def dataReceived(self, data):
        """Hand over each token; called by twisted."""
        try:
            events = self.splitter.events(data)
        except ValueError:
            self._break('event too long')
            return
        for event in events:
            if self.ended:
                return
            self._take(event)

    def connectionLost(self, reason):
        """Say that the stream broke, unless it was whole; by twisted."""
        self.end(Lost('stream cut off'))

    def _take(self, event):
        if event == wire.DONE:
            self._complete()
            return
        try:
            decoded = wire.decode_completion_event(event)
        except wire.DecodeError:
            self._break('malformed event')
            return
        self.last = decoded
        for choice in decoded.choices:
            if not choice.text:
                continue
            self.parts.append(choice.text)
            self.sink(Chunk(decoded.id, decoded.offset, choice.text))

    def _complete(self):
        # A stream is whole only if the engine closed it itself: the end mark
        # must follow an event that says how many tokens there were.
        if self.last is None or self.last.usage is None:
            self._break('end without usage')
            return
        usage = self.last.usage
        self.end(
            Reply(
                self.last.id,
                ''.join(self.parts),
                usage.completion_tokens,
                usage.busy_ms,
                load_from_wire(self.last.load),
            ),
        )

    def _break(self, reason):
        self.end(Lost(reason))
        self.abort()
