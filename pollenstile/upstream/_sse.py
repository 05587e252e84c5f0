"""Incremental parser of server-sent events."""

_FIELD = b'data:'


class EventSplitter:
    """Splits a byte stream into server-sent events.

    Parameters
    ==========

    max_line_bytes : int
        Maximum length of a line in bytes.

    Raises
    ======

    ValueError
        When :meth:`events` receives a longer line.

    Examples
    ========

    >>> from pollenstile.upstream._sse import EventSplitter
    >>> splitter = EventSplitter(100)
    >>> newline = bytes([10])
    >>> first = splitter.events(b'data: a' + newline + newline + b'da')
    >>> first, splitter.events(b'ta: b' + newline)
    ([b'a'], [b'b'])
    """

    __slots__ = ('max_line_bytes', 'remainder')

    def __init__(self, max_line_bytes):
        self.max_line_bytes = max_line_bytes
        self.remainder = b''

    def events(self, received):
        """Return the data of each event that the received bytes complete."""
        lines = (self.remainder + received).split(b'\n')
        self.remainder = lines.pop()
        if max(map(len, (*lines, self.remainder))) > self.max_line_bytes:
            raise ValueError('event too long')
        payloads = []
        for line in lines:
            if not line.startswith(_FIELD):
                continue
            payloads.append(line[len(_FIELD) :].strip())
        return payloads
