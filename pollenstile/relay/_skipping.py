"""Readers that failed, and until when they are passed over."""

from dataclasses import dataclass

# Seconds for which a reader that failed is passed over, at first; twice as long
# after each further failure in a row, up to a bound.
_FIRST_SECONDS = 3.0
_LONGEST_SECONDS = 12.0


@dataclass(slots=True, frozen=True)
class _Skip:
    """Until when a reader is passed over, after how many failures in a row."""

    until: float
    failures: int


class SkippedReaders:
    """Which readers are passed over.

    Parameters
    ==========

    clock : IReactorTime
        Times the skips.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> readers = SkippedReaders(clock)
    >>> readers.skip('a')
    >>> readers.is_skipped('a'), readers.count()
    (True, 1)
    >>> clock.advance(3)
    >>> readers.is_skipped('a'), readers.has_failed('a')
    (False, True)
    """

    __slots__ = ('clock', 'skips')

    def __init__(self, clock):
        self.clock = clock
        self.skips = {}

    def is_skipped(self, host):
        """Return whether a reader is passed over now."""
        skip = self.skips.get(host)
        return skip is not None and skip.until > self.clock.seconds()

    def has_failed(self, host):
        """Return whether a reader has failed and not been followed since."""
        return host in self.skips

    def count(self):
        """Return how many readers are passed over now."""
        return sum(map(self.is_skipped, self.skips))

    def skip(self, host):
        """Pass a reader over that has failed."""
        before = self.skips.get(host)
        failures = before.failures if before else 0
        seconds = min(_FIRST_SECONDS * 2**failures, _LONGEST_SECONDS)
        until = self.clock.seconds() + seconds
        self.skips[host] = _Skip(until, failures + 1)

    def forgive(self, host):
        """Forget that a reader has failed: its word was taken."""
        self.skips.pop(host, None)
