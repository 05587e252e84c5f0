"""Caches outcomes of requests that this host ran, to answer repeats."""

from dataclasses import dataclass

import msgspec

from pollenstile.claims._records import Record

_MAX_BYTES = 16_000_000
_ENTRY_OVERHEAD_BYTES = 500


@dataclass(slots=True, frozen=True)
class CachedOutcome:
    """A claim and the outcome of its request."""

    record: Record
    outcome: object
    size: int


class OutcomeCache:
    """Outcomes by key digest; evicts the oldest when full.

    Parameters
    ==========

    max_bytes : int
        Limit on the total encoded size of all outcomes.

    Examples
    ========

    >>> from pollenstile.claims._outcomecache import OutcomeCache
    >>> from pollenstile.claims._records import Record
    >>> from pollenstile.outcomes import Answered
    >>> cache = OutcomeCache(max_bytes=1200)
    >>> for key in ('a', 'b', 'c'):
    ...     record = Record('claim', key, 'h1-1', 'x', 'h1', 60.0)
    ...     cache.add(record, Answered('done'))
    >>> cache.get('a', 1.0), cache.get('c', 1.0).outcome.output
    (None, 'done')
    >>> cache.get('c', 61.0)
    """

    __slots__ = ('entries', 'max_bytes', 'size')

    def __init__(self, max_bytes=_MAX_BYTES):
        self.max_bytes = max_bytes
        self.entries = {}
        self.size = 0

    def add(self, record, outcome):
        """Store a request's final outcome until its claim expires."""
        self._drop(record.key)
        size = _ENTRY_OVERHEAD_BYTES + len(msgspec.json.encode(outcome))
        self.entries[record.key] = CachedOutcome(record, outcome, size)
        self.size += size
        while self.size > self.max_bytes:
            self._drop(next(iter(self.entries)))

    def get(self, key, now):
        """Return the unexpired entry of a key, or None."""
        entry = self.entries.get(key)
        if entry is not None and entry.record.expires <= now:
            self._drop(key)
            return None
        return entry

    def _drop(self, key):
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.size -= entry.size
