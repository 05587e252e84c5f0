"""Reading a claim shard's log."""

import msgspec

from pollenstile.claims import events
from pollenstile.claims._digests import (
    KIND,
    object_name,
    sequence_of,
    shard_prefix,
)
from pollenstile.claims._pending import Unreached
from pollenstile.claims._records import segment_from
from pollenstile.claims._state import (
    ShardState,
    apply_segment,
    forget,
    holder_of,
    is_trusted,
)
from pollenstile.platform import Unavailable

_RETRY_AFTER = 1.0
_BAD_SEGMENT_RETRY = 5.0


class ShardReader:
    """A shard's log as far as this host has read it.

    Parameters
    ==========

    store : Store
        The object API.
    clock : IReactorTime
        Gives seconds since the epoch.
    shard : int
        Its number.
    log : function
        Writes events.

    Attributes
    ==========

    fresh_at : float
        When the log was last known to end where ``state`` does.
    sole : bool
        Whether nobody else was seen to append lately; then the log need not
        be read before each append.
    others : bool
        Whether another's segment was read since this host's last append.
    awaited, standing : int, str
        The number that is being tried, and whose batch stands there.
    """

    __slots__ = (
        'awaited',
        'clock',
        'fresh_at',
        'log',
        'others',
        'shard',
        'sole',
        'standing',
        'state',
        'store',
    )

    def __init__(self, store, clock, shard, log):
        self.store = store
        self.clock = clock
        self.shard = shard
        self.log = log
        self.forget_all()

    def forget_all(self):
        """Begin at the start of the log."""
        self.state = ShardState()
        self.fresh_at = 0.0
        self.sole = False
        self.others = False
        self.awaited = 0
        self.standing = None

    def may_append(self, keys):
        """Return whether the log's end is known well enough to try."""
        now = self.clock.seconds()
        if not self.sole or not is_trusted(self.fresh_at, now):
            return False
        # A key that was held may have been released meanwhile by another.
        return all(holder_of(self.state, key, now) is None for key in keys)

    async def read_end(self):
        """Read the log on to its end; return ``Unreached`` or None."""
        while True:
            asked = self.clock.seconds()
            page = await self.store.listed(
                KIND,
                shard_prefix(self.shard),
                object_name(self.shard, self.state.cursor),
            )
            if isinstance(page, Unavailable):
                return unreached(page)
            for found in page.objects:
                failure = self._taken(found)
                if failure is not None:
                    return failure
            if not page.more:
                self.fresh_at = asked
                return None

    def wrote(self, sequence, segment, sent):
        """Note that this host has appended a segment, sent at a time."""
        self._take(sequence, segment)
        self.fresh_at = sent
        self.sole = not self.others
        self.others = False

    def _taken(self, found):
        try:
            segment = segment_from(found.value)
        except msgspec.ValidationError as error:
            # Claims that can't be read can't be honoured: none is made here.
            self.log(
                events.BAD_SEGMENT,
                level='error',
                name=found.name,
                error=str(error),
            )
            return Unreached('bad segment', _BAD_SEGMENT_RETRY)
        self.sole = False
        self.others = True
        self._take(sequence_of(found.name), segment)
        return None

    def _take(self, sequence, segment):
        apply_segment(self.state, sequence, segment)
        forget(self.state, self.clock.seconds())
        if sequence == self.awaited:
            self.standing = segment.batch


def unreached(outcome):
    """Return what a failure of the store means for a claim."""
    return Unreached(
        outcome.reason,
        max(_RETRY_AFTER, outcome.retry_after or 0),
    )
