"""Table of membership records with sums for a cheap comparison."""

import hashlib
from collections import deque
from dataclasses import replace

from pollenstile.fleet._record import HOST, Record, merged

BUCKETS = 64
_HASH_BYTES = 8
_MASK = 2**64 - 1
# Incarnations that are remembered as leaving, per upstream.
_MAX_LEFT_INCARNATIONS = 4


def record_hash(record):
    """Return 64 bits that differ when records differ."""
    text = repr(record).encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    )


def bucket_of(kind, name):
    """Return the number of a record's bucket."""
    key = hashlib.blake2b(f'{kind}/{name}'.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(key.digest()) % BUCKETS


class Table:
    """Membership records by kind and name.

    Attributes
    ==========

    records : dict
        Records by kind and name.
    listeners : list of function
        Each takes the old record or None, the new record, and its source: a
        link, or None for this host itself.
    sums : list of int
        Sum of the record hashes of each bucket.
    left_incarnations : dict
        Last incarnations that were leaving, by kind and name.
    """

    __slots__ = ('left_incarnations', 'listeners', 'records', 'sums')

    def __init__(self):
        self.records = {}
        self.sums = [0 for _ in range(BUCKETS)]
        self.listeners = []
        self.left_incarnations = {}

    def record(self, kind, name):
        """Return a record; an empty one when there is none."""
        return self.records.get((kind, name)) or Record(kind, name)

    def of_kind(self, kind):
        """Return all records of a kind."""
        return [
            record for record in self.records.values() if record.kind == kind
        ]

    def total(self):
        """Return the sum of the hashes of all records."""
        return sum(self.sums) & _MASK

    def offer(self, record, source=None):
        """Merge a record into the table; return whether that changed it."""
        key = (record.kind, record.name)
        self._record_left(key, record)
        before = self.records.get(key)
        after = record if before is None else merged(before, record)
        # An incarnation that was once leaving stays leaving, also when its
        # order was assigned again because an address was reused.
        if (
            not after.leaving
            and after.incarnation in self.left_incarnations.get(key, ())
        ):
            after = replace(after, leaving=True)
        if after == before:
            return False
        self._store(key, before, after)
        for listener in self.listeners:
            listener(before, after, source)
        return True

    def remove(self, kind, name):
        """Remove a record without calling the listeners."""
        record = self.records.pop((kind, name), None)
        if record is not None:
            self._add_to_sum(record, -1)
        self.left_incarnations.pop((kind, name), None)

    def in_buckets(self, numbers):
        """Return the records of some buckets."""
        wanted = set(numbers)
        records = []
        for record in self.records.values():
            if bucket_of(record.kind, record.name) in wanted:
                records.append(record)
        return records

    def differing_buckets(self, sums):
        """Return the numbers of the buckets whose sums differ."""
        pairs = enumerate(zip(self.sums, sums, strict=True))
        return [number for number, (own, other) in pairs if own != other]

    def _store(self, key, before, after):
        if before is not None:
            self._add_to_sum(before, -1)
        self._add_to_sum(after, 1)
        self.records[key] = after

    def _record_left(self, key, record):
        # Includes records that are older than the one in the table: the order
        # in which the two arrive must make no difference.
        if not record.leaving or record.kind == HOST:
            return
        incarnations = self.left_incarnations.setdefault(
            key, deque(maxlen=_MAX_LEFT_INCARNATIONS)
        )
        if record.incarnation not in incarnations:
            incarnations.append(record.incarnation)

    def _add_to_sum(self, record, sign):
        number = bucket_of(record.kind, record.name)
        changed = self.sums[number] + sign * record_hash(record)
        self.sums[number] = changed & _MASK
