"""The trace of a run: everything that happened, as a digest and a tail."""

from collections import deque
from hashlib import blake2b

_TAIL = 60
_DIGEST_BYTES = 8


class Trace:
    """Lines of a run, of which the last are kept.

    Parameters
    ==========

    clock : IReactorTime
        Stamps each line, in seconds.

    Attributes
    ==========

    marked : tuple of str
        The tail when it was marked.

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

    __slots__ = ('clock', 'hashed', 'lines', 'marked', 'tail')

    def __init__(self, clock):
        self.clock = clock
        self.hashed = blake2b(digest_size=_DIGEST_BYTES)
        self.lines = 0
        self.tail = deque(maxlen=_TAIL)
        self.marked = ()

    def note(self, kind, /, **fields):
        """Add a line."""
        parts = [f'{self.clock.seconds():.6f}', kind]
        for name, value in fields.items():
            parts.append(f'{name}={value}')
        line = ' '.join(parts)
        self.hashed.update(line.encode())
        self.lines += 1
        self.tail.append(line)

    def mark(self):
        """Keep the tail as it is now, unless one is kept already."""
        self.marked = self.marked or tuple(self.tail)

    def digest(self):
        """Return the digest of all lines so far."""
        return self.hashed.hexdigest()
