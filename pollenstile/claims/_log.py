"""Appends claims and releases to a claim shard's log, in batches.

Explanation
===========

A writer creates a segment under the sequence number after the last one that it
has read, with create-if-absent. So exactly one writer succeeds for each number
and the numbers have no gaps. A writer that succeeds has read all claims before
its own: a claim that it had not read would be stored under the same number and
make the create fail. No lease is needed, and a writer that was paused does no
harm.

The answer to a create can be lost. The writer then reads the log further. If
its own batch is stored under the number, the append has succeeded. If another
writer's batch is, the append has failed for good, because a name is never
written twice. If the name is absent, the create may still arrive, and the
writer sends the same batch under the same name again: at most one of the two
creates is applied, and both have the same content. The writer never uses
another number before this is settled. So a batch is in the log at most once,
and none of its claims can both succeed and fail.
"""

from collections import deque

from twisted.internet.defer import Deferred, succeed

from pollenstile.claims import events
from pollenstile.claims._digests import KIND, object_name
from pollenstile.claims._pending import Held, NotClaimed, Pending
from pollenstile.claims._reader import ShardReader, failure_from
from pollenstile.claims._records import Segment, build_release
from pollenstile.claims._restore import RESTORE_SECONDS, return_failure
from pollenstile.claims._state import find_holder, is_end_current
from pollenstile.claims._truncate import TruncationState, truncate_log
from pollenstile.ops.timers import cancel_timer
from pollenstile.platform import (
    InDoubt,
    NotApplied,
    Written,
    make_pause,
    paused,
)

_MAX_BATCH_RECORDS = 1000
_RELEASE_RETRY_SECONDS = 5.0
_MAX_PAUSE_SECONDS = 2.0
_BATCH_BITS = 64


class ShardLog:
    """Log of a shard, as read and written by one host.

    Parameters
    ==========

    store : Store
        The object API.
    clock : IReactorTime
        Clock that returns seconds since the epoch.
    rng : random.Random
        Random numbers for pauses and batch identifiers.
    shard : int
        Number of the shard.
    log : function
        Writes events.
    count : function
        Increments the counter of a given metric name.
    window : float
        Seconds to wait for further records before a batch is written.
    returned_at : float
        Time of the last return of the store from an older copy.

    Attributes
    ==========

    reader : ShardReader
        Reader of the log, with the state read so far.
    blocking_failure : NotClaimed or None
        Result with which new claims are refused at once, while an append is
        in doubt and the store does not answer.
    restored_at : float
        Time from which the log has again what it lost at a return.
    """

    __slots__ = (
        'blocking_failure',
        'clock',
        'count',
        'flush_waiters',
        'is_writing',
        'log',
        'pause',
        'queue',
        'reader',
        'restored_at',
        'retry_timer',
        'rng',
        'shard',
        'store',
        'truncation',
        'window',
    )

    def __init__(
        self,
        store,
        clock,
        rng,
        shard,
        log,
        count,
        window=0.0,
        returned_at=-1000.0,
    ):
        self.store = store
        self.clock = clock
        self.rng = rng
        self.shard = shard
        self.log = log
        self.count = count
        self.window = window
        self.reader = ShardReader(store, clock, shard, log)
        self.pause = make_pause(clock, rng, cap=_MAX_PAUSE_SECONDS)
        self.queue = deque()
        self.flush_waiters = []
        self.truncation = TruncationState()
        self.is_writing = False
        self.retry_timer = None
        self.blocking_failure = None
        self.restored_at = returned_at + RESTORE_SECONDS

    def submit(self, record, *, own=True):
        """Queue a record for the next batch; return its ``Pending`` entry.

        Parameters
        ==========

        own : bool
            Whether this host runs the request, and so may release its claim.
        """
        pending = Pending(record, own=own)
        failure = self.blocking_failure or return_failure(self)
        if failure is not None and record.step == 'claim':
            pending.settle(failure)
            return pending
        self.queue.append(pending)
        self.start_writing()
        return pending

    def withdraw(self, pending, reason='timeout'):
        """Give up a claim: remove it from the queue or release it.

        Explanation
        ===========

        A batch that was sent can't be cancelled. Its claim is released by a
        record that is queued after it.
        """
        if not pending.is_awaited:
            return
        if pending in self.queue:
            self.queue.remove(pending)
        elif pending.is_sent and pending.is_own:
            # Another host's claim is not released: that host may have found it
            # in the log and run the request.
            self.submit(build_release(pending.record))
        pending.settle(NotClaimed(reason))

    def flush_records(self):
        """Return a Deferred that fires after one attempt to write all."""
        self.start_writing()
        if not self.is_writing:
            return succeed(None)
        waiter = Deferred()
        self.flush_waiters.append(waiter)
        return waiter

    def start_writing(self):
        """Write the queued records, unless this is under way."""
        cancel_timer(self.retry_timer)
        if not self.is_writing and self.queue:
            self.is_writing = True
            Deferred.fromCoroutine(self._write_queue()).addBoth(
                self._finish_writing
            )

    def _finish_writing(self, result):
        self.is_writing = False
        if self.queue:
            # If only releases remain, no caller waits for the next attempt.
            waits = any(pending.is_awaited for pending in self.queue)
            pause = 0 if waits else _RELEASE_RETRY_SECONDS
            self.retry_timer = self.clock.callLater(pause, self.start_writing)
        flush_waiters = self.flush_waiters
        self.flush_waiters = []
        for waiter in flush_waiters:
            if not waiter.called:
                waiter.callback(None)
        return result

    async def _write_queue(self):
        failure = None
        while self.queue and failure is None:
            if self.window:
                await paused(self.clock, self.window)
            batch = []
            while self.queue and len(batch) < _MAX_BATCH_RECORDS:
                batch.append(self.queue.popleft())
            failure = await self._write_batch(batch)
            if failure is not None:
                self._requeue_releases(batch)
                self._refuse_claims(self.queue, failure)
            self.blocking_failure = None

    async def _write_batch(self, batch):
        """Write a batch to the log; return a failure or None."""
        while batch:
            keys = [pending.record.key for pending in batch]
            if not self.reader.may_append(keys):
                failure = await self.reader.read_to_end()
                if failure is not None:
                    self._refuse_claims(batch, failure)
                    return failure
            batch = self._settle_held(batch)
            if not batch:
                return None
            remaining = await self._append_segment(batch)
            if isinstance(remaining, NotClaimed):
                self._refuse_claims(batch, remaining)
                return remaining
            batch = remaining
        return None

    def _settle_held(self, batch):
        """Settle claims of keys that are held; return the remaining records."""
        now = self.clock.seconds()
        remaining = []
        for pending in batch:
            holder = find_holder(self.reader.state, pending.record.key, now)
            if holder is None or pending.is_kept:
                remaining.append(pending)
                continue
            pending.settle(Held(holder))
        return [pending for pending in remaining if pending.must_append]

    async def _append_segment(self, batch):
        """Append at the next number; return a failure or records to retry."""
        failure = return_failure(self)
        if failure is not None:
            self._fail_waiting(batch, failure)
            batch = [pending for pending in batch if pending.is_kept]
            if not batch:
                return []
        end_read_at = self.reader.end_known_at
        sequence = self.reader.state.cursor + 1
        segment = Segment(
            f'{self.rng.getrandbits(_BATCH_BITS):016x}',
            self.clock.seconds(),
            [pending.record for pending in batch],
        )
        self.reader.awaited_sequence = sequence
        self.reader.stored_batch = None
        _mark_sent(batch, sent=True)
        failure = await self._put_until_settled(sequence, segment, batch)
        if failure is not None:
            return failure
        if self.reader.stored_batch != segment.batch:
            _mark_sent(batch, sent=False)
            self.count('claims.append_lost')
            self.log(events.APPEND_LOST, shard=self.shard, sequence=sequence)
            return batch
        if not is_end_current(end_read_at, self.clock.seconds()):
            self._discard_state(batch)
            return []
        self._settle_appended(batch, segment)
        truncate_log(self)
        return []

    async def _put_until_settled(self, sequence, segment, batch):
        """Put until it is known which segment is stored under the number.

        Returns None in this case, or a failure if the segment of this host
        certainly is not and will not be stored there.
        """
        name = object_name(self.shard, sequence)
        era = self.reader.era
        in_doubt = False
        attempt = 0
        # After a return of the store, the number belongs to another history.
        while self.reader.state.cursor < sequence and self.reader.era == era:
            sent = self.clock.seconds()
            outcome = await self.store.put(KIND, name, segment, if_version=0)
            if isinstance(outcome, Written):
                self.reader.record_append(sequence, segment, sent)
                return None
            if isinstance(outcome, InDoubt):
                in_doubt = True
                self._log_in_doubt(sequence)
            if isinstance(outcome, NotApplied) and not in_doubt:
                return failure_from(outcome)
            failure = await self.reader.read_to_end()
            if failure is not None and not in_doubt:
                return failure
            await self._pause_before_retry(attempt, failure, batch)
            attempt += 1
        return None

    async def _pause_before_retry(self, attempt, failure, batch):
        if failure is not None:
            self._fail_waiting(batch, failure)
        if attempt or failure is not None:
            await self.pause(attempt)

    def _log_in_doubt(self, sequence):
        self.count('claims.in_doubt')
        self.log(
            events.APPEND_IN_DOUBT,
            level='warning',
            shard=self.shard,
            sequence=sequence,
        )

    def _settle_appended(self, batch, segment):
        self.count('claims.appended')
        for pending in batch:
            if not pending.is_awaited:
                continue
            holder = find_holder(
                self.reader.state,
                pending.record.key,
                segment.written,
            )
            if holder is None:
                # The claim expired before its segment was written.
                pending.settle(NotClaimed('expired'))
                continue
            pending.settle(Held(holder))

    def _discard_state(self, batch):
        """Use none of the claims just appended; see ``is_end_current``."""
        self.log(events.STATE_DISTRUSTED, level='warning', shard=self.shard)
        self.reader.reset()
        self._requeue_releases(batch)
        for pending in batch:
            self.withdraw(pending, 'this host was paused')

    def _fail_waiting(self, batch, failure):
        """Refuse all waiting claims while an append remains in doubt."""
        self.blocking_failure = failure
        for pending in batch:
            self.withdraw(pending, failure.reason)
        self._refuse_claims(self.queue, failure)

    def _requeue_releases(self, batch):
        releases = [pending for pending in batch if pending.is_kept]
        self.queue.extendleft(reversed(releases))

    def _refuse_claims(self, batch, failure):
        for pending in list(batch):
            pending.settle(failure)
        self.queue = deque(
            queued for queued in self.queue if queued.must_append
        )


def _mark_sent(batch, *, sent):
    for pending in batch:
        pending.is_sent = sent
