"""Trace of a run: a digest of all events and the last lines."""

from collections import deque
from hashlib import blake2b

_TAIL_LINES = 60
_DIGEST_BYTES = 8


class Trace:
    """Digest of all lines of a run; only the last lines are kept.

    Parameters
    ==========

    clock : IReactorTime
        Clock for the time stamp of each line.

    Attributes
    ==========

    marked_tail : tuple of str
        Copy of the tail at the first call of :meth:`mark`.
    tail : collections.deque
        The last lines.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.soak._trace import Trace
    >>> one, other = Trace(Clock()), Trace(Clock())
    >>> one.note('call', peer='a'), other.note('call', peer='b')
    (None, None)
    >>> one.digest() == other.digest()
    False
    >>> list(one.tail)
    ['0.000000 call peer=a']
    """

    __slots__ = ('clock', 'hasher', 'lines', 'marked_tail', 'tail')

    def __init__(self, clock):
        self.clock = clock
        self.hasher = blake2b(digest_size=_DIGEST_BYTES)
        self.lines = 0
        self.tail = deque(maxlen=_TAIL_LINES)
        self.marked_tail = ()

    def note(self, kind, /, **fields):
        """Add a line."""
        parts = [f'{self.clock.seconds():.6f}', kind]
        for name, value in fields.items():
            parts.append(f'{name}={value}')
        line = ' '.join(parts)
        self.hasher.update(line.encode())
        self.lines += 1
        self.tail.append(line)

    def mark(self):
        """Keep a copy of the tail, unless one is kept already."""
        self.marked_tail = self.marked_tail or tuple(self.tail)

    def digest(self):
        """Return the digest of all lines so far."""
        return self.hasher.hexdigest()
