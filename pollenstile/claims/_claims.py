"""At most one run of each key: claims of one entry host."""

from twisted.internet.defer import Deferred, DeferredList

from pollenstile.claims import events
from pollenstile.claims._digests import content_digest, key_digest, shard_of
from pollenstile.claims._kept import Kept
from pollenstile.claims._log import ShardLog
from pollenstile.claims._pending import Held, Unreached
from pollenstile.claims._records import Record, release_of
from pollenstile.outcomes import Answered, Refused, Unknown

SHARD_COUNT = 32
_STEP = 'claim'
_STORE = 'object API'
_UNAVAILABLE = 503
_UNPROCESSABLE = 422
_CONFLICT = 409
# Of what is left until the deadline, the claim may take this share.
_SHARE = 0.5
_PATIENCE = 2.0
_RUNNING_RETRY = 1.0
_UNREACHED_RETRY = 10.0


async def unreachable(holder):
    """Reach no other host: neutral value for ``ask_owner``."""


class Running:
    """A request of this host that claims its key or runs.

    Parameters
    ==========

    record : Record
        Its claim.
    """

    __slots__ = ('record', 'waiters')

    def __init__(self, record):
        self.record = record
        self.waiters = []

    def joined(self):
        """Return a Deferred of the outcome."""
        waiter = Deferred()
        self.waiters.append(waiter)
        return waiter

    def tell(self, outcome):
        """Give the outcome to all that joined."""
        for waiter in self.waiters:
            if not waiter.called:
                waiter.callback(outcome)


class Claims:
    """Runs each keyed request at most once over all entry hosts.

    Explanation
    ===========

    A key is claimed in the log of its shard, see
    :class:`~pollenstile.claims.ShardLog`, before anything of the request is
    sent to an upstream. The host that holds a key keeps the outcome in memory
    for repeats. A repeat at the same host joins the run or gets the outcome;
    one at another host asks the holder's host, and is told *unknown* when
    that host can't be reached. It is never run a second time.

    A request that surely did not run its non-idempotent stage releases its
    key, so that a repeat may run.

    Parameters
    ==========

    store : Store
        The object API.
    clock : IReactorTime
        Gives seconds since the epoch.
    rng : random.Random
        Seeded under test.
    host : str
        This host's name.
    log : function
        Writes events.
    count : function
        Takes a metric's name.
    shards : int
        Number of logs; the same on all hosts, for good.
    window : float
        Seconds that a batch is held open for further claims.

    Attributes
    ==========

    ask_owner : function
        ``await ask_owner(holder)`` asks the host of a ``Record`` for the
        outcome of its request; returns what :meth:`told` says there, or None
        when that host can't be reached.
    forward : function or None
        ``await forward(shard, record)`` lets another host append the claim,
        for larger batches; returns what :meth:`append_forwarded` says there, or None
        when that host can't be reached or has not answered in time.
    """

    __slots__ = (
        'ask_owner',
        'clock',
        'count',
        'forward',
        'host',
        'kept',
        'log',
        'logs',
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
        self.running = {}
        self.kept = Kept()
        self.ask_owner = unreachable
        self.forward = None

    async def outcome(self, request, run):
        """Return a keyed request's outcome, run here at most once.

        Parameters
        ==========

        request : Request
            With a key; its pipeline is not idempotent.
        run : function
            Without arguments; returns the coroutine of the run's outcome.
        """
        record = self._record(request)
        running = self.running.get(record.key)
        if running is not None:
            return await self._joined(request, record, running)
        kept = self.kept.found(record.key, self.clock.seconds())
        if kept is not None:
            return await self._repeated(request, record, kept.record)
        running = Running(record)
        self.running[record.key] = running
        outcome = _cut_off(self.host)
        try:
            outcome = await self._claimed(request, record, run)
        finally:
            self.running.pop(record.key)
            running.tell(outcome)
        return outcome

    def told(self, record):
        """Return what this host knows of a request that it holds a key for.

        Explanation
        ===========

        For hosts that were asked for a repeat. None when nothing is known:
        after a restart, or when the outcome was too old to be kept.
        """
        running = self.running.get(record.key)
        if running is not None and running.record.ident == record.ident:
            return _still_running(self.host)
        kept = self.kept.found(record.key, self.clock.seconds())
        if kept is None or kept.record.ident != record.ident:
            return None
        return kept.outcome

    async def append_forwarded(self, record, patience):
        """Append another host's claim; return ``Held`` or ``Unreached``."""
        return await self._appended(record, patience, own=False)

    def flush_records(self):
        """Return a Deferred that fires after one try to write all."""
        logs = list(self.logs.values())
        return DeferredList(
            [log.flush_records() for log in logs],
            consumeErrors=True,
        )

    def log_of(self, key):
        """Return the log of the shard that a key digest belongs to."""
        shard = shard_of(key, self.shards)
        if shard not in self.logs:
            self.logs[shard] = ShardLog(
                self.store,
                self.clock,
                self.rng,
                shard,
                self.log,
                self.count,
                self.window,
            )
        return self.logs[shard]

    def _record(self, request):
        window = request.pipeline.claim_window_s
        return Record(
            'claim',
            key_digest(request.team, request.name, request.key),
            request.ident,
            content_digest(request.content),
            self.host,
            self.clock.seconds() + window,
        )

    async def _joined(self, request, record, running):
        if running.record.content != record.content:
            return self._mismatch(request, running.record)
        self._log_repeat(request, running.record)
        left = max(0, request.deadline - self.clock.seconds())
        waiter = running.joined().addTimeout(
            left,
            self.clock,
            onTimeoutCancel=lambda *_: _still_running(self.host),
        )
        return await waiter

    async def _repeated(self, request, record, holder):
        if holder.content != record.content:
            return self._mismatch(request, holder)
        self._log_repeat(request, holder)
        known = self.told(holder)
        if known is None and holder.host != self.host:
            known = await self._asked(request, holder)
        if known is not None:
            return known
        return Unknown(
            'the request that holds the key may have run',
            _STEP,
            holder.host,
            retry_after=_UNREACHED_RETRY,
        )

    async def _asked(self, request, holder):
        left = max(0, request.deadline - self.clock.seconds())
        asking = Deferred.fromCoroutine(self.ask_owner(holder))
        return await asking.addTimeout(
            left,
            self.clock,
            onTimeoutCancel=lambda *_: None,
        )

    async def _claimed(self, request, record, run):
        settled = await self._settled(request, record)
        if isinstance(settled, Unreached):
            if request.pipeline.upstream_dedupes:
                self.count('claims.skipped')
                self.log(events.CLAIM_SKIPPED, request=request.ident)
                return await self._ran(record, run)
            return self._refusal(request, settled)
        if settled.record.ident != record.ident:
            return await self._repeated(request, record, settled.record)
        self.log(events.CLAIMED, request=request.ident, key=record.key)
        if self.clock.seconds() >= request.deadline:
            self._release(record)
            return self._refusal(request, Unreached('deadline'))
        return await self._ran(record, run)

    async def _settled(self, request, record):
        left = request.deadline - self.clock.seconds()
        patience = min(_PATIENCE, max(0, left) * _SHARE)
        if self.forward is None:
            return await self._appended(record, patience)
        shard = shard_of(record.key, self.shards)
        settled = await self.forward(shard, record)
        if isinstance(settled, Held):
            return settled
        # The other host may have appended it, or still append it. Then this
        # host finds its own request in the log, and has won all the same.
        settled = await self._appended(record, patience)
        if isinstance(settled, Unreached):
            self._release(record)
        return settled

    async def _appended(self, record, patience, *, own=True):
        log = self.log_of(record.key)
        pending = log.submit(record, own=own)
        timer = self.clock.callLater(patience, log.withdraw, pending)
        settled = await pending.done
        if timer.active():
            timer.cancel()
        return settled

    async def _ran(self, record, run):
        outcome = _cut_off(self.host)
        try:
            outcome = await run()
        finally:
            if isinstance(outcome, (Answered, Unknown)):
                self.kept.keep(record, outcome)
            else:
                self._release(record)
        return outcome

    def _release(self, record):
        self.count('claims.released')
        self.log(events.RELEASED, request=record.ident, key=record.key)
        self.log_of(record.key).submit(release_of(record))

    def _refusal(self, request, unreached):
        self.count('claims.refused')
        self.log(
            events.CLAIM_REFUSED,
            level='warning',
            request=request.ident,
            reason=unreached.reason,
        )
        return Refused(
            _UNAVAILABLE,
            f'the key could not be claimed: {unreached.reason}',
            _STEP,
            _STORE,
            unreached.retry_after,
        )

    def _mismatch(self, request, holder):
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


def _cut_off(host):
    return Unknown('the run was cut off', _STEP, host)


def _still_running(host):
    return Unknown(
        'the request that holds the key still runs',
        _STEP,
        host,
        retry_after=_RUNNING_RETRY,
        status=_CONFLICT,
    )
