"""Dispatch of waiting pieces to free workers in batches."""

from pollenstile.ops.loops import RESTART_SECONDS, log_failure
from pollenstile.stagework import events
from pollenstile.stagework._batchcall import BatchCall
from pollenstile.stagework._batching import (
    batch_for,
    batchable,
    unreserved_bytes,
)
from pollenstile.stagework._calltimes import call_seconds, full_seconds
from pollenstile.stagework._locality import eligible_pieces, seconds_until_free
from pollenstile.stagework._ranking import ranked
from pollenstile.stagework._workers import may_start

_LOOP = 'dispatch of stages'
# Seconds for which simultaneous pieces are gathered before calls are made.
_GATHER_SECONDS = 0.002
# Time in full calls for which a worker without free memory gets no new call:
# about half of the time that a result is held before it is read.
_NO_MEMORY_PAUSE_CALLS = 0.55


class Dispatcher:
    """Sends waiting pieces to free workers.

    Parameters
    ==========

    owner : Owner
        Owner of the queue.
    """

    __slots__ = ('owner', 'rest_timer', 'timer')

    def __init__(self, owner):
        self.owner = owner
        self.timer = None
        self.rest_timer = None

    def schedule(self):
        """Schedule a dispatch, together with other work of this instant."""
        if self.timer is None and self.owner.waiting:
            self.timer = self.owner.clock.callLater(
                _GATHER_SECONDS, self._dispatch_or_retry
            )

    def _dispatch_or_retry(self):
        self.timer = None
        try:
            self._dispatch()
        except Exception as error:
            # The pieces would wait for a piece that comes later.
            log_failure(self.owner.log, _LOOP, error)
            self.owner.clock.callLater(RESTART_SECONDS, self.schedule)

    def _dispatch(self):
        now = self.owner.clock.seconds()
        workers = sorted(
            self.owner.workers.values(),
            key=lambda worker: (worker.speed, len(worker.held)),
        )
        waiting = len(self.owner.waiting)
        free = [
            worker
            for worker in workers
            if may_start(worker, workers, self.owner.limits, waiting, now)
            and self.owner.call_limits.may_call(worker)
        ]
        while free and self.owner.waiting:
            self._start_call(free.pop(0), free, now)
        self._schedule_after_rest(workers, now)

    def _schedule_after_rest(self, workers, now):
        """Schedule a dispatch for when the next worker has rested.

        Explanation
        ===========

        The end of a rest has a timer of its own. When it shared the gathering
        timer, nothing was dispatched until a failed worker's rest was over, up
        to 4 s, although other workers were free.
        """
        rests = [worker.rest_until - now for worker in workers]
        rests = [rest for rest in rests if rest > 0]
        if rests and self.owner.waiting and self.rest_timer is None:
            self.rest_timer = self.owner.clock.callLater(
                min(rests), self._rest_ended
            )

    def _rest_ended(self):
        self.rest_timer = None
        self.schedule()

    def _start_call(self, worker, others, now):
        limits = self.owner.limits
        count = min(len(self.owner.waiting), limits.batch)
        work = call_seconds(limits, count) * worker.speed
        workers = self.owner.workers.values()
        free_in = seconds_until_free(workers, others, now, full_seconds(limits))
        candidates = eligible_pieces(
            self.owner.waiting,
            worker.domain,
            free_in,
            now,
            work,
            limits.batch * len(workers),
        )
        batch = batch_for(
            batchable(
                ranked(candidates, now, work), self.owner.quarantine.is_suspect
            ),
            worker,
            limits,
            now,
            self.owner.started,
            unreserved_bytes(
                self.owner.waiting, self.owner.started, workers, limits, now
            ),
        )
        if not batch:
            return
        for piece in batch:
            self.owner.waiting.remove(piece)
            piece.calls_in_flight += 1
            self._record_start(piece.group, now)
        self.owner.stats.rate(now, queued=bool(self.owner.waiting))
        self.owner.call_limits.note_called(worker)
        BatchCall(self.owner, worker, batch).start()

    def _record_start(self, group, now):
        job = self.owner.jobs.get(group.ident)
        if job is not None and not job.started_at:
            job.started_at = now

    def pause_worker(self, worker, refused, pieces):
        """Send no calls to a worker without free memory for a while.

        Explanation
        ===========

        Results that another owner had made take up memory that this host does
        not know of. If the refused pieces were sent again at once, they would
        only wait for their turn and be refused again.
        """
        now = self.owner.clock.seconds()
        free = max(0, worker.free_bytes(self.owner.limits, now))
        pause = _NO_MEMORY_PAUSE_CALLS * full_seconds(self.owner.limits)
        worker.foreign = (free, now + pause)
        self.owner.log(
            events.STAGE_ROOM,
            service=self.owner.service,
            peer=worker.ident,
            refused=refused,
            pieces=pieces,
            held=worker.held_bytes(now),
            results=len(worker.held),
            room=self.owner.limits.room_bytes,
        )
        self.owner.clock.callLater(pause, self.schedule)
