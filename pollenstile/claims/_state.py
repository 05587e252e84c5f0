"""Who holds which key, worked out from a shard's log.

Explanation
===========

The log alone decides. Its segments are taken in the order of their numbers,
records in the order within their segment; the first claim of a key holds it
until it is released or expires. Times are those that the records carry, so
that every reader comes to the same result, whenever it reads.
"""

import msgspec

# A segment is deleted this long after all that it says has expired, seconds.
FOLD_MARGIN = 120.0
# Clocks of hosts may differ by this much, seconds; see :func:`is_trusted`.
_TRUST = 30.0


class ShardState:
    """A shard's log as far as it was read.

    Parameters
    ==========

    cursor : int
        Number of the last segment that was read; 0 for none.
    holders : dict
        Key digest to the record that holds the key.
    """

    __slots__ = ('cursor', 'holders')

    def __init__(self):
        self.cursor = 0
        self.holders = {}


def apply_segment(state, sequence, segment):
    """Take the next segment of the log into a state.

    Examples
    ========

    >>> from pollenstile.claims._records import Record, Segment
    >>> from pollenstile.claims._state import (
    ...     ShardState, apply_segment, holder_of)
    >>> first = Record('claim', 'k', 'h1-1', 'c', 'h1', 60.0)
    >>> second = Record('claim', 'k', 'h2-1', 'c', 'h2', 60.0)
    >>> state = ShardState()
    >>> apply_segment(state, 1, Segment('a', 0.0, [first]))
    >>> apply_segment(state, 2, Segment('b', 0.1, [second]))
    >>> holder_of(state, 'k', 1.0).ident
    'h1-1'
    >>> holder_of(state, 'k', 61.0)
    """
    if sequence > state.cursor + 1:
        # What is missing was folded, and all before it has expired. A create
        # that was given up can still land under a folded name; a host that
        # starts would take its claims for good ones.
        state.holders.clear()
    for record in segment.records:
        if record.step == 'release':
            _release(state, record)
            continue
        _claim(state, record, segment.written)
    state.cursor = sequence


def holder_of(state, key, now):
    """Return the record that holds a key, None when none does."""
    holder = state.holders.get(key)
    if holder is None or holder.expires <= now:
        return None
    return holder


def forget(state, now):
    """Drop the oldest holders that have expired by now, margin included.

    Explanation
    ===========

    Holders are kept in the order of their claims. One that has not expired
    keeps those after it, so that no append looks at all of them.
    """
    while state.holders:
        key = next(iter(state.holders))
        if state.holders[key].expires + FOLD_MARGIN > now:
            return
        state.holders.pop(key)


def is_trusted(since, now):
    """Return whether what was the log's end then may be appended to now.

    Explanation
    ===========

    A host that is paused for longer than a claim lives, between reading the
    log's end and appending, would create a segment under the name of one that
    was written and deleted meanwhile. The store would take it, and the host
    would believe that it has read all claims before its own: a second run of
    a key. A name after the end can be deleted ``FOLD_MARGIN`` after its claims
    expired at the soonest, so within a shorter time it can not have been.

    Examples
    ========

    >>> from pollenstile.claims._state import is_trusted
    >>> is_trusted(100.0, 110.0), is_trusted(100.0, 200.0)
    (True, False)
    >>> is_trusted(100.0, 90.0)
    False
    """
    return since <= now < since + _TRUST


def _claim(state, record, written):
    holder = holder_of(state, record.key, written)
    if holder is None:
        state.holders.pop(record.key, None)
        state.holders[record.key] = record
        return
    # The key stays taken for as long as any claim of it says. Were the first
    # one from a late create, the second may have run.
    if record.expires > holder.expires:
        state.holders[record.key] = msgspec.structs.replace(
            holder,
            expires=record.expires,
        )


def _release(state, record):
    holder = state.holders.get(record.key)
    if holder is not None and holder.ident == record.ident:
        state.holders.pop(record.key)
