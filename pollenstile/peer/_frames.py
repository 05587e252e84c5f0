"""Frames: a length in four bytes, then that many bytes."""

import struct

_HEAD = struct.Struct('>I')

# Before a peer has proven that it knows the key it may send only this much.
OPENING_LIMIT = 1024
# A manifest has a megabyte at most; a frame has room for it and its envelope.
FRAME_LIMIT = 1200000


class OversizeError(Exception):
    """A frame states more than the limit; nothing of it is kept."""


def framed(body):
    """Return bytes with their length in front.

    Examples
    ========

    >>> from pollenstile.peer import framed
    >>> list(framed(b'ab'))
    [0, 0, 0, 2, 97, 98]
    """
    return _HEAD.pack(len(body)) + body


class Frames:
    """Bytes received that are not a whole frame yet.

    Parameters
    ==========

    limit : int
        Largest frame, in bytes; may be changed between frames.

    Examples
    ========

    >>> from pollenstile.peer import Frames, framed
    >>> frames = Frames(10)
    >>> frames.feed(framed(b'ab')[:5])
    >>> frames.next_frame()
    >>> frames.feed(b'b')
    >>> frames.next_frame()
    b'ab'
    """

    __slots__ = ('limit', 'received')

    def __init__(self, limit):
        self.limit = limit
        self.received = bytearray()

    def feed(self, received):
        """Keep bytes as they came."""
        self.received += received

    def next_frame(self):
        """Return the next whole frame, or None.

        Raises
        ======

        OversizeError
            When the frame at hand states more than the limit.
        """
        if len(self.received) < _HEAD.size:
            return None
        size = int.from_bytes(self.received[: _HEAD.size])
        if size > self.limit:
            raise OversizeError(f'{size} bytes')
        end = _HEAD.size + size
        if len(self.received) < end:
            return None
        frame = bytes(self.received[_HEAD.size : end])
        self.received = self.received[end:]
        return frame
