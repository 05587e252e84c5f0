"""Temporary exclusion of readers that failed."""

from dataclasses import dataclass

# A reader is skipped for 3 s after its first failure; each further failure in a
# row doubles the time, up to 12 s.
_FIRST_SKIP_SECONDS = 3.0
_MAX_SKIP_SECONDS = 12.0


@dataclass(slots=True, frozen=True)
class _Skip:
    """End of a reader's exclusion, and its number of failures in a row."""

    until: float
    failures: int


class SkippedReaders:
    """Exclusion times and failure counts of readers.

    Parameters
    ==========

    clock : IReactorTime
        Source of the current time.

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
        """Return whether a reader is skipped now."""
        skip = self.skips.get(host)
        return skip is not None and skip.until > self.clock.seconds()

    def has_failed(self, host):
        """Return whether a reader has failed since it was last followed."""
        return host in self.skips

    def count(self):
        """Return how many readers are skipped now."""
        return sum(map(self.is_skipped, self.skips))

    def skip(self, host):
        """Skip a reader that has failed, with exponential backoff."""
        previous = self.skips.get(host)
        failures = previous.failures if previous else 0
        seconds = min(_FIRST_SKIP_SECONDS * 2**failures, _MAX_SKIP_SECONDS)
        until = self.clock.seconds() + seconds
        self.skips[host] = _Skip(until, failures + 1)

    def clear_all(self):
        """Clear the failures of all readers."""
        self.skips.clear()

    def clear(self, host):
        """Clear the failures of a reader whose update was applied."""
        self.skips.pop(host, None)
