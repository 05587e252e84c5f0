"""Reads the log of a claim shard."""

import msgspec

from pollenstile.claims import events
from pollenstile.claims._digests import (
    KIND,
    object_name,
    parse_sequence,
    shard_prefix,
)
from pollenstile.claims._pending import NotClaimed
from pollenstile.claims._records import decode_segment
from pollenstile.claims._state import (
    ShardState,
    apply_segment,
    drop_expired,
    find_holder,
    is_end_current,
)
from pollenstile.platform import Unavailable, era_of

_MIN_RETRY_SECONDS = 1.0
_BAD_SEGMENT_RETRY_SECONDS = 5.0


class ShardReader:
    """Reader of a shard's log, with the state of the part read so far.

    Parameters
    ==========

    store : Store
        The object API.
    clock : IReactorTime
        Clock that returns seconds since the epoch.
    shard : int
        Number of the shard.
    log : function
        Writes events.

    Attributes
    ==========

    end_known_at : float
        Last time at which the log was known to end where ``state`` ends.
    is_sole_writer : bool
        Whether no other host was seen to append recently. If so, the log
        need not be read before each append.
    saw_other_writer : bool
        Whether another host's segment was read since this host's last append.
    awaited_sequence, stored_batch : int, str
        Sequence number of the append in progress, and the identifier of the
        batch found under it, or None.
    era : int
        Era of the store whose log the state has read.
    read_idents : set of str or None
        Claims that the log of this era has, until the lost ones are restored.
    """

    __slots__ = (
        'awaited_sequence',
        'clock',
        'end_known_at',
        'era',
        'is_sole_writer',
        'log',
        'read_idents',
        'saw_other_writer',
        'shard',
        'state',
        'store',
        'stored_batch',
    )

    def __init__(self, store, clock, shard, log):
        self.store = store
        self.clock = clock
        self.shard = shard
        self.log = log
        self.era = 0
        self.read_idents = None
        self.reset()

    def reset(self):
        """Discard the state; the next read starts at the start of the log."""
        self.state = ShardState()
        self.state.may_lack_segments = self.era > 0
        self.end_known_at = 0.0
        self.is_sole_writer = False
        self.saw_other_writer = False
        self.awaited_sequence = 0
        self.stored_batch = None

    def may_append(self, keys):
        """Return whether keys may be appended without reading the log first."""
        now = self.clock.seconds()
        if not self.is_sole_writer or not is_end_current(
            self.end_known_at, now
        ):
            return False
        # Another host may have released a key that is held here.
        return all(find_holder(self.state, key, now) is None for key in keys)

    async def read_to_end(self):
        """Read the log to its end; return ``NotClaimed`` or None."""
        while True:
            asked_at = self.clock.seconds()
            page = await self.store.listed(
                KIND,
                shard_prefix(self.shard),
                object_name(self.shard, self.state.cursor),
            )
            if isinstance(page, Unavailable):
                return failure_from(page)
            if era_of(page.revision) > self.era:
                self._begin_era(era_of(page.revision))
                continue
            for stored in page.objects:
                failure = self._apply_object(stored)
                if failure is not None:
                    return failure
            if not page.more:
                self.end_known_at = asked_at
                return None

    def _begin_era(self, era):
        """Read the log from its start again; what is known to be held stays.

        Explanation
        ===========

        The store has come back from an older copy. Its log lacks the last
        segments, and has others under their numbers.
        """
        holders = self.state.holders
        had_state = self.state.cursor > 0
        self.era = era
        self.read_idents = set() if holders else None
        self.reset()
        self.state.holders = holders
        if had_state:
            self.log(
                events.LOG_RETURNED,
                level='warning',
                shard=self.shard,
                era=era,
                held=len(holders),
            )

    def lost_claims(self):
        """Return the held claims that the log of this era lacks, once."""
        now = self.clock.seconds()
        read_idents = self.read_idents
        if read_idents is None:
            return []
        self.read_idents = None
        return [
            claim
            for claim in self.state.holders.values()
            if claim.ident not in read_idents and claim.expires > now
        ]

    def record_append(self, sequence, segment, sent_at):
        """Apply a segment that this host put into the log at ``sent_at``."""
        self._apply(sequence, segment)
        self.end_known_at = sent_at
        self.is_sole_writer = not self.saw_other_writer
        self.saw_other_writer = False

    def _apply_object(self, stored):
        try:
            segment = decode_segment(stored.value)
        except msgspec.ValidationError as error:
            # The segment may hold claims that can't be decoded, so that no new
            # claim in this shard is safe.
            self.log(
                events.BAD_SEGMENT,
                level='error',
                name=stored.name,
                error=str(error),
            )
            return NotClaimed('bad segment', _BAD_SEGMENT_RETRY_SECONDS)
        self.is_sole_writer = False
        self.saw_other_writer = True
        self._apply(parse_sequence(stored.name), segment)
        return None

    def _apply(self, sequence, segment):
        if self.read_idents is not None:
            self.read_idents.update(
                record.ident
                for record in segment.records
                if record.step == 'claim'
            )
        apply_segment(self.state, sequence, segment)
        drop_expired(self.state, self.clock.seconds())
        if sequence == self.awaited_sequence:
            self.stored_batch = segment.batch


def failure_from(outcome):
    """Return the result of a claim for a failed call to the store."""
    return NotClaimed(
        outcome.reason,
        max(_MIN_RETRY_SECONDS, outcome.retry_after or 0),
    )
