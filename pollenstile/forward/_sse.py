"""Events of a stream, kept whole."""

_END = b'\n\n'
_ID = b'id:'


class EventSplitter:
    """Splits a stream's bytes at the ends of its events.

    Explanation
    ===========

    An upstream can stop in the middle of an event. Only whole events are
    handed on, so that another upstream can go on after the last one without a
    torn line between them.

    Attributes
    ==========

    last : bytes
        Identifier of the last whole event.

    Examples
    ========

    >>> from pollenstile.forward._sse import EventSplitter
    >>> splitter = EventSplitter()
    >>> end = bytes((10,))
    >>> splitter.whole(end.join((b'id: 1', b'data: a', b'', b'id: 2')))
    ... # doctest: +ELLIPSIS
    b'id: 1...data: a...'
    >>> splitter.last, splitter.rest
    (b'1', b'id: 2')
    """

    __slots__ = ('last', 'rest')

    def __init__(self):
        self.last = b''
        self.rest = b''

    def feed(self, data):
        """Return the bytes up to the end of the last whole event."""
        self.rest += data
        end = self.rest.rfind(_END)
        if end < 0:
            return b''
        end += len(_END)
        events = self.rest[:end]
        self.rest = self.rest[end:]
        self._note_last(events)
        return events

    def _note_last(self, events):
        for line in reversed(events.split(b'\n')):
            if line.startswith(_ID):
                self.last = line[len(_ID) :].strip()
                return
