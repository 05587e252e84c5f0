"""The host that owns a stage's queue: what waits, what is being made."""

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.quarantine import HELD_REASON, Quarantine
from pollenstile.stagework import events
from pollenstile.stagework._admission import Admission
from pollenstile.stagework._arrivals import Arrivals
from pollenstile.stagework._drawing import Drawing
from pollenstile.stagework._jobs import Job
from pollenstile.stagework._pace import Pace
from pollenstile.stagework._releases import Releases
from pollenstile.stagework._types import GroupDone, GroupRefused, Worker

_MS = 1000
# Reason of a host that can't own a stage: it reaches no upstream of it.
NO_WORKERS = 'no workers'
# Calls that may hold one piece and have it made.
_MOST_SENT = 3
# Reasons for which a piece waits again; after the second it may have been made.
_NO_ROOM = 'room'
_ERROR = 'error'


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
        of :class:`Result` in their order, or of :class:`CallLost`.
    free : function
        Takes an address and handles that are not needed any more; returns
        a Deferred of whether they were released.
    spend : function
        Takes a service and a number of pieces; returns whether the repeat
        budget has them.
    quarantine : Quarantine
        Requests that crash upstreams.
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
    admission : Admission
        Which groups may wait.
    drawing : Drawing
        Makes the calls.
    workers : dict
        By identifier.
    """

    __slots__ = (
        'admission',
        'arrivals',
        'call',
        'clock',
        'drawing',
        'jobs',
        'limits',
        'log',
        'stats',
        'quarantine',
        'releases',
        'service',
        'spend',
        'started',
        'waiting',
        'workers',
    )

    def __init__(
        self,
        clock,
        service,
        call,
        free,
        spend,
        log=silent_log,
        quarantine=None,
    ):
        self.clock = clock
        self.service = service
        self.call = call
        self.releases = Releases(clock, free, self._freed)
        self.spend = spend
        self.log = log
        self.quarantine = quarantine or Quarantine(clock, '', _unknown, log)
        self.limits = None
        self.jobs = {}
        self.waiting = []
        self.started = set()
        self.stats = Pace()
        self.arrivals = Arrivals()
        self.workers = {}
        self.admission = Admission(self)
        self.drawing = Drawing(self)

    def configure(self, limits, upstreams):
        """Take what the configuration and the registry say now.

        Parameters
        ==========

        limits : StageLimits
            Of one upstream.
        upstreams : list
            With ``ident``, ``address``, ``domain`` and ``born``; those that
            take work.
        """
        self.limits = limits
        known = {(one.ident, one.born) for one in upstreams}
        gone = [
            worker
            for worker in self.workers.values()
            if (worker.ident, worker.born) not in known
        ]
        for worker in gone:
            self.workers.pop(worker.ident)
        for one in upstreams:
            if one.ident not in self.workers:
                worker = Worker(one.ident, one.address, one.domain, one.born)
                self.workers[one.ident] = worker
        self.drawing.soon()

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
        if self.quarantine.is_held(group.content):
            waiter.callback(GroupRefused(HELD_REASON))
            return waiter
        waited = self.arrivals.waited(group, self.clock.seconds())
        group.due -= waited
        if not self.admission.takes(group):
            wait = self.wait(group.count)
            waiter.callback(GroupRefused('busy', wait, wait, waited))
            return waiter
        job = Job(group, self.clock.seconds(), waited)
        job.waiters.append(waiter)
        if on_read is not None and group.inputs:
            job.on_read.append(on_read)
        self.jobs[group.ident] = job
        left = max(0, group.deadline - self.clock.seconds())
        job.timer = self.clock.callLater(left, self._refuse, job, 'late')
        self.waiting.extend(job.pieces)
        self.drawing.soon()
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
                self._end(job, GroupRefused(NO_WORKERS))

    def cancel(self, request):
        """Forget all that a request waits for; its results are released."""
        for job in list(self.jobs.values()):
            if job.group.request == request:
                self._refuse(job, 'cancelled')

    def withdraw(self, content):
        """Refuse what waits of a request that crashes upstreams."""
        for job in list(self.jobs.values()):
            if job.group.content == content:
                self._refuse(job, HELD_REASON)

    def release(self, handles):
        """Release results that were read, or that nobody will read."""
        self.releases.add(handles)

    def wait(self, count=1):
        """Return seconds until new pieces would be made."""
        return self.admission.wait(count)

    def _freed(self, address, handles):
        for worker in self.workers.values():
            if worker.address != address:
                continue
            for handle in handles:
                worker.held.pop(handle, None)
        self.drawing.soon()

    def inputs_read(self, batch):
        """Tell who waits that the inputs of a call's groups were fetched."""
        groups = {piece.group.ident for piece in batch}
        for ident in groups:
            job = self.jobs.get(ident)
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
            if not arrived or self._may_repeat(piece):
                self.waiting.append(piece)
            elif not piece.flights:
                self._refuse(job, 'failed')
        self.drawing.soon()

    def _may_repeat(self, piece):
        if not self.quarantine.may_repeat(piece.group.content):
            return False
        return piece.sent < _MOST_SENT and self.spend(self.service, 1)

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
        if piece.flights:
            # Another call holds it as well, and may still make it.
            return
        if made.reason in {_NO_ROOM, _ERROR}:
            self.put_back([piece], arrived=made.reason == _ERROR)
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
        self.stats.record_made(self.clock.seconds())
        if piece in self.waiting:
            self.waiting.remove(piece)
        self._finish_whole(job)

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
        self._end(
            job,
            GroupDone(
                handles, self.wait(), self.admission.is_tight(), job.waited
            ),
        )

    def _refuse(self, job, reason):
        if job.group.ident not in self.jobs:
            return
        wait = self.wait()
        self.log(
            events.STAGE_REFUSED,
            request=job.group.request,
            service=self.service,
            step=job.group.step,
            reason=reason,
            waiting=len(self.waiting),
        )
        self.release([handle for handle in job.handles() if handle])
        self._end(job, GroupRefused(reason, wait, wait))

    def _end(self, job, outcome):
        # Who waits for one group of a request may withdraw its others at the
        # same instant, while this host still goes through them.
        if self.jobs.pop(job.group.ident, None) is None:
            return
        self.waiting = [
            piece for piece in self.waiting if piece.group is not job.group
        ]
        self.started.discard(job.group.ident)
        job.end(outcome)


def _unknown(service):
    """Stand for the number of upstreams of a queue without a registry."""
    return 0
