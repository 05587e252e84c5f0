"""Outcomes that the host which ran a request keeps for repeats."""

from dataclasses import dataclass

import msgspec

from pollenstile.claims._records import Record

_MOST_BYTES = 16_000_000
_OVERHEAD = 500


@dataclass(slots=True, frozen=True)
class KeptOutcome:
    """A claim and how its request ended."""

    record: Record
    outcome: object
    size: int


class Kept:
    """Outcomes by key digest, the oldest dropped first.

    Parameters
    ==========

    most_bytes : int
        Bound on all outcomes together, encoded.

    Examples
    ========

    >>> from pollenstile.claims._kept import Kept
    >>> from pollenstile.claims._records import Record
    >>> from pollenstile.outcomes import Answered
    >>> kept = Kept(most_bytes=1200)
    >>> for key in ('a', 'b', 'c'):
    ...     record = Record('claim', key, 'h1-1', 'x', 'h1', 60.0)
    ...     kept.keep(record, Answered('done'))
    >>> kept.found('a', 1.0), kept.found('c', 1.0).outcome.output
    (None, 'done')
    >>> kept.found('c', 61.0)
    """

    __slots__ = ('most_bytes', 'rows', 'size')

    def __init__(self, most_bytes=_MOST_BYTES):
        self.most_bytes = most_bytes
        self.rows = {}
        self.size = 0

    def keep(self, record, outcome):
        """Keep a request's final outcome until its claim expires."""
        self._drop(record.key)
        size = _OVERHEAD + len(msgspec.json.encode(outcome))
        self.rows[record.key] = KeptOutcome(record, outcome, size)
        self.size += size
        while self.size > self.most_bytes:
            self._drop(next(iter(self.rows)))

    def found(self, key, now):
        """Return what is kept for a key, or None."""
        row = self.rows.get(key)
        if row is not None and row.record.expires <= now:
            self._drop(key)
            return None
        return row

    def _drop(self, key):
        row = self.rows.pop(key, None)
        if row is not None:
            self.size -= row.size
