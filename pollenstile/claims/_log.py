"""One claim shard's log: reading it, and appending in batches.

Explanation
===========

A segment is created under the number after the last one that its writer has
read, only if that name is absent. So one writer wins each number, there are
no gaps, and whoever wins a number has read all claims before it: a claim that
it had not read would stand under that very number and make the create fail.
No lease is needed, and a writer that was paused can do no harm.

The answer to a create can be lost. The writer then reads the log on. If its
own batch stands under the number it has won; if another's does it has lost
for good, because a name is never written twice; if the name is absent the
create may still arrive, and the writer sends the same batch under the same
name again: at most one of the two is taken, and both say the same. It never
goes on to another number before that is settled. So a batch stands in the log
at most once, and none of its claims can be both won and lost.
"""

from collections import deque

from twisted.internet.defer import Deferred, succeed

from pollenstile.claims import events
from pollenstile.claims._digests import KIND, object_name
from pollenstile.claims._fold import Folding, fold
from pollenstile.claims._pending import Held, Pending, Unreached
from pollenstile.claims._reader import ShardReader, unreached
from pollenstile.claims._records import Segment, release_of
from pollenstile.claims._state import holder_of, is_trusted
from pollenstile.platform import (
    InDoubt,
    NotApplied,
    Written,
    paused,
    make_pause,
)

_MOST_RECORDS = 1000
_RELEASE_PAUSE = 5.0
_PAUSE_CAP = 2.0
_BATCH_BITS = 64


class ShardLog:
    """A shard, as one host reads and writes it.

    Parameters
    ==========

    store : Store
        The object API.
    clock : IReactorTime
        Gives seconds since the epoch.
    rng : random.Random
        For pauses and the names of batches.
    shard : int
        Its number.
    log : function
        Writes events.
    count : function
        Takes a metric's name.
    window : float
        Seconds that a batch is held open for further records.

    Attributes
    ==========

    reader : ShardReader
        What was read.
    stuck : Unreached or None
        Why new claims are refused at once: an append is in doubt, and the
        store does not answer.
    """

    __slots__ = (
        'clock',
        'count',
        'flushers',
        'folding',
        'log',
        'pause',
        'queue',
        'reader',
        'retry',
        'rng',
        'shard',
        'store',
        'stuck',
        'window',
        'working',
    )

    def __init__(self, store, clock, rng, shard, log, count, window=0.0):
        self.store = store
        self.clock = clock
        self.rng = rng
        self.shard = shard
        self.log = log
        self.count = count
        self.window = window
        self.reader = ShardReader(store, clock, shard, log)
        self.pause = make_pause(clock, rng, cap=_PAUSE_CAP)
        self.queue = deque()
        self.flushers = []
        self.folding = Folding()
        self.working = False
        self.retry = None
        self.stuck = None

    def submit(self, record, *, own=True):
        """Queue a record for the next batch; return it as ``Pending``.

        Parameters
        ==========

        own : bool
            Whether this host runs the request, so that it may release it.
        """
        pending = Pending(record, own=own)
        if self.stuck is not None and record.step == 'claim':
            pending.settle(self.stuck)
            return pending
        self.queue.append(pending)
        self._work()
        return pending

    def withdraw(self, pending, reason='timeout'):
        """Give a claim up: it won't be in the log, or will be released.

        Explanation
        ===========

        A batch that is on its way can't be called back. Its claim is released
        by a record that stands behind it in the same queue.
        """
        if not pending.is_open:
            return
        if pending in self.queue:
            self.queue.remove(pending)
        elif pending.is_sent and pending.is_own:
            # Another host's claim is left alone: that host may have found it
            # in the log by itself, and run it.
            self.submit(release_of(pending.record))
        pending.settle(Unreached(reason))

    def flush_records(self):
        """Return a Deferred that fires after one try to write all."""
        self._work()
        if not self.working:
            return succeed(None)
        waiter = Deferred()
        self.flushers.append(waiter)
        return waiter

    def _work(self):
        if self.retry is not None and self.retry.active():
            self.retry.cancel()
        if not self.working and self.queue:
            self.working = True
            Deferred.fromCoroutine(self._drain()).addBoth(self._rest)

    def _rest(self, result):
        self.working = False
        if self.queue:
            # Nobody waits for releases, which may be all that is left.
            waits = any(pending.is_open for pending in self.queue)
            pause = 0 if waits else _RELEASE_PAUSE
            self.retry = self.clock.callLater(pause, self._work)
        flushers = self.flushers
        self.flushers = []
        for waiter in flushers:
            if not waiter.called:
                waiter.callback(None)
        return result

    async def _drain(self):
        failure = None
        while self.queue and failure is None:
            if self.window:
                await paused(self.clock, self.window)
            batch = []
            while self.queue and len(batch) < _MOST_RECORDS:
                batch.append(self.queue.popleft())
            failure = await self._settle(batch)
            if failure is not None:
                self._put_back(batch)
                self._refuse_open(self.queue, failure)
            self.stuck = None

    async def _settle(self, batch):
        """Bring a batch into the log; return a failure or None."""
        while batch:
            keys = [pending.record.key for pending in batch]
            if not self.reader.may_append(keys):
                failure = await self.reader.read_end()
                if failure is not None:
                    self._refuse_open(batch, failure)
                    return failure
            batch = self._left_of(batch)
            if not batch:
                return None
            left = await self._append(batch)
            if isinstance(left, Unreached):
                self._refuse_open(batch, left)
                return left
            batch = left
        return None

    def _left_of(self, batch):
        """Settle claims of keys that are held; return the other records."""
        now = self.clock.seconds()
        left = []
        for pending in batch:
            holder = holder_of(self.reader.state, pending.record.key, now)
            if holder is None or pending.record.step == 'release':
                left.append(pending)
                continue
            pending.settle(Held(holder))
        return [pending for pending in left if pending.is_wanted]

    async def _append(self, batch):
        """Try the next number; return a failure, or what is left to do."""
        based_at = self.reader.fresh_at
        sequence = self.reader.state.cursor + 1
        segment = Segment(
            f'{self.rng.getrandbits(_BATCH_BITS):016x}',
            self.clock.seconds(),
            [pending.record for pending in batch],
        )
        self.reader.awaited = sequence
        self.reader.standing = None
        _mark_sent(batch, sent=True)
        failure = await self._written(sequence, segment, batch)
        if failure is not None:
            return failure
        if self.reader.standing != segment.batch:
            _mark_sent(batch, sent=False)
            self.count('claims.append_lost')
            self.log(events.APPEND_LOST, shard=self.shard, sequence=sequence)
            return batch
        if not is_trusted(based_at, self.clock.seconds()):
            self._distrust(batch)
            return []
        self._tell(batch, segment)
        fold(self)
        return []

    async def _written(self, sequence, segment, batch):
        """Put until it is known whose segment stands under the number.

        Returns None then, or a failure when nothing of ours stands there or
        will.
        """
        name = object_name(self.shard, sequence)
        in_doubt = False
        attempt = 0
        while self.reader.state.cursor < sequence:
            sent = self.clock.seconds()
            outcome = await self.store.put(KIND, name, segment, if_version=0)
            if isinstance(outcome, Written):
                self.reader.wrote(sequence, segment, sent)
                return None
            if isinstance(outcome, InDoubt):
                in_doubt = True
                self._log_doubt(sequence)
            if isinstance(outcome, NotApplied) and not in_doubt:
                return unreached(outcome)
            failure = await self.reader.read_end()
            if failure is not None and not in_doubt:
                return failure
            await self._wait(attempt, failure, batch)
            attempt += 1
        return None

    async def _wait(self, attempt, failure, batch):
        if failure is not None:
            self._stall(batch, failure)
        if attempt or failure is not None:
            await self.pause(attempt)

    def _log_doubt(self, sequence):
        self.count('claims.in_doubt')
        self.log(
            events.APPEND_IN_DOUBT,
            level='warning',
            shard=self.shard,
            sequence=sequence,
        )

    def _tell(self, batch, segment):
        self.count('claims.appended')
        for pending in batch:
            if not pending.is_open:
                continue
            holder = holder_of(
                self.reader.state,
                pending.record.key,
                segment.written,
            )
            if holder is None:
                # It waited for longer than its own window.
                pending.settle(Unreached('expired'))
                continue
            pending.settle(Held(holder))

    def _distrust(self, batch):
        """Use none of the claims that were just won; see ``is_trusted``."""
        self.log(events.STATE_DISTRUSTED, level='warning', shard=self.shard)
        self.reader.forget_all()
        self._put_back(batch)
        for pending in batch:
            self.withdraw(pending, 'this host was paused')

    def _stall(self, batch, failure):
        """Answer all that wait, while an append is in doubt for long."""
        self.stuck = failure
        for pending in batch:
            self.withdraw(pending, failure.reason)
        self._refuse_open(self.queue, failure)

    def _put_back(self, batch):
        releases = [one for one in batch if one.record.step == 'release']
        self.queue.extendleft(reversed(releases))

    def _refuse_open(self, batch, failure):
        for pending in list(batch):
            pending.settle(failure)
        self.queue = deque(one for one in self.queue if one.is_wanted)


def _mark_sent(batch, *, sent):
    for pending in batch:
        pending.is_sent = sent
