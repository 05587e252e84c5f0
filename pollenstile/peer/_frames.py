"""Framing of messages: a length of four bytes, then the content."""

import struct

_LENGTH = struct.Struct('>I')

# Largest frame in bytes before a peer has proven that it knows the key.
HANDSHAKE_FRAME_LIMIT = 1024
# Largest frame in bytes: a manifest of up to a megabyte and its envelope.
FRAME_LIMIT = 1200000


class OversizeError(Exception):
    """A frame announces a length above the limit."""


def encode_frame(body):
    """Return a frame: the bytes prefixed with their length.

    Examples
    ========

    >>> from pollenstile.peer import encode_frame
    >>> list(encode_frame(b'ab'))
    [0, 0, 0, 2, 97, 98]
    """
    return _LENGTH.pack(len(body)) + body


class FrameBuffer:
    """Buffer of received bytes that yields complete frames.

    Parameters
    ==========

    limit : int
        Largest accepted frame in bytes; may be changed between frames.

    Examples
    ========

    >>> from pollenstile.peer import FrameBuffer, encode_frame
    >>> frames = FrameBuffer(10)
    >>> frames.feed(encode_frame(b'ab')[:5])
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
        """Append received bytes."""
        self.received += received

    def next_frame(self):
        """Return the next complete frame, or None.

        Raises
        ======

        OversizeError
            When the next frame announces a length above the limit.
        """
        if len(self.received) < _LENGTH.size:
            return None
        size = int.from_bytes(self.received[: _LENGTH.size])
        if size > self.limit:
            raise OversizeError(f'{size} bytes')
        end = _LENGTH.size + size
        if len(self.received) < end:
            return None
        frame = bytes(self.received[_LENGTH.size : end])
        self.received = self.received[end:]
        return frame
