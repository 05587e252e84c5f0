"""Deleting segments that hold nothing any more."""

from twisted.internet.defer import Deferred

from pollenstile.claims import events
from pollenstile.claims._digests import (
    KIND,
    object_name,
    sequence_of,
    shard_prefix,
)
from pollenstile.claims._records import segment_from
from pollenstile.claims._state import FOLD_MARGIN
from pollenstile.platform import Unavailable, Written

# Segments deleted after each append, at most. Two for each one written keep
# up with any rate, and work off what was left.
_MOST = 2


class Folding:
    """When this host looks at the oldest segments of a shard again.

    Attributes
    ==========

    due : float
        Seconds since the epoch; nothing can be deleted before.
    busy : bool
        Whether it looks right now.
    """

    __slots__ = ('busy', 'due')

    def __init__(self):
        self.due = 0.0
        self.busy = False


def expiry(segment):
    """Return when the last of a segment's records expires.

    Examples
    ========

    >>> from pollenstile.claims._fold import expiry
    >>> from pollenstile.claims._records import Record, Segment
    >>> expiry(Segment('a', 5.0, []))
    5.0
    >>> expiry(Segment('a', 5.0, [Record('claim', 'k', 'i', 'c', 'h', 9.0)]))
    9.0
    """
    latest = segment.written
    for record in segment.records:
        latest = max(latest, record.expires)
    return latest


def folded(oldest, cursor, now):
    """Return numbers of segments to delete, and when to look again.

    Explanation
    ===========

    The newest segment always stays: it is what keeps numbers rising. Were the
    log empty, a host that starts would begin at 1 again, below the numbers
    that another host still counts from. A reader that pages through the log
    meanwhile misses only what has expired.

    Parameters
    ==========

    oldest : list of tuple
        Number and segment, in their order.
    cursor : int
        A number that surely stands.

    Examples
    ========

    >>> from pollenstile.claims._fold import folded
    >>> from pollenstile.claims._records import Segment
    >>> oldest = [(4, Segment('a', 0.0, [])), (5, Segment('b', 90.0, []))]
    >>> folded(oldest, 5, 130.0)
    ([4], 210.0)
    >>> folded(oldest, 4, 300.0)
    ([], 300.0)
    """
    numbers = []
    for sequence, segment in oldest:
        due = expiry(segment) + FOLD_MARGIN
        if due >= now:
            return numbers, due
        if sequence >= cursor:
            break
        numbers.append(sequence)
    return numbers, now


def fold(log):
    """Look whether the oldest segments can go, and delete them.

    Parameters
    ==========

    log : ShardLog
        The shard; its ``folding`` is used.
    """
    if log.folding.busy or log.clock.seconds() <= log.folding.due:
        return
    log.folding.busy = True
    Deferred.fromCoroutine(_fold(log)).addBoth(_rest, log)


def _rest(result, log):
    log.folding.busy = False
    return result


async def _fold(log):
    # What stands is listed, not remembered: of many hosts that append, those
    # that come later see what an earlier one has deleted.
    page = await log.store.listed(
        KIND,
        shard_prefix(log.shard),
        limit=_MOST + 1,
    )
    if isinstance(page, Unavailable):
        return
    oldest = []
    for found in page.objects:
        oldest.append((sequence_of(found.name), segment_from(found.value)))
    numbers, due = folded(oldest, log.reader.state.cursor, log.clock.seconds())
    for sequence in numbers[:_MOST]:
        name = object_name(log.shard, sequence)
        outcome = await log.store.delete(KIND, name)
        if not isinstance(outcome, Written):
            return
        log.count('claims.folded')
        log.log(events.FOLDED, shard=log.shard, sequence=sequence)
    log.folding.due = due
