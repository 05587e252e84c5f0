"""Truncates shard logs: deletes segments whose records have all expired."""

from twisted.internet.defer import Deferred

from pollenstile.claims import events
from pollenstile.claims._digests import (
    KIND,
    object_name,
    parse_sequence,
    shard_prefix,
)
from pollenstile.claims._records import decode_segment
from pollenstile.claims._state import RETENTION_MARGIN_SECONDS
from pollenstile.platform import Unavailable, Written

# Maximum number of segments deleted after each append. Two deletions for each
# segment written keep up with any write rate and also reduce a backlog.
_MAX_DELETIONS = 2


class TruncationState:
    """Schedule of the next truncation of a shard by this host.

    Attributes
    ==========

    due_at : float
        Seconds since the epoch; no segment can be deleted before.
    is_running : bool
        Whether a truncation is in progress.
    """

    __slots__ = ('due_at', 'is_running')

    def __init__(self):
        self.due_at = 0.0
        self.is_running = False


def latest_expiry(segment):
    """Return the time at which the last of a segment's records expires.

    Examples
    ========

    >>> from pollenstile.claims._truncate import latest_expiry
    >>> from pollenstile.claims._records import Record, Segment
    >>> latest_expiry(Segment('a', 5.0, []))
    5.0
    >>> claim = Record('claim', 'k', 'i', 'c', 'h', 9.0)
    >>> latest_expiry(Segment('a', 5.0, [claim]))
    9.0
    """
    latest = segment.written
    for record in segment.records:
        latest = max(latest, record.expires)
    return latest


def select_expired(oldest_segments, cursor, now):
    """Return numbers of segments to delete and the time of the next check.

    Explanation
    ===========

    The newest segment is never deleted, so that sequence numbers keep
    increasing. If the log were empty, a host that starts would begin at
    number 1 again, below the numbers at which other hosts continue. A reader
    that pages through the log during a truncation misses only expired records.

    Parameters
    ==========

    oldest_segments : list of tuple
        Sequence number and segment, in ascending order.
    cursor : int
        Sequence number of a segment that must not be deleted.

    Examples
    ========

    >>> from pollenstile.claims._truncate import select_expired
    >>> from pollenstile.claims._records import Segment
    >>> oldest = [(4, Segment('a', 0.0, [])), (5, Segment('b', 90.0, []))]
    >>> select_expired(oldest, 5, 130.0)
    ([4], 210.0)
    >>> select_expired(oldest, 4, 300.0)
    ([], 300.0)
    """
    numbers = []
    for sequence, segment in oldest_segments:
        due_at = latest_expiry(segment) + RETENTION_MARGIN_SECONDS
        if due_at >= now:
            return numbers, due_at
        if sequence >= cursor:
            break
        numbers.append(sequence)
    return numbers, now


def truncate_log(log):
    """Start to delete expired segments, unless a truncation runs or is not due.

    Parameters
    ==========

    log : ShardLog
        Log of the shard; its ``truncation`` is read and updated.
    """
    if (
        log.truncation.is_running
        or log.clock.seconds() <= log.truncation.due_at
    ):
        return
    log.truncation.is_running = True
    Deferred.fromCoroutine(_delete_expired(log)).addBoth(_finish, log)


def _finish(result, log):
    log.truncation.is_running = False
    return result


async def _delete_expired(log):
    # The oldest segments are listed rather than remembered, because any other
    # host that appends may have deleted some of them.
    page = await log.store.listed(
        KIND,
        shard_prefix(log.shard),
        limit=_MAX_DELETIONS + 1,
    )
    if isinstance(page, Unavailable):
        return
    oldest_segments = []
    for stored in page.objects:
        oldest_segments.append(
            (parse_sequence(stored.name), decode_segment(stored.value))
        )
    numbers, due_at = select_expired(
        oldest_segments, log.reader.state.cursor, log.clock.seconds()
    )
    for sequence in numbers[:_MAX_DELETIONS]:
        name = object_name(log.shard, sequence)
        outcome = await log.store.delete(KIND, name)
        if not isinstance(outcome, Written):
            return
        log.count('claims.folded')
        log.log(events.FOLDED, shard=log.shard, sequence=sequence)
    log.truncation.due_at = due_at
