"""State of the in-memory object store, without timing and faults."""

from bisect import bisect_right, insort
from collections import deque

import msgspec

from pollenstile.platform import (
    VALUE_LIMIT,
    Absent,
    Change,
    Changes,
    Compacted,
    Conflict,
    Found,
    Listing,
    Written,
)

_EVENTS_LIMIT = 500


class Objects:
    """Objects of all kinds, with a history of their changes.

    Explanation
    ===========

    The store has one revision, which each write increments. An object's
    version is the revision of its last write, so versions also increase
    across a deletion. Values are stored encoded, so that readers can't modify
    them.

    Parameters
    ==========

    history_limit : int
        Number of changes kept for watches. A watch from an older revision
        gets ``Compacted``.

    Attributes
    ==========

    era : int or None
        Number of returns from a copy, which answers state; None if they don't.
    """

    __slots__ = ('compacted', 'era', 'history', 'names', 'revision', 'rows')

    def __init__(self, history_limit=4096):
        self.rows = {}
        self.names = {}
        self.revision = 0
        self.compacted = 0
        self.era = None
        self.history = deque(maxlen=history_limit)

    def version_of(self, kind, name):
        """Return an object's version, or 0 if the object is absent."""
        row = self.rows.get((kind, name))
        return row[0] if row else 0

    def found(self, kind, name):
        """Return ``Found`` or ``Absent``."""
        row = self.rows.get((kind, name))
        if row is None:
            return Absent(kind, name)
        return Found(kind, name, row[0], msgspec.json.decode(row[1]))

    def value_of(self, kind, name):
        """Return an object's value, or None if the object is absent."""
        return getattr(self.found(kind, name), 'value', None)

    def put(self, kind, name, encoded, if_version):
        """Return ``Written`` or ``Conflict``."""
        version = self.version_of(kind, name)
        if if_version not in {None, version}:
            return Conflict(version)
        if not version:
            insort(self.names.setdefault(kind, []), name)
        self.revision += 1
        self.rows[kind, name] = (self.revision, encoded)
        self._record_change(kind, name, encoded)
        return Written(self.revision)

    def delete(self, kind, name, if_version):
        """Return ``Written`` or ``Conflict``."""
        version = self.version_of(kind, name)
        if if_version not in {None, version}:
            return Conflict(version)
        if not version:
            return Written(0)
        self.revision += 1
        self.names[kind].remove(name)
        self.rows.pop((kind, name))
        self._record_change(kind, name, None)
        return Written(self.revision)

    def listing(self, kind, prefix, after, limit):
        """Return one page of objects as ``Listing``."""
        names = self.names.get(kind, [])
        page = []
        size = 0
        for name in names[bisect_right(names, after) :]:
            if not name.startswith(prefix):
                continue
            row = self.rows[kind, name]
            size += len(row[1])
            if page and (len(page) >= limit or size > VALUE_LIMIT):
                return Listing(tuple(page), self.revision, more=True)
            page.append(self.found(kind, name))
        return Listing(tuple(page), self.revision)

    def changes(self, kind, since, prefix):
        """Return ``Changes`` after a revision, or ``Compacted``."""
        if since < self.compacted or since > self.revision:
            return Compacted(self.revision)
        events = []
        size = 0
        for revision, name, encoded in self._matching_changes(
            kind, since, prefix
        ):
            size += len(encoded or '')
            if events and (len(events) >= _EVENTS_LIMIT or size > VALUE_LIMIT):
                return Changes(events[-1].revision, tuple(events))
            decoded = None if encoded is None else msgspec.json.decode(encoded)
            events.append(Change(kind, name, revision, decoded, revision))
        return Changes(self.revision, tuple(events))

    def compact(self):
        """Discard the history of changes."""
        self.history.clear()
        self.compacted = self.revision

    def copy(self):
        """Return a copy of the state, to which the store may return."""
        copied = Objects(self.history.maxlen)
        copied.rows = dict(self.rows)
        copied.names = {kind: list(names) for kind, names in self.names.items()}
        copied.revision = self.revision
        copied.compacted = self.compacted
        copied.history.extend(self.history)
        copied.era = self.era
        return copied

    def _matching_changes(self, kind, since, prefix):
        for revision, changed_kind, name, encoded in self.history:
            if revision <= since or changed_kind != kind:
                continue
            if name.startswith(prefix):
                yield revision, name, encoded

    def _record_change(self, kind, name, encoded):
        if len(self.history) == self.history.maxlen:
            self.compacted = self.history[0][0]
        self.history.append((self.revision, kind, name, encoded))
