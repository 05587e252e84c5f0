"""The host that owns a stage's queue: what waits, what is being made."""

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
from pollenstile.stagework._flight import Flight
from pollenstile.stagework._jobs import Job
from pollenstile.stagework._pace import Pace
from pollenstile.stagework._releases import Releases
from pollenstile.stagework._types import GroupDone, GroupRefused, Worker

_MS = 1000
# Reason of a host that can't own a stage: it reaches no upstream of it.
NO_WORKERS = 'no workers'
# Seconds that pieces of one instant are gathered before a call is made.
_GATHER = 0.002
# Calls that may hold one piece and have it made.
_MOST_SENT = 3
# Seconds for which a worker that had no room gets nothing more: about half of
# what a result is held before it is read.
_FULL_SECONDS = 0.25
# Reasons for which a piece waits again, and whether it may have been made.
_TRY_AGAIN = {'room': False, 'error': True}


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
    pace : Pace
        What is remembered of the queue.
    workers : dict
        By identifier.
    """

    __slots__ = (
        'call',
        'clock',
        'draw_timer',
        'jobs',
        'limits',
        'log',
        'pace',
        'releases',
        'service',
        'spend',
        'started',
        'waiting',
        'workers',
    )

    def __init__(self, clock, service, call, free, spend, log=silent_log):
        self.clock = clock
        self.service = service
        self.call = call
        self.releases = Releases(clock, free, self._freed)
        self.spend = spend
        self.log = log
        self.limits = None
        self.jobs = {}
        self.waiting = []
        self.started = set()
        self.pace = Pace()
        self.workers = {}
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
        gone = [ident for ident in self.workers if ident not in known]
        for ident in gone:
            self.workers.pop(ident)
        for one in upstreams:
            if one.ident not in self.workers:
                worker = Worker(one.ident, one.address, one.domain)
                self.workers[one.ident] = worker
        self.draw_soon()

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
        job = Job(group, self.clock.seconds())
        job.waiters.append(waiter)
        if on_read is not None and group.inputs:
            job.on_read.append(on_read)
        self.jobs[group.ident] = job
        left = max(0, group.ends - self.clock.seconds())
        job.timer = self.clock.callLater(left, self._refuse, job, 'late')
        self.waiting.extend(job.pieces)
        self.draw_soon()
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
        self.releases.add(handles)

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
        return self.pace.rate(self.clock.seconds(), queued=bool(self.waiting))

    def _admits(self, group, wait):
        now = self.clock.seconds()
        share = self.pace.share(group.urgency)
        taken = admitted(group, wait, now, share)
        if group.is_first:
            self.pace.note_taken(group.urgency, taken=taken)
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

    def _freed(self, address, handles):
        for worker in self.workers.values():
            if worker.address != address:
                continue
            for handle in handles:
                worker.held.pop(handle, None)
        self.draw_soon()

    def draw_soon(self):
        """Let free workers draw, with what else comes at this instant."""
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
        Flight(self, worker, batch).start()

    def _note_begun(self, group, now):
        job = self.jobs.get(group.ident)
        if job is not None and not job.begun:
            job.begun = now

    def inputs_read(self, batch):
        """Tell who waits that the inputs of a call's groups were fetched."""
        for group in {piece.group.ident for piece in batch}:
            job = self.jobs.get(group)
            if job is not None and job.all_read():
                job.tell_read()

    def put_back(self, pieces, *, arrived):
        """Let pieces of a call that brought nothing wait again.

        Parameters
        ==========

        arrived : bool
            Whether that call may have had them made; then a further one
            draws on the repeat budget.
        """
        for piece in pieces:
            job = self._job_of(piece)
            if job is None or piece in self.waiting:
                continue
            if arrived and not self._may_repeat(piece):
                self._fail(job, piece)
                continue
            self.waiting.append(piece)
        self.draw_soon()

    def _may_repeat(self, piece):
        return piece.sent < _MOST_SENT and self.spend(self.service, 1)

    def _fail(self, job, piece):
        if not piece.flights:
            self._refuse(job, 'failed')

    def made(self, piece, made):
        """Take one piece's result, or the reason why there is none."""
        job = self._job_of(piece)
        if job is None:
            if made.handle:
                self.release((made.handle,))
            return
        if made.handle:
            self._keep(job, piece, made.handle)
            return
        if made.reason in _TRY_AGAIN:
            self.put_back([piece], arrived=_TRY_AGAIN[made.reason])
            return
        self._refuse(job, made.reason)

    def _job_of(self, piece):
        """Return the job that still needs a piece, or None."""
        job = self.jobs.get(piece.group.ident)
        if job is None or piece not in job.pieces or piece.handle:
            return None
        return job

    def _keep(self, job, piece, handle):
        piece.handle = handle
        self.pace.note_made(self.clock.seconds())
        if piece in self.waiting:
            self.waiting.remove(piece)
        self._finish_whole(job)

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
        self.clock.callLater(_FULL_SECONDS, self.draw_soon)

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
        job.end(outcome)
