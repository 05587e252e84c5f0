"""Frames in which a peer passes on what an upstream sends.

Explanation
===========

An answer may end with its connection. If the bytes were passed on as they are,
the end of the peer's process would look like the end of the answer. Each part
is therefore preceded by its length, and a length of 0 is the upstream's own
close.
"""

_LENGTH_BYTES = 4
_END = bytes(_LENGTH_BYTES)


def encode_data(received):
    """Return the frame of bytes that were received from the upstream."""
    return len(received).to_bytes(_LENGTH_BYTES) + received


def encode_end():
    """Return the frame of the upstream's close."""
    return _END


class EndedFrames:
    """Decodes frames.

    Attributes
    ==========

    ended : bool
        Whether the frame of the upstream's close was received.

    Examples
    ========

    >>> from pollenstile.tunnel import EndedFrames, encode_data, encode_end
    >>> frames = EndedFrames()
    >>> frames.feed(encode_data(b'ab') + encode_end()), frames.ended
    (b'ab', True)
    """

    __slots__ = ('ended', 'missing', 'pending')

    def __init__(self):
        self.ended = False
        self.pending = b''
        self.missing = 0

    def feed(self, received):
        """Return the upstream's bytes in received frames."""
        if self.ended:
            return b''
        parts = []
        self.pending += received
        while self.pending and not self.ended:
            if not self.missing and not self._read_length():
                break
            part = self.pending[: self.missing]
            self.pending = self.pending[len(part) :]
            self.missing -= len(part)
            parts.append(part)
        if self.ended:
            self.pending = b''
        return b''.join(parts)

    def _read_length(self):
        """Read the length of the next frame; return whether data follow."""
        if len(self.pending) < _LENGTH_BYTES:
            return False
        self.missing = int.from_bytes(self.pending[:_LENGTH_BYTES])
        self.pending = self.pending[_LENGTH_BYTES:]
        self.ended = not self.missing
        return not self.ended
