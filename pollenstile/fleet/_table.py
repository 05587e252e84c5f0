"""All records of a host, and sums that tell two tables apart cheaply."""

import hashlib
from collections import deque
from dataclasses import replace

from pollenstile.fleet._record import HOST, Record, merged

BUCKETS = 64
_WORD = 8
_MASK = 2**64 - 1
_MOST_LEFT = 4


def record_hash(record):
    """Return 64 bits that differ when records differ."""
    text = repr(record).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_WORD).digest())


def bucket_of(kind, name):
    """Return the number of a record's bucket."""
    key = hashlib.blake2b(f'{kind}/{name}'.encode(), digest_size=_WORD)
    return int.from_bytes(key.digest()) % BUCKETS


class Table:
    """Records by kind and name.

    Parameters
    ==========

    listeners : list of function
        Each takes the old record or None, the new one, and where it came
        from: a link, or None for the host itself.

    Attributes
    ==========

    sums : list of int
        Sum of the record hashes of each bucket.
    left : dict
        Last incarnations that were leaving, by kind and name.
    """

    __slots__ = ('left', 'listeners', 'records', 'sums')

    def __init__(self):
        self.records = {}
        self.sums = [0 for _ in range(BUCKETS)]
        self.listeners = []
        self.left = {}

    def record(self, kind, name):
        """Return a record, an empty one when nothing is known."""
        return self.records.get((kind, name)) or Record(kind, name)

    def of_kind(self, kind):
        """Return all records of a kind."""
        return [one for one in self.records.values() if one.kind == kind]

    def total(self):
        """Return one sum over all records."""
        return sum(self.sums) & _MASK

    def offer(self, record, source=None):
        """Merge a record into the table; return whether that changed it."""
        key = (record.kind, record.name)
        self._note_left(key, record)
        before = self.records.get(key)
        after = record if before is None else merged(before, record)
        # An incarnation that was leaving once is leaving for good, also when
        # its order has been given anew because an address was used again.
        if not after.leaving and after.incarnation in self.left.get(key, ()):
            after = replace(after, leaving=True)
        if after == before:
            return False
        self._keep(key, before, after)
        for listener in self.listeners:
            listener(before, after, source)
        return True

    def remove(self, kind, name):
        """Forget a record, without telling anyone."""
        record = self.records.pop((kind, name), None)
        if record is not None:
            self._add(record, -1)
        self.left.pop((kind, name), None)

    def in_buckets(self, numbers):
        """Return the records of some buckets."""
        wanted = set(numbers)
        found = []
        for one in self.records.values():
            if bucket_of(one.kind, one.name) in wanted:
                found.append(one)
        return found

    def differing(self, sums):
        """Return the numbers of the buckets whose sums differ."""
        pairs = enumerate(zip(self.sums, sums, strict=True))
        return [number for number, (own, its) in pairs if own != its]

    def _keep(self, key, before, after):
        if before is not None:
            self._add(before, -1)
        self._add(after, 1)
        self.records[key] = after

    def _note_left(self, key, record):
        # Also of a record that a newer one outranks: the order in which the
        # two come must make no difference.
        if not record.leaving or record.kind == HOST:
            return
        left = self.left.setdefault(key, deque(maxlen=_MOST_LEFT))
        if record.incarnation not in left:
            left.append(record.incarnation)

    def _add(self, record, sign):
        number = bucket_of(record.kind, record.name)
        changed = self.sums[number] + sign * record_hash(record)
        self.sums[number] = changed & _MASK
