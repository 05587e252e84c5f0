"""The host that owns a stage's queue: what waits, what is being made."""

from collections import deque

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.stagework import events
from pollenstile.stagework._decisions import (
    admitted,
    batch_for,
    call_seconds,
    eligible,
    expected_wait,
    frees_by_domain,
    may_start,
    ranked,
    spare_bytes,
)
from pollenstile.stagework._types import (
    CallLost,
    GroupDone,
    GroupRefused,
    Piece,
    Worker,
)

_MS = 1000
# Reason of a host that can't own a stage: it reaches no upstream of it.
NO_WORKERS = 'no workers'
# Seconds that pieces of one instant are gathered before a call is made.
_GATHER = 0.002
# A call of over this many times its expected time, and a margin in seconds,
# counts as slow: its pieces are tried elsewhere as well. Twice is what a
# sound upstream needs when its queue holds one call of another owner.
_SLOW_FACTOR = 2.0
_SLOW_MARGIN = 0.25
# A call of this many times its expected time is given up.
_LOST_FACTOR = 8.0
# Calls that may hold one piece and have it made.
_MOST_SENT = 3
# Seconds that a worker rests after its first failure in a row, and at most.
_FIRST_REST = 0.25
_LONGEST_REST = 4.0
# Share of the newest call in a worker's speed.
_NEWEST = 0.4
# Seconds for which releases of results are gathered into one call.
_RELEASE_GATHER = 0.02
# Seconds for which a worker that had no room gets nothing more: about half of
# what a result is held before it is read.
_FULL_SECONDS = 0.25
# Seconds after which a call has fetched its inputs: they cross in 3 ms, and an
# upstream that was free begins at once. Held until the call ends, results of
# the step before would keep their room for four times as long.
_READ_SECONDS = 0.1
# Times the usual time of a call up to which an upstream works for this owner
# alone.
_ALONE_SPEED = 1.25
# Share of the newest group in the share of groups that are taken.
_NEWEST_TAKEN = 0.1
# Seconds over which the rate of made pieces is measured.
_RATE_WINDOW = 2.0


class _Job:
    """A group, its pieces, and who waits for them."""

    __slots__ = (
        'begun',
        'came',
        'group',
        'on_read',
        'pieces',
        'timer',
        'waiters',
    )

    def __init__(self, group, now):
        self.group = group
        self.came = now
        self.begun = 0.0
        self.pieces = [Piece(group, number) for number in range(group.count)]
        self.timer = None
        self.waiters = []
        self.on_read = []

    def all_begun(self):
        """Return whether every piece is made or being made."""
        return all(piece.handle or piece.flights for piece in self.pieces)

    def handles(self):
        """Return the handles so far, in order; empty for what is not made."""
        return tuple(piece.handle for piece in self.pieces)


class Owner:
    """One stage service's queue at the host that owns it.

    Explanation
    ===========

    All pieces wait here and none at an upstream, so a piece is never bound to
    an upstream that works while another one falls free.

    Parameters
    ==========

    clock : IReactorTime
        Measures calls and rests.
    service : str
        Whose upstreams draw from the queue.
    call : function
        Takes a worker, pieces and seconds left; returns a Deferred of a list
        of :class:`Made` in their order, or of :class:`CallLost`.
    free : function
        Takes an address and handles that are not needed any more; returns
        a Deferred of whether they were released.
    spend : function
        Takes a service and a number of pieces; returns whether the repeat
        budget has them.
    log : function
        Writes events.

    Attributes
    ==========

    jobs : dict
        Groups that are not finished, by request and step.
    waiting : list of Piece
        Not in any call.
    started : set
        Groups of which some piece is made or being made.
    shares : dict
        Share of the latest first groups that were taken, by urgency.
    workers : dict
        By identifier.
    """

    __slots__ = (
        'call',
        'clock',
        'draw_timer',
        'free',
        'freeing',
        'jobs',
        'limits',
        'log',
        'made_at',
        'queued_since',
        'service',
        'shares',
        'spend',
        'started',
        'waiting',
        'workers',
    )

    def __init__(self, clock, service, call, free, spend, log=silent_log):
        self.clock = clock
        self.service = service
        self.call = call
        self.free = free
        self.spend = spend
        self.log = log
        self.limits = None
        self.jobs = {}
        self.waiting = []
        self.started = set()
        self.shares = {}
        self.made_at = deque()
        self.queued_since = None
        self.workers = {}
        self.freeing = {}
        self.draw_timer = None

    def configure(self, limits, upstreams):
        """Take what the configuration and the registry say now.

        Parameters
        ==========

        limits : StageLimits
            Of one upstream.
        upstreams : list
            With ``ident``, ``address`` and ``domain``; those that take work.
        """
        self.limits = limits
        known = {one.ident for one in upstreams}
        for ident in [one for one in self.workers if one not in known]:
            self.workers.pop(ident)
        for one in upstreams:
            if one.ident not in self.workers:
                worker = Worker(one.ident, one.address, one.domain)
                self.workers[one.ident] = worker
        self._draw_soon()

    def submit(self, group, on_read=None):
        """Return a Deferred of ``GroupDone`` or ``GroupRefused``.

        Explanation
        ===========

        A host that lost its connection asks again for the same group; it
        joins the one that is at work, and no piece is made twice.

        Parameters
        ==========

        on_read : function or None
            Called when all inputs were fetched.
        """
        waiter = Deferred()
        job = self.jobs.get(group.ident)
        if job is not None:
            job.waiters.append(waiter)
            return waiter
        if self.limits is None or not self.workers:
            waiter.callback(GroupRefused(NO_WORKERS))
            return waiter
        wait = self.wait(group.count)
        if not self._admits(group, wait):
            waiter.callback(GroupRefused('busy', wait, wait))
            return waiter
        job = _Job(group, self.clock.seconds())
        job.waiters.append(waiter)
        if on_read is not None and group.inputs:
            job.on_read.append(on_read)
        self.jobs[group.ident] = job
        left = max(0, group.ends - self.clock.seconds())
        job.timer = self.clock.callLater(left, self._refuse, job, 'late')
        self.waiting.extend(job.pieces)
        self._draw_soon()
        return waiter

    def hand_over(self):
        """Give back the groups of which no piece is begun.

        Explanation
        ===========

        When another host owns the queue from now on, two queues would draw on
        the same upstreams, and what waits in the older one would wait twice
        as long. Who asked is told that no pieces are made here, and asks the
        new owner; nothing is made twice.
        """
        for job in list(self.jobs.values()):
            if not job.begun:
                self._drop_waiting(job)
                self._end(job, GroupRefused(NO_WORKERS))

    def cancel(self, request):
        """Forget all that a request waits for; its results are released."""
        for job in list(self.jobs.values()):
            if job.group.request == request:
                self._refuse(job, 'cancelled')

    def release(self, handles):
        """Release results that were read, or that nobody will read."""
        for handle in handles:
            address = handle.partition('/')[0]
            if not self.freeing:
                self.clock.callLater(_RELEASE_GATHER, self._flush_releases)
            self.freeing.setdefault(address, []).append(handle)

    def wait(self, count=1):
        """Return seconds until new pieces would be made."""
        if self.limits is None:
            return 0
        return expected_wait(
            len(self.waiting) + count,
            list(self.workers.values()),
            self.limits,
            self.clock.seconds(),
            self._rate(),
        )

    def _rate(self):
        """Return pieces made a second while pieces waited all the time.

        Returns
        =======

        float
            0 when the queue was empty lately: then nothing is known.
        """
        now = self.clock.seconds()
        if not self.waiting:
            self.queued_since = None
        elif self.queued_since is None:
            self.queued_since = now
        while self.made_at and self.made_at[0] < now - _RATE_WINDOW:
            self.made_at.popleft()
        since = self.queued_since
        if since is None or now - since < _RATE_WINDOW:
            return 0
        return len(self.made_at) / _RATE_WINDOW

    def _admits(self, group, wait):
        now = self.clock.seconds()
        share = self.shares.get(group.urgency, 1.0)
        taken = admitted(group, wait, now, share)
        if group.is_first:
            share += _NEWEST_TAKEN * (taken - share)
            self.shares[group.urgency] = share
        if not taken:
            self.log(
                events.STAGE_REFUSED,
                request=group.request,
                service=self.service,
                step=group.step,
                reason='busy',
                waiting=len(self.waiting),
                wait_ms=int(wait * _MS),
                due_ms=int((group.due - now) * _MS),
                share=round(share, 2),
            )
        return taken

    def _flush_releases(self):
        freeing = self.freeing
        self.freeing = {}
        for address, handles in freeing.items():
            freed = self.free(address, handles)
            freed.addCallback(self._freed, address, handles)

    def _freed(self, done, address, handles):
        # Counted as free before the upstream has said so, the room would be
        # given to a call that can overtake the release on its way.
        if not done:
            return
        for worker in self.workers.values():
            if worker.address != address:
                continue
            for handle in handles:
                worker.held.pop(handle, None)
        self._draw_soon()

    def _draw_soon(self):
        if self.draw_timer is None and self.waiting:
            self.draw_timer = self.clock.callLater(_GATHER, self._draw)

    def _draw(self):
        self.draw_timer = None
        now = self.clock.seconds()
        workers = sorted(
            self.workers.values(),
            key=lambda one: (one.speed, len(one.held)),
        )
        waiting = len(self.waiting)
        free = [
            one
            for one in workers
            if may_start(one, workers, self.limits, waiting, now)
        ]
        while free and self.waiting:
            self._start_call(free.pop(0), free, now)
        self._draw_rested(workers, now)

    def _draw_rested(self, workers, now):
        """Draw again when the next worker has rested."""
        rests = [one.rest_until - now for one in workers]
        rests = [rest for rest in rests if rest > 0]
        if rests and self.waiting and self.draw_timer is None:
            self.draw_timer = self.clock.callLater(min(rests), self._draw)

    def _start_call(self, worker, others, now):
        limits = self.limits
        most = min(len(self.waiting), limits.batch)
        work = call_seconds(limits, most) * worker.speed
        workers = self.workers.values()
        frees_in = frees_by_domain(workers, others, now)
        mine = eligible(self.waiting, worker.domain, frees_in, now, work)
        batch = batch_for(
            ranked(mine, now, work),
            worker,
            limits,
            now,
            self.started,
            spare_bytes(self.waiting, self.started, workers, limits, now),
        )
        if not batch:
            return
        for piece in batch:
            self.waiting.remove(piece)
            piece.flights += 1
            self._note_begun(piece.group, now)
        self._rate()
        _Flight(self, worker, batch).start()

    def _note_begun(self, group, now):
        job = self.jobs.get(group.ident)
        if job is not None and not job.begun:
            job.begun = now

    def inputs_read(self, batch):
        """Tell who waits that the inputs of a call's groups were fetched."""
        for group in {piece.group.ident: piece.group for piece in batch}:
            job = self.jobs.get(group)
            if job is None or not job.all_begun():
                continue
            listeners = job.on_read
            job.on_read = []
            for listener in listeners:
                listener()

    def put_back(self, pieces, *, arrived):
        """Let pieces of a call that brought nothing wait again.

        Parameters
        ==========

        arrived : bool
            Whether that call may have had them made; then a further one
            draws on the repeat budget.
        """
        for piece in pieces:
            job = self.jobs.get(piece.group.ident)
            alive = job is not None and piece in job.pieces
            if not alive or piece.handle or piece in self.waiting:
                continue
            if arrived and piece.sent >= _MOST_SENT:
                self._fail(job, piece)
                continue
            if arrived and not self.spend(self.service, 1):
                self._fail(job, piece)
                continue
            self.waiting.append(piece)
        self._draw_soon()

    def _fail(self, job, piece):
        if not piece.flights:
            self._refuse(job, 'failed')

    def made(self, piece, made):
        """Take one piece's result, or the reason why there is none."""
        job = self.jobs.get(piece.group.ident)
        alive = job is not None and piece in job.pieces
        if made.handle and (not alive or piece.handle):
            self.release((made.handle,))
            return
        if not alive or piece.handle:
            return
        if made.handle:
            piece.handle = made.handle
            self.made_at.append(self.clock.seconds())
            if piece in self.waiting:
                self.waiting.remove(piece)
            self._finish_whole(job)
            return
        if made.reason == 'room':
            self.put_back([piece], arrived=False)
            return
        if made.reason == 'error':
            self.put_back([piece], arrived=True)
            return
        self._refuse(job, made.reason)

    def note_full(self, worker):
        """Send a worker nothing more for a moment: it had no room.

        Explanation
        ===========

        Results that another owner had made take up room that this host does
        not know of. Sent again at once, the refused pieces would only wait
        for their turn to be refused again.
        """
        now = self.clock.seconds()
        free = max(0, worker.free_bytes(self.limits, now))
        worker.foreign = (free, now + _FULL_SECONDS)
        self.log(
            events.STAGE_ROOM,
            service=self.service,
            peer=worker.ident,
            held=worker.held_bytes(now),
            results=len(worker.held),
            room=self.limits.room_bytes,
        )
        self.clock.callLater(_FULL_SECONDS, self._draw_soon)

    def _finish_whole(self, job):
        handles = job.handles()
        if not all(handles):
            return
        now = self.clock.seconds()
        self.log(
            events.STAGE_MADE,
            request=job.group.request,
            service=self.service,
            step=job.group.step,
            pieces=job.group.count,
            waited_ms=int((job.begun - job.came) * _MS),
            took_ms=int((now - job.came) * _MS),
            due_ms=int((job.group.due - now) * _MS),
        )
        self._end(job, GroupDone(handles, self.wait()))

    def _refuse(self, job, reason):
        wait = self.wait()
        self.log(
            events.STAGE_REFUSED,
            request=job.group.request,
            service=self.service,
            step=job.group.step,
            reason=reason,
            waiting=len(self.waiting),
        )
        self._drop_waiting(job)
        self.release([handle for handle in job.handles() if handle])
        self._end(job, GroupRefused(reason, wait, wait))

    def _drop_waiting(self, job):
        self.waiting = [
            piece for piece in self.waiting if piece.group is not job.group
        ]

    def _end(self, job, outcome):
        self.jobs.pop(job.group.ident)
        self.started.discard(job.group.ident)
        if job.timer.active():
            job.timer.cancel()
        for waiter in job.waiters:
            if not waiter.called:
                waiter.callback(outcome)


class _Flight:
    """One call of a batch, from its start to its end."""

    __slots__ = (
        'batch',
        'ended',
        'expected',
        'owner',
        'size',
        'slow_timer',
        'started',
        'worker',
    )

    def __init__(self, owner, worker, batch):
        self.owner = owner
        self.worker = worker
        self.batch = batch
        self.expected = call_seconds(owner.limits, len(batch))
        self.size = sum(piece.group.result_bytes for piece in batch)
        self.started = owner.clock.seconds()
        self.slow_timer = None
        self.ended = False

    def start(self):
        """Send the call."""
        worker = self.worker
        worker.calls += 1
        worker.flying += len(self.batch)
        worker.flying_bytes += self.size
        worker.busy_until = self.started + self.expected * worker.speed
        self.owner.log(
            events.STAGE_CALLED,
            service=self.owner.service,
            peer=worker.ident,
            pieces=len(self.batch),
            waiting=len(self.owner.waiting),
            groups=len(self.owner.jobs),
            held=worker.held_bytes(self.started),
            free=worker.free_bytes(self.owner.limits, self.started),
            request=sorted({piece.group.request for piece in self.batch}),
        )
        slow = self.expected * max(_SLOW_FACTOR, worker.speed * 1.5)
        self.slow_timer = self.owner.clock.callLater(
            slow + _SLOW_MARGIN,
            self._slow,
        )
        self.owner.clock.callLater(_READ_SECONDS, self._read)
        limit = self.expected * _LOST_FACTOR
        result = self.owner.call(worker, self.batch, limit)
        result.addCallback(self._done)
        result.addErrback(self._crashed)

    def _read(self):
        # Calls of another owner, or of a slow upstream, can keep this one
        # from its turn; released then, its inputs would be gone.
        if not self.ended and self.worker.speed < _ALONE_SPEED:
            self.owner.inputs_read(self.batch)

    def _slow(self):
        self._learn_speed(self.owner.clock.seconds() - self.started)
        self.owner.log(
            events.STAGE_CALL_SLOW,
            level='warning',
            service=self.owner.service,
            peer=self.worker.ident,
        )
        for piece in self.batch:
            piece.sent += 1
        self.owner.put_back(self.batch, arrived=True)

    def _learn_speed(self, took):
        ratio = took / self.expected
        worker = self.worker
        worker.speed += _NEWEST * (ratio - worker.speed)

    def _land(self):
        worker = self.worker
        worker.calls -= 1
        worker.flying -= len(self.batch)
        worker.flying_bytes -= self.size
        worker.busy_until = self.owner.clock.seconds()
        for piece in self.batch:
            piece.flights -= 1

    def _done(self, outcome):
        self.ended = True
        slow = not self.slow_timer.active()
        if not slow:
            self.slow_timer.cancel()
        self._land()
        if isinstance(outcome, CallLost):
            self._lost(outcome, slow=slow)
            return
        self.worker.failures = 0
        if any(made.reason == 'room' for made in outcome):
            self.owner.note_full(self.worker)
        if any(made.handle for made in outcome):
            self.worker.refusals = 0
        else:
            self.worker.refusals = min(self.worker.refusals + 1, 8)
        self._learn_speed(self.owner.clock.seconds() - self.started)
        lapses = self.owner.clock.seconds() + self.owner.limits.hold_seconds
        for piece, made in zip(self.batch, outcome, strict=True):
            if made.handle:
                size = piece.group.result_bytes
                self.worker.held[made.handle] = (size, lapses)
            if not slow:
                piece.sent += 1
            self.owner.made(piece, made)
        self.owner.put_back((), arrived=False)

    def _lost(self, lost, *, slow):
        worker = self.worker
        rest = min(_LONGEST_REST, _FIRST_REST * 2**worker.failures)
        worker.failures = min(worker.failures + 1, 10)
        worker.rest_until = self.owner.clock.seconds() + rest
        self.owner.log(
            events.STAGE_CALL_LOST,
            level='warning',
            service=self.owner.service,
            peer=worker.ident,
            reason=lost.reason,
            arrived=lost.arrived,
        )
        if lost.arrived and not slow:
            for piece in self.batch:
                piece.sent += 1
        # Pieces of a slow call wait again already.
        self.owner.put_back(
            self.batch,
            arrived=lost.arrived and not slow,
        )

    def _crashed(self, failure):
        if self.ended:
            return failure
        peer = self.worker.ident
        reason = repr(failure.value)
        self._done(CallLost(reason, peer, arrived=True))
        return None

