"""State of a claim shard: the holder of each key, derived from the log.

Explanation
===========

Only the log decides which request holds a key. Segments are applied in the
order of their sequence numbers, records in the order within their segment. The
first claim of a key holds it until it is released or expires. Only times
stored in the log are used, so that every reader derives the same state,
whenever it reads.
"""

import msgspec

# A segment is deleted this long after its last record has expired.
RETENTION_MARGIN_SECONDS = 120.0
# Clocks of hosts may differ by this much; see :func:`is_end_current`.
_END_VALID_SECONDS = 30.0


class ShardState:
    """State of a shard after the part of its log that was read.

    Parameters
    ==========

    cursor : int
        Sequence number of the last segment that was read; 0 if none was.
    holders : dict
        Record that holds a key, by key digest.
    may_lack_segments : bool
        Whether the store has come back from an older copy, so that a late
        create can stand behind numbers that were never written again.
    """

    __slots__ = ('cursor', 'holders', 'may_lack_segments')

    def __init__(self):
        self.cursor = 0
        self.holders = {}
        self.may_lack_segments = False


def apply_segment(state, sequence, segment):
    """Apply the next segment of the log to a state.

    Examples
    ========

    >>> from pollenstile.claims._records import Record, Segment
    >>> from pollenstile.claims._state import (
    ...     ShardState, apply_segment, find_holder)
    >>> first = Record('claim', 'k', 'h1-1', 'c', 'h1', 60.0)
    >>> second = Record('claim', 'k', 'h2-1', 'c', 'h2', 60.0)
    >>> state = ShardState()
    >>> apply_segment(state, 1, Segment('a', 0.0, [first]))
    >>> apply_segment(state, 2, Segment('b', 0.1, [second]))
    >>> find_holder(state, 'k', 1.0).ident
    'h1-1'
    >>> find_holder(state, 'k', 61.0)
    """
    is_gap = 0 < state.cursor < sequence - 1
    if is_gap and not state.may_lack_segments:
        # The missing segments were truncated, so that all records before them
        # have expired. A create whose writer gave up can still be stored under
        # the name of a deleted segment; without this, a host that starts would
        # treat the claims in it as valid.
        state.holders.clear()
    for record in segment.records:
        if record.step == 'release':
            _release(state, record)
            continue
        _claim(state, record, segment.written)
    state.cursor = sequence


def find_holder(state, key, now):
    """Return the record that holds a key, or None if the key is free."""
    holder = state.holders.get(key)
    if holder is None or holder.expires <= now:
        return None
    return holder


def drop_expired(state, now):
    """Drop the oldest holders whose expiry plus the margin has passed.

    Explanation
    ===========

    Holders are stored in the order of their claims. The scan stops at the
    first one that has not expired, so that an append doesn't visit all of
    them.
    """
    while state.holders:
        key = next(iter(state.holders))
        if state.holders[key].expires + RETENTION_MARGIN_SECONDS > now:
            return
        state.holders.pop(key)


def is_end_current(end_known_at, now):
    """Return whether an append may still rely on the log's end as known.

    Explanation
    ===========

    A host may be paused between reading the log's end and appending. If the
    pause exceeds a claim's lifetime, the host would create a segment under the
    name of one that was written and deleted meanwhile. The store would accept
    it, the host would assume that it has read all claims before its own, and a
    key would run twice. A segment after the end is deleted at the earliest
    ``RETENTION_MARGIN_SECONDS`` after its claims have expired, so that none
    can have been deleted within a shorter time.

    Examples
    ========

    >>> from pollenstile.claims._state import is_end_current
    >>> is_end_current(100.0, 110.0), is_end_current(100.0, 200.0)
    (True, False)
    >>> is_end_current(100.0, 90.0)
    False
    """
    return end_known_at <= now < end_known_at + _END_VALID_SECONDS


def _claim(state, record, written):
    holder = find_holder(state, record.key, written)
    if holder is None:
        state.holders.pop(record.key, None)
        state.holders[record.key] = record
        return
    # The key is held until the latest expiry of all its claims. If the first
    # claim was stored by a late create, the second one may have run.
    if record.expires > holder.expires:
        state.holders[record.key] = msgspec.structs.replace(
            holder,
            expires=record.expires,
        )


def _release(state, record):
    holder = state.holders.get(record.key)
    if holder is not None and holder.ident == record.ident:
        state.holders.pop(record.key)
