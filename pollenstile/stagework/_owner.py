"""Owner of a stage service's queue: waiting pieces, calls and results."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.quarantine import HELD_REASON, Quarantine
from pollenstile.returns import ReturnTimes
from pollenstile.shares import AdmissionShares
from pollenstile.stagework import events
from pollenstile.stagework._admission import LATE, Admission
from pollenstile.stagework._arrivals import Arrivals
from pollenstile.stagework._calllimits import CallLimits
from pollenstile.stagework._dispatcher import Dispatcher
from pollenstile.stagework._jobs import Job
from pollenstile.stagework._queuestats import QueueStats
from pollenstile.stagework._releases import Releases
from pollenstile.stagework._returning import (
    admits_due,
    refusal,
    forget_promise,
)
from pollenstile.stagework._types import GroupDone, GroupRefused, Worker

_MS = 1000
# Refusal reason of a host that reaches no upstream of a stage.
NO_WORKERS = 'no workers'
# Maximum number of calls that may have made one piece, after which it is not
# sent again.
_MAX_SENDS = 3
# Reasons after which a piece is queued again. After an error, the upstream may
# have made the piece.
_NO_MEMORY = 'room'
_ERROR = 'error'


class Owner:
    """One stage service's queue at the host that owns it.

    Explanation
    ===========

    All pieces wait in this queue and none at an upstream, so no piece is bound
    to a busy upstream while another one is free.

    Parameters
    ==========

    clock : IReactorTime
        Source of time for calls and rests.
    service : str
        Service whose upstreams process the queue.
    call : function
        Takes a worker, pieces and remaining seconds; returns a Deferred of a
        list of :class:`Result` in their order, or of :class:`CallLost`.
    free : function
        Takes an address and handles that are no longer needed; returns a
        Deferred of whether they were released.
    spend : function
        Takes a service and a number of pieces; returns whether the repeat
        budget allows them.
    quarantine : Quarantine
        Requests that crash upstreams.
    permissions : Permissions or None
        What upstreams state to the host.
    log : function
        Writes events.

    Attributes
    ==========

    jobs : dict
        Unfinished groups by request and step.
    waiting : list of Piece
        Pieces that are not in any call.
    started : set
        Groups with a piece that is done or in a call.
    call_limits : CallLimits
        Calls that may be made to workers, by what these state.
    stats : QueueStats
        Recent rates of the queue.
    admission : Admission
        Decides which groups may join the queue.
    shares : AdmissionShares or None
        Shares by urgency and team; None unless the service is graded.
    dispatcher : Dispatcher
        Makes the calls.
    returns : ReturnTimes or None
        Return times of refused callers; None where none are promised.
    workers : dict
        Workers by identifier.
    """

    __slots__ = (
        'admission',
        'arrivals',
        'call',
        'call_limits',
        'clock',
        'dispatcher',
        'jobs',
        'limits',
        'log',
        'quarantine',
        'releases',
        'returns',
        'service',
        'shares',
        'spend',
        'started',
        'stats',
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
        permissions=None,
    ):
        self.clock = clock
        self.service = service
        self.call = call
        self.call_limits = CallLimits(service, permissions)
        self.releases = Releases(
            clock, free, self._handle_freed, partial(_seconds_asked, self), log
        )
        self.spend = spend
        self.log = log
        self.quarantine = quarantine or Quarantine(
            clock, '', _unknown_count, log
        )
        self.limits = None
        self.shares = None
        self.jobs = {}
        self.waiting = []
        self.started = set()
        self.stats = QueueStats()
        self.arrivals = Arrivals()
        self.workers = {}
        self.admission = Admission(self)
        self.dispatcher = Dispatcher(self)
        self.returns = None

    def configure(self, limits, upstreams, *, graded=False, promises=False):
        """Apply the current configuration and registry.

        Parameters
        ==========

        limits : StageLimits
            Limits of one upstream.
        upstreams : list
            Upstreams that accept work, with ``ident``, ``address``, ``domain``
            and ``born``.
        graded : bool
            Whether the queue admits by shares; see
            :func:`~pollenstile.shares.is_graded`.
        promises : bool
            Whether refused callers are promised times to return.
        """
        self.limits = limits
        if not graded:
            self.shares = None
        elif self.shares is None:
            self.shares = AdmissionShares()
        if not promises:
            self.returns = None
        elif self.returns is None:
            self.returns = ReturnTimes(self.service, self.log)
        known = {(upstream.ident, upstream.born) for upstream in upstreams}
        gone = [
            worker
            for worker in self.workers.values()
            if (worker.ident, worker.born) not in known
        ]
        for worker in gone:
            self.workers.pop(worker.ident)
        for upstream in upstreams:
            if upstream.ident not in self.workers:
                worker = Worker(
                    upstream.ident,
                    upstream.address,
                    upstream.domain,
                    upstream.born,
                )
                self.workers[upstream.ident] = worker
        self.call_limits.update(self.workers.values())
        self.dispatcher.schedule()

    def submit(self, group, on_read=None):
        """Return a Deferred of ``GroupDone`` or ``GroupRefused``.

        Explanation
        ===========

        A host that lost its connection submits the same group again; it joins
        the existing job, and no piece is made twice.

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
        if self.quarantine.is_held(group.fingerprint):
            waiter.callback(GroupRefused(HELD_REASON))
            return waiter
        waited = self.arrivals.seconds_since_first(group, self.clock.seconds())
        group.due -= waited
        if not admits_due(self, group):
            if not self.admission.admits(group):
                waiter.callback(refusal(self, group, waited))
                return waiter
            forget_promise(self, group)
        job = Job(group, self.clock.seconds(), waited)
        job.waiters.append(waiter)
        if on_read is not None and group.inputs:
            job.on_read.append(on_read)
        self.jobs[group.ident] = job
        remaining = max(0, group.deadline - self.clock.seconds())
        job.timer = self.clock.callLater(remaining, self._refuse, job, LATE)
        self.waiting.extend(job.pieces)
        self.dispatcher.schedule()
        return waiter

    def hand_over(self):
        """Refuse the groups of which no piece was sent in a call.

        Explanation
        ===========

        When ownership of the queue passes to another host, both queues would
        use the same upstreams, and pieces in the older queue would wait twice
        as long. So the requesting hosts receive ``NO_WORKERS`` and submit the
        groups to the new owner; nothing is made twice.
        """
        for job in list(self.jobs.values()):
            if not job.started_at:
                self._end(job, GroupRefused(NO_WORKERS))

    def cancel(self, request):
        """Remove all groups of a request and release their results."""
        for job in list(self.jobs.values()):
            if job.group.request == request:
                self._refuse(job, 'cancelled')

    def withdraw(self, fingerprint):
        """Refuse the groups of a request that crashes upstreams."""
        for job in list(self.jobs.values()):
            if job.group.fingerprint == fingerprint:
                self._refuse(job, HELD_REASON)

    def release(self, handles):
        """Release results that were read or that will not be read."""
        self.releases.add(handles)

    def wait(self, count=1):
        """Return the expected wait in seconds of new pieces."""
        return self.admission.wait(count)

    def _handle_freed(self, address, handles):
        for worker in self.workers.values():
            if worker.address != address:
                continue
            for handle in handles:
                worker.held.pop(handle, None)
        self.dispatcher.schedule()

    def inputs_read(self, batch):
        """Notify the waiting callers whose inputs a call has fetched."""
        groups = {piece.group.ident for piece in batch}
        for ident in groups:
            job = self.jobs.get(ident)
            if job is not None and job.all_inputs_read():
                job.notify_inputs_read()

    def requeue(self, pieces, *, arrived):
        """Queue the pieces of a call without results again.

        Parameters
        ==========

        arrived : bool
            Whether the upstream may have received the call and made them; a
            repeat is then charged to the repeat budget.
        """
        for piece in pieces:
            job = self._job_of(piece)
            if job is None or piece in self.waiting:
                continue
            if not arrived or self._may_repeat(piece):
                self.waiting.append(piece)
            elif not piece.calls_in_flight:
                self._refuse(job, 'failed')
        self.dispatcher.schedule()

    def _may_repeat(self, piece):
        if not self.quarantine.may_repeat(piece.group.fingerprint):
            return False
        return piece.sent < _MAX_SENDS and self.spend(self.service, 1)

    def record_result(self, piece, result):
        """Record one piece's result, or the reason why it has none."""
        job = self._job_of(piece)
        if job is None:
            if result.handle:
                self.release((result.handle,))
            return
        if result.handle:
            self._store_handle(job, piece, result.handle)
            return
        if piece.calls_in_flight:
            # Another call holds the piece as well, and may still make it.
            return
        if result.reason in {_NO_MEMORY, _ERROR}:
            self.requeue([piece], arrived=result.reason == _ERROR)
            return
        self._refuse(job, result.reason)

    def _job_of(self, piece):
        """Return the job that still needs a piece, or None."""
        job = self.jobs.get(piece.group.ident)
        if job is None or piece not in job.pieces or piece.handle:
            return None
        return job

    def _store_handle(self, job, piece, handle):
        piece.handle = handle
        self.stats.record_made(self.clock.seconds())
        if piece in self.waiting:
            self.waiting.remove(piece)
        self._finish_if_complete(job)

    def _finish_if_complete(self, job):
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
            waited_ms=int((job.started_at - job.arrived_at) * _MS),
            took_ms=int((now - job.arrived_at) * _MS),
            due_ms=int((job.group.due - now) * _MS),
            returned=job.group.is_returning,
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
        # A caller that waits for one group of a request may cancel its other
        # groups in the callback, while this host still iterates over the jobs.
        if self.jobs.pop(job.group.ident, None) is None:
            return
        self.waiting = [
            piece for piece in self.waiting if piece.group is not job.group
        ]
        self.started.discard(job.group.ident)
        job.end(outcome)


def _unknown_count(service):
    """Stand in for the number of upstreams of a queue without a registry."""
    return 0


def _seconds_asked(owner, address):
    """Return the seconds for which a worker's address wants nothing sent."""
    until = max(
        (
            worker.asked_until
            for worker in owner.workers.values()
            if worker.address == address
        ),
        default=0.0,
    )
    return max(0.0, until - owner.clock.seconds())
