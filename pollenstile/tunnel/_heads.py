"""Heads of answers, as far as a peer looks into the bytes that it passes on."""

import re

# Bytes in which a head ends, or is taken for none.
_MAX_HEAD_BYTES = 65536
_BLANK_LINE = b'\r\n\r\n'
_INTERIM = re.compile(rb'HTTP/1\.\d 1\d\d')
_FRAMING = re.compile(rb'^(?:content-length|transfer-encoding):', re.M | re.I)


class HeadWatch:
    """Tells whether the body of an answer ends with its connection.

    Explanation
    ===========

    The host that reads the answer decides how it is framed. A peer only saves
    it connections: where it finds a framing, it confirms no end.

    Attributes
    ==========

    is_unframed : bool
        Whether a head without a framing was received.
    pending : bytes or None
        Bytes of a head that is not complete; None after it.

    Examples
    ========

    >>> from pollenstile.tunnel._heads import HeadWatch
    >>> watch = HeadWatch()
    >>> lines = (b'HTTP/1.1 200 OK', b'X-Proof: p', b'', b'body')
    >>> watch.feed(bytes((13, 10)).join(lines))
    >>> watch.is_unframed
    True
    """

    __slots__ = ('is_unframed', 'pending')

    def __init__(self):
        self.is_unframed = False
        self.pending = b''

    def feed(self, received):
        """Note bytes of the answer."""
        if self.pending is None:
            return
        self.pending += received
        while self.pending is not None:
            head, blank, rest = self.pending.partition(_BLANK_LINE)
            if not blank:
                break
            self._note_head(head, rest)
        if self.pending is not None and len(self.pending) > _MAX_HEAD_BYTES:
            self.pending = None

    def _note_head(self, head, rest):
        if _INTERIM.match(head):
            self.pending = rest
            return
        self.pending = None
        self.is_unframed = _FRAMING.search(head) is None
