"""Server-sent events, split from a byte stream."""

_FIELD = b'data:'


class EventSplitter:
    """Bytes of an unfinished line, and the bound on them.

    Parameters
    ==========

    most : int
        Longest line, in bytes.

    Raises
    ======

    ValueError
        From :meth:`events`, when a line is longer.

    Examples
    ========

    >>> from pollenstile.upstream._sse import EventSplitter
    >>> splitter = EventSplitter(100)
    >>> newline = bytes([10])
    >>> first = splitter.events(b'data: a' + newline + newline + b'da')
    >>> first, splitter.events(b'ta: b' + newline)
    ([b'a'], [b'b'])
    """

    __slots__ = ('most', 'rest')

    def __init__(self, most):
        self.most = most
        self.rest = b''

    def events(self, received):
        """Return the data of each event that is complete now."""
        lines = (self.rest + received).split(b'\n')
        self.rest = lines.pop()
        if max(map(len, (*lines, self.rest))) > self.most:
            raise ValueError('event too long')
        found = []
        for line in lines:
            if not line.startswith(_FIELD):
                continue
            found.append(line[len(_FIELD) :].strip())
        return found
