"""Frames in which a peer passes on what an upstream sends.

Explanation
===========

An answer may end with its connection. If the bytes were passed on as they are,
the end of the peer's process would look like the end of the answer. Each part
is therefore preceded by its length, and two values that are no lengths stand
for the upstream's own close. Hosts that don't know the second one wait for its
bytes, and take the answer for one that broke off.
"""

import enum

_LENGTH_BYTES = 4
_END = bytes(_LENGTH_BYTES)
_EARLY_END = b'\xff' * _LENGTH_BYTES


class TunnelEnd(enum.Enum):
    """How an upstream has ended its connection to a peer."""

    # It has not, or it was reset.
    NONE = 'none'
    CLOSED = 'closed'
    # It closed before it had received the request.
    CLOSED_EARLY = 'closed early'


_ENDS = {_END: TunnelEnd.CLOSED, _EARLY_END: TunnelEnd.CLOSED_EARLY}


def encode_data(received):
    """Return the frame of bytes that were received from the upstream."""
    return len(received).to_bytes(_LENGTH_BYTES) + received


def encode_end(*, is_early=False):
    """Return the frame of the upstream's close.

    Parameters
    ==========

    is_early : bool
        Whether it closed before it had received the request.
    """
    return _EARLY_END if is_early else _END


class EndedFrames:
    """Decodes frames.

    Attributes
    ==========

    end : TunnelEnd
        Frame of the upstream's close that was received.

    Examples
    ========

    >>> from pollenstile.tunnel import EndedFrames, encode_data, encode_end
    >>> frames = EndedFrames()
    >>> frames.feed(encode_data(b'ab') + encode_end()), frames.ended
    (b'ab', True)
    """

    __slots__ = ('end', 'missing', 'pending')

    def __init__(self):
        self.end = TunnelEnd.NONE
        self.pending = b''
        self.missing = 0

    @property
    def ended(self):
        """Whether the frame of the upstream's close was received."""
        return self.end is not TunnelEnd.NONE

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
        length = bytes(self.pending[:_LENGTH_BYTES])
        self.pending = self.pending[_LENGTH_BYTES:]
        self.end = _ENDS.get(length, TunnelEnd.NONE)
        if not self.ended:
            self.missing = int.from_bytes(length)
        return not self.ended
