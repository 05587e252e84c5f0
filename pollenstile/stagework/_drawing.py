"""Free workers draw from an owner's queue."""

from pollenstile.stagework import events
from pollenstile.stagework._batching import apart, batch_for, spare_bytes
from pollenstile.stagework._calltimes import call_seconds, full_seconds
from pollenstile.stagework._flight import Flight
from pollenstile.stagework._nearness import eligible_pieces, seconds_until_free
from pollenstile.stagework._ranking import ranked
from pollenstile.stagework._workers import may_start

# Seconds that pieces of one instant are gathered before a call is made.
_GATHER = 0.002
# Calls for which a worker that had no room gets nothing more: about half of
# what a result is held before it is read.
_NO_ROOM_CALLS = 0.55


class Drawing:
    """Hands what waits to workers that are free.

    Parameters
    ==========

    owner : Owner
        Whose queue it is.
    """

    __slots__ = ('owner', 'rest_timer', 'timer')

    def __init__(self, owner):
        self.owner = owner
        self.timer = None
        self.rest_timer = None

    def soon(self):
        """Let free workers draw, with what else comes at this instant."""
        if self.timer is None and self.owner.waiting:
            self.timer = self.owner.clock.callLater(_GATHER, self._draw)

    def _draw(self):
        self.timer = None
        now = self.owner.clock.seconds()
        workers = sorted(
            self.owner.workers.values(),
            key=lambda one: (one.speed, len(one.held)),
        )
        waiting = len(self.owner.waiting)
        free = [
            one
            for one in workers
            if may_start(one, workers, self.owner.limits, waiting, now)
        ]
        while free and self.owner.waiting:
            self._start_call(free.pop(0), free, now)
        self._draw_rested(workers, now)

    def _draw_rested(self, workers, now):
        """Draw again when the next worker has rested.

        Explanation
        ===========

        On a timer of its own: while it shared the one that gathers, nothing
        was drawn until a failed worker's rest was over, up to 4 s, though its
        siblings were free.
        """
        rests = [one.rest_until - now for one in workers]
        rests = [rest for rest in rests if rest > 0]
        if rests and self.owner.waiting and self.rest_timer is None:
            self.rest_timer = self.owner.clock.callLater(
                min(rests), self._rested
            )

    def _rested(self):
        self.rest_timer = None
        self.soon()

    def _start_call(self, worker, others, now):
        limits = self.owner.limits
        most = min(len(self.owner.waiting), limits.batch)
        work = call_seconds(limits, most) * worker.speed
        workers = self.owner.workers.values()
        frees_in = seconds_until_free(
            workers, others, now, full_seconds(limits)
        )
        mine = eligible_pieces(
            self.owner.waiting,
            worker.domain,
            frees_in,
            now,
            work,
            limits.batch * len(workers),
        )
        batch = batch_for(
            apart(ranked(mine, now, work), self.owner.quarantine.is_suspect),
            worker,
            limits,
            now,
            self.owner.started,
            spare_bytes(
                self.owner.waiting, self.owner.started, workers, limits, now
            ),
        )
        if not batch:
            return
        for piece in batch:
            self.owner.waiting.remove(piece)
            piece.flights += 1
            self._note_begun(piece.group, now)
        self.owner.stats.rate(now, queued=bool(self.owner.waiting))
        Flight(self.owner, worker, batch).start()

    def _note_begun(self, group, now):
        job = self.owner.jobs.get(group.ident)
        if job is not None and not job.begun:
            job.begun = now

    def note_full(self, worker, refused, pieces):
        """Send a worker nothing more for a moment: it had no room.

        Explanation
        ===========

        Results that another owner had made take up room that this host does
        not know of. Sent again at once, the refused pieces would only wait
        for their turn to be refused again.
        """
        now = self.owner.clock.seconds()
        free = max(0, worker.free_bytes(self.owner.limits, now))
        pause = _NO_ROOM_CALLS * full_seconds(self.owner.limits)
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
        self.owner.clock.callLater(pause, self.soon)
