"""Claims idempotency keys for an entry host: at most one run of each key."""

from twisted.internet.defer import CancelledError, Deferred, DeferredList

from pollenstile.claims import events
from pollenstile.claims._digests import (
    digest_content,
    key_digest,
    shard_for_key,
)
from pollenstile.claims._log import ShardLog
from pollenstile.claims._outcomecache import OutcomeCache
from pollenstile.claims._pending import Held, NotClaimed
from pollenstile.claims._records import Record, build_release
from pollenstile.ops.timers import cancel_timer
from pollenstile.outcomes import Answered, Refused, Unknown

SHARD_COUNT = 32
_STEP = 'claim'
_STORE = 'object API'
_UNAVAILABLE = 503
_UNPROCESSABLE = 422
_CONFLICT = 409
# Share of the time remaining until the deadline that a claim may take.
_CLAIM_SHARE = 0.5
_MAX_CLAIM_SECONDS = 2.0
_RUNNING_RETRY_SECONDS = 1.0
_UNREACHABLE_RETRY_SECONDS = 10.0


async def holder_unreachable(holder):
    """Return None: the default of ``query_holder``, without peers."""


class RunningRequest:
    """A request of this host that is claiming its key or running.

    Parameters
    ==========

    record : Record
        The claim of the request.
    """

    __slots__ = ('record', 'waiters')

    def __init__(self, record):
        self.record = record
        self.waiters = []

    def add_waiter(self, running):
        """Return a Deferred that fires with the outcome.

        Parameters
        ==========

        running : Unknown
            What it fires with if it is cancelled.
        """
        waiter = Deferred(lambda cancelled: cancelled.callback(running))
        self.waiters.append(waiter)
        return waiter

    def deliver(self, outcome):
        """Deliver the outcome to all waiters."""
        for waiter in self.waiters:
            if not waiter.called:
                waiter.callback(outcome)


class Claims:
    """Claims keys so that a keyed request runs at most once over all hosts.

    Explanation
    ===========

    A key is claimed in the log of its shard, see
    :class:`~pollenstile.claims.ShardLog`, before any part of the request is
    sent to an upstream. The host whose request holds the key caches the
    outcome in memory. A repeat at the same host waits for the run or gets the
    cached outcome. A repeat at another host queries the holder's host, and
    gets an *unknown* outcome if that host can't be reached. A repeat is never
    run.

    A request that certainly did not run its non-idempotent stage releases its
    key, so that a repeat may run.

    Parameters
    ==========

    store : Store
        The object API.
    clock : IReactorTime
        Clock that returns seconds since the epoch.
    rng : random.Random
        Random numbers; seeded in tests.
    host : str
        Name of this host.
    log : function
        Writes events.
    count : function
        Increments the counter of a given metric name.
    shards : int
        Number of shards; must be the same on all hosts and never change.
    window : float
        Seconds to wait for further claims before a batch is written.

    Attributes
    ==========

    query_holder : function
        ``await query_holder(holder)`` requests the outcome of a ``Record``
        from its host; returns the result of :meth:`find_outcome` there, or
        None if that host can't be reached.
    returned_at : float
        Time of the last return of the store from an older copy.
    forward : function or None
        ``await forward(shard, record)`` makes another host append the claim,
        for larger batches; returns the result of :meth:`append_forwarded`
        there, or None if that host can't be reached or did not reply in time.
    """

    __slots__ = (
        'clock',
        'count',
        'forward',
        'host',
        'log',
        'logs',
        'outcome_cache',
        'query_holder',
        'returned_at',
        'rng',
        'running',
        'shards',
        'store',
        'window',
    )

    def __init__(
        self,
        store,
        clock,
        rng,
        host,
        log,
        count,
        shards=SHARD_COUNT,
        window=0.0,
    ):
        self.store = store
        self.clock = clock
        self.rng = rng
        self.host = host
        self.log = log
        self.count = count
        self.shards = shards
        self.window = window
        self.logs = {}
        self.returned_at = -1000.0
        self.running = {}
        self.outcome_cache = OutcomeCache()
        self.query_holder = holder_unreachable
        self.forward = None

    async def outcome(self, request, run):
        """Return the outcome of a keyed request, running it at most once.

        Parameters
        ==========

        request : Request
            Request with a key, of a pipeline that is not idempotent.
        run : function
            Takes no arguments; returns a coroutine that runs the request and
            returns its outcome.
        """
        record = self._build_claim(request)
        running = self.running.get(record.key)
        if running is not None:
            return await self._join_running(request, record, running)
        cached = self.outcome_cache.get(record.key, self.clock.seconds())
        if cached is not None:
            return await self._answer_repeat(request, record, cached.record)
        running = RunningRequest(record)
        self.running[record.key] = running
        outcome = _cut_off(self.host)
        try:
            outcome = await self._claim_and_run(request, record, run)
        finally:
            self.running.pop(record.key)
            running.deliver(outcome)
        return outcome

    def find_outcome(self, record):
        """Return the outcome of a request of this host that holds a key.

        Explanation
        ===========

        Other hosts call this to answer a repeat. Returns None if the outcome
        is not known, after a restart or because it was evicted or expired.
        """
        running = self.running.get(record.key)
        if running is not None and running.record.ident == record.ident:
            return _still_running(self.host)
        cached = self.outcome_cache.get(record.key, self.clock.seconds())
        if cached is None or cached.record.ident != record.ident:
            return None
        return cached.outcome

    async def append_forwarded(self, record, patience):
        """Append another host's claim; return ``Held`` or ``NotClaimed``."""
        return await self._append_claim(record, patience, own=False)

    def flush_records(self):
        """Return a Deferred that fires after one attempt to write all."""
        logs = list(self.logs.values())
        return DeferredList(
            [log.flush_records() for log in logs],
            consumeErrors=True,
        )

    def shard_log(self, key):
        """Return the log of the shard to which a key digest maps."""
        shard = shard_for_key(key, self.shards)
        if shard not in self.logs:
            self.logs[shard] = ShardLog(
                self.store,
                self.clock,
                self.rng,
                shard,
                self.log,
                self.count,
                self.window,
                self.returned_at,
            )
        return self.logs[shard]

    def _build_claim(self, request):
        window = request.pipeline.claim_window_s
        return Record(
            'claim',
            key_digest(request.team, request.name, request.key),
            request.ident,
            digest_content(request.content),
            self.host,
            self.clock.seconds() + window,
        )

    async def _join_running(self, request, record, running):
        if running.record.content_digest != record.content_digest:
            return self._refuse_mismatch(request, running.record)
        self._log_repeat(request, running.record)
        remaining = max(0, request.deadline - self.clock.seconds())
        waiter = running.add_waiter(_still_running(self.host)).addTimeout(
            remaining,
            self.clock,
            onTimeoutCancel=lambda *_: _still_running(self.host),
        )
        return await waiter

    async def _answer_repeat(self, request, record, holder):
        if holder.content_digest != record.content_digest:
            return self._refuse_mismatch(request, holder)
        self._log_repeat(request, holder)
        known = self.find_outcome(holder)
        if known is None and holder.host != self.host:
            known = await self._query_holder(request, holder)
        if known is not None:
            return known
        return Unknown(
            'the request that holds the key may have run',
            _STEP,
            holder.host,
            retry_after=_UNREACHABLE_RETRY_SECONDS,
        )

    async def _query_holder(self, request, holder):
        remaining = max(0, request.deadline - self.clock.seconds())
        asking = Deferred.fromCoroutine(self.query_holder(holder))
        asking.addErrback(_none_if_cancelled)
        return await asking.addTimeout(
            remaining,
            self.clock,
            onTimeoutCancel=lambda *_: None,
        )

    async def _claim_and_run(self, request, record, run):
        result = await self._acquire_claim(request, record)
        if isinstance(result, NotClaimed):
            if request.pipeline.upstream_dedupes:
                self.count('claims.skipped')
                self.log(events.CLAIM_SKIPPED, request=request.ident)
                return await self._run_claimed(record, run)
            return self._refuse_unclaimed(request, result)
        if result.record.ident != record.ident:
            return await self._answer_repeat(request, record, result.record)
        self.log(events.CLAIMED, request=request.ident, key=record.key)
        if self.clock.seconds() >= request.deadline:
            self._release(record)
            return self._refuse_unclaimed(request, NotClaimed('deadline'))
        return await self._run_claimed(record, run)

    async def _acquire_claim(self, request, record):
        remaining = request.deadline - self.clock.seconds()
        patience = min(_MAX_CLAIM_SECONDS, max(0, remaining) * _CLAIM_SHARE)
        if self.forward is None:
            return await self._append_claim(record, patience)
        shard = shard_for_key(record.key, self.shards)
        result = None
        try:
            result = await self.forward(shard, record)
        except CancelledError:
            self._release(record)
            raise
        if isinstance(result, Held):
            return result
        # The other host may have appended the claim, or may do so later. This
        # host then finds its own request as the holder in the log, and so
        # holds the key as well.
        result = await self._append_claim(record, patience)
        if isinstance(result, NotClaimed):
            self._release(record)
        return result

    async def _append_claim(self, record, patience, *, own=True):
        log = self.shard_log(record.key)
        pending = log.submit(record, own=own)
        timer = self.clock.callLater(patience, log.withdraw, pending)
        # A claim whose request is cancelled must not stay in the log.
        waiting = Deferred(lambda _: log.withdraw(pending, 'cancelled'))
        pending.done.chainDeferred(waiting)
        result = await waiting
        cancel_timer(timer)
        return result

    async def _run_claimed(self, record, run):
        outcome = _cut_off(self.host)
        try:
            outcome = await run()
        finally:
            if isinstance(outcome, (Answered, Unknown)):
                self.outcome_cache.add(record, outcome)
            else:
                self._release(record)
        return outcome

    def _release(self, record):
        self.count('claims.released')
        self.log(events.RELEASED, request=record.ident, key=record.key)
        self.shard_log(record.key).submit(build_release(record))

    def _refuse_unclaimed(self, request, failure):
        self.count('claims.refused')
        self.log(
            events.CLAIM_REFUSED,
            level='warning',
            request=request.ident,
            reason=failure.reason,
        )
        return Refused(
            _UNAVAILABLE,
            f'the key could not be claimed: {failure.reason}',
            _STEP,
            _STORE,
            failure.retry_after,
        )

    def _refuse_mismatch(self, request, holder):
        self.count('claims.mismatched')
        self._log_repeat(request, holder)
        return Refused(
            _UNPROCESSABLE,
            'the key was used before with another input',
            _STEP,
            holder.host,
        )

    def _log_repeat(self, request, holder):
        self.count('claims.repeated')
        self.log(
            events.REPEATED,
            request=request.ident,
            holder=holder.ident,
            peer=holder.host,
        )


def _none_if_cancelled(failure):
    failure.trap(CancelledError)


def _cut_off(host):
    return Unknown('the run was cut off', _STEP, host)


def _still_running(host):
    return Unknown(
        'the request that holds the key still runs',
        _STEP,
        host,
        retry_after=_RUNNING_RETRY_SECONDS,
        status=_CONFLICT,
    )
