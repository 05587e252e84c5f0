"""Splits a stream of server-sent events at event boundaries."""

import re

# Lines end with LF, CRLF or CR, and an event with an empty line. In a stream of
# CRLF, a final CR is half of a line end.
_EVENT_END = re.compile(rb'\r?\n\r?\n|\r\r')
_MAX_END_BYTES = 4
_ID = b'id:'
_COMMENT = b':'
# Digits of a number that is compared; longer identifiers are texts.
_MAX_DIGITS = 18


class EventSplitter:
    """Splits the bytes of a stream at the ends of its events.

    Explanation
    ===========

    An upstream can fail in the middle of an event. Only complete events are
    forwarded, so that another upstream can resume after the last one without
    leaving a partial line in the stream.

    In a stream that can be resumed, an event brings the stream on if its
    identifier is higher than all before. One that is not shows that its
    upstream repeats events or has begun again, so neither it nor what follows
    is returned: the caller would get events twice, or those of two runs. In
    other streams, whose identifiers may be anything, an event brings the stream
    on with a line that the part before it did not have.

    Parameters
    ==========

    needs_idents : bool
        Whether only events with rising identifiers bring the stream on.

    Attributes
    ==========

    last : bytes
        Identifier of the last event that was returned.
    highest : int
        Highest number that was an identifier; -1 before the first.
    lines : frozenset of bytes
        Lines of the events that were fed last, where identifiers don't count.
    brings_on : bool
        Whether an event that was fed last brings the stream on.
    has_gone_back : bool
        Whether an event came whose identifier is not higher than all before.
    waiting : int
        Bytes at the end of all that was returned, from an event on that has no
        identifier, or an empty one, where it needs one. Another upstream would
        send that again, so it belongs to the event after it.
    rest : bytearray
        Received bytes of an incomplete event. Each part of it is appended and
        searched once, however many parts it has.
    has_events : bool
        Whether a complete event other than a comment was received.

    Examples
    ========

    >>> from pollenstile.forward._sse import EventSplitter
    >>> splitter = EventSplitter()
    >>> end = bytes((10,))
    >>> splitter.feed(end.join((b'id: 1', b'data: a', b'', b'id: 2')))
    ... # doctest: +ELLIPSIS
    b'id: 1...data: a...'
    >>> splitter.last, splitter.rest
    (b'1', bytearray(b'id: 2'))
    """

    __slots__ = (
        'brings_on',
        'has_events',
        'has_gone_back',
        'highest',
        'last',
        'lines',
        'needs_idents',
        'rest',
        'waiting',
    )

    def __init__(self, *, needs_idents=False):
        self.needs_idents = needs_idents
        self.last = b''
        self.highest = -1
        self.lines = frozenset()
        self.brings_on = False
        self.rest = bytearray()
        self.has_events = False
        self.has_gone_back = False
        self.waiting = 0

    @property
    def is_out_of_turn(self):
        """Whether what came last does not bring the stream on."""
        return self.has_gone_back or self.waiting > 0

    def feed(self, data):
        """Return the bytes up to the end of the last complete event."""
        # An event end may have begun in the bytes that were received before.
        start = max(0, len(self.rest) - _MAX_END_BYTES + 1)
        self.rest += data
        ends = [match.end() for match in _EVENT_END.finditer(self.rest, start)]
        self.brings_on = False
        if not ends:
            return b''
        events = bytes(self.rest[: ends[-1]])
        self.rest = self.rest[ends[-1] :]
        if self.needs_idents:
            return events[: self._end_in_turn(events, ends)]
        self._note_events(events)
        return events

    def is_broken_off(self, *, may_be_empty):
        """Return whether the stream that ended is incomplete.

        Explanation
        ===========

        An upstream that fails may still end its chunks, so framing proves
        nothing inside an event, nor before the first one.

        Parameters
        ==========

        may_be_empty : bool
            Whether the stream went on after an event, which may have been the
            last one, and a length or a last chunk ended the body.
        """
        is_inside_event = any(self.rest.splitlines())
        is_empty = not (may_be_empty or self.has_events)
        return is_inside_event or is_empty or self.has_gone_back

    def has_begun_event(self):
        """Return whether a part of an event after the last one was received."""
        if self.has_gone_back:
            return False
        return self.waiting > 0 or bool(_content_lines(self.rest))

    def _end_in_turn(self, events, ends):
        """Return the end of the last event before the first that goes back."""
        begin = 0
        for end in ends:
            lines = _content_lines(events[begin:end])
            if lines and not self.has_gone_back:
                self._note_ident(_last_ident(lines), end - begin)
            if self.has_gone_back:
                break
            if self.waiting and not lines:
                self.waiting += end - begin
            begin = end
        return begin

    def _note_events(self, events):
        lines = _content_lines(events)
        if not lines:
            return
        self.has_events = True
        ident = _last_ident(lines)
        self.brings_on = not self.lines.issuperset(lines)
        self.lines = frozenset(lines)
        self.last = self.last if ident is None else ident

    def _note_ident(self, ident, size):
        self.has_events = True
        if not ident:
            self.waiting += size
            return
        number = _number(ident)
        highest = max(self.highest, _number(self.last))
        is_next = ident != self.last if number < 0 else number > highest
        if not is_next:
            self.has_gone_back = True
            return
        self.brings_on = True
        self.waiting = 0
        self.highest = max(highest, number)
        self.last = ident


def _content_lines(events):
    """Return the lines of events that are neither empty nor comments."""
    return [
        line
        for line in events.splitlines()
        if line and not line.startswith(_COMMENT)
    ]


def _last_ident(lines):
    """Return the last identifier in lines of events; None without any."""
    for line in reversed(lines):
        if line.startswith(_ID):
            return line[len(_ID) :].strip()
    return None


def _number(ident):
    """Return the number that an identifier is; -1 if it is none."""
    if len(ident) > _MAX_DIGITS or not ident.isdigit():
        return -1
    return int(ident)
