"""One call of a batch to a worker, with its timeouts and outcome."""

from pollenstile.stagework import events
from pollenstile.stagework._calltimes import call_seconds, full_seconds
from pollenstile.stagework._types import CallLost
from pollenstile.stagework._workers import is_missed

# A call that takes over this many times its expected time, plus a margin in
# full calls, is slow: its pieces are also sent to another worker. A healthy
# upstream needs twice its time when its queue holds one call of another owner.
_SLOW_FACTOR = 2.0
_SLOW_MARGIN_CALLS = 0.55
# Multiple of an upstream's own usual call time from which a call is slow.
_OWN_SLOW_FACTOR = 1.5
# Multiple of its expected time after which a call is given up: its worker may
# get another one, while an answer to it is still taken.
_GIVE_UP_FACTOR = 8.0
# Seconds that a worker rests after its first failure in a row; each further one
# doubles them, up to the maximum.
_FIRST_REST_SECONDS = 0.25
_MAX_REST_SECONDS = 4.0
_MAX_REST_DOUBLINGS = 10
# Maximum halvings of a batch after refusals for lack of memory: down to one
# piece.
_MAX_BATCH_HALVINGS = 8
# Weight of the latest call in a worker's speed.
_SPEED_SMOOTHING = 0.4
# Multiple of its expected time that a single late call counts in its worker's
# speed at most. A worker that stood still once is not slow; one that is slow
# has two late calls in a row.
_MAX_SINGLE_RATIO = 2.0
# Seconds after which a call has fetched its inputs: the transfer takes 3 ms,
# and a free upstream starts at once. If inputs were held until the call ends,
# results of the step before would take up memory for four times as long.
_INPUTS_FETCHED_SECONDS = 0.1
# Multiple of the usual call time up to which an upstream is considered to work
# for this owner only.
_MAX_EXCLUSIVE_SPEED = 1.25


class BatchCall:
    """One call of a batch to a worker.

    Parameters
    ==========

    owner : Owner
        Owner of the pieces.
    worker : Worker
        Recipient of the call.
    batch : list of Piece
        Pieces to send.
    """

    __slots__ = (
        'batch',
        'ended',
        'expected',
        'give_up_timer',
        'holds_pieces',
        'is_given_up',
        'owner',
        'size',
        'slow_seconds',
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
        self.slow_seconds = 0.0
        self.give_up_timer = None
        self.is_given_up = False
        self.holds_pieces = True
        self.ended = False

    def start(self):
        """Send the call."""
        worker = self.worker
        worker.calls += 1
        worker.pieces_in_flight += len(self.batch)
        worker.bytes_in_flight += self.size
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
        slow = self.expected * max(
            _SLOW_FACTOR, worker.speed * _OWN_SLOW_FACTOR
        )
        self.slow_timer = self.owner.clock.callLater(
            slow + _SLOW_MARGIN_CALLS * full_seconds(self.owner.limits),
            self._handle_slow,
        )
        self.owner.clock.callLater(
            _INPUTS_FETCHED_SECONDS, self._inputs_fetched
        )
        limit = self.expected * _GIVE_UP_FACTOR
        self.give_up_timer = self.owner.clock.callLater(limit, self._give_up)
        latest = max(piece.group.deadline for piece in self.batch)
        limit = max(limit, latest - self.started)
        result = self.owner.call(worker, self.batch, limit)
        result.addCallback(self._handle_outcome)
        result.addErrback(self._handle_crash)

    def _inputs_fetched(self):
        # Calls of another owner or a slow upstream may delay this call; its
        # inputs would be gone before it starts if they were released now.
        if self.ended or self.worker.speed >= _MAX_EXCLUSIVE_SPEED:
            return
        for piece in self.batch:
            piece.inputs_fetched = True
        self.owner.inputs_read(self.batch)

    def _handle_slow(self):
        self.slow_seconds = self.owner.clock.seconds() - self.started
        self.owner.log(
            events.STAGE_CALL_SLOW,
            level='warning',
            service=self.owner.service,
            peer=self.worker.ident,
        )
        for piece in self.batch:
            piece.sent += 1
        self.owner.requeue(self.batch, arrived=True)

    def _update_speed(self, seconds):
        ratio = seconds / self.expected
        worker = self.worker
        counted = min(ratio, max(_MAX_SINGLE_RATIO, worker.last_ratio))
        worker.last_ratio = ratio
        worker.speed += _SPEED_SMOOTHING * (counted - worker.speed)

    def _give_up(self):
        # Pieces that can't be sent again are refused now if other workers
        # answer, and wait for this call if all are silent.
        owner = self.owner
        is_alone = is_missed(
            self.worker,
            owner.workers.values(),
            full_seconds(owner.limits),
            owner.clock.seconds(),
        )
        self._free_worker()
        self.is_given_up = True
        if is_alone:
            self._free_pieces()
        self._handle_lost(
            CallLost('timeout', self.worker.ident, arrived=True),
            slow=not self.slow_timer.active(),
        )

    def _free_worker(self):
        if self.is_given_up:
            return
        worker = self.worker
        worker.calls -= 1
        worker.pieces_in_flight -= len(self.batch)
        worker.bytes_in_flight -= self.size
        worker.busy_until = self.owner.clock.seconds()

    def _free_pieces(self):
        if not self.holds_pieces:
            return
        self.holds_pieces = False
        for piece in self.batch:
            piece.calls_in_flight -= 1
            piece.inputs_fetched = False

    def _handle_outcome(self, outcome):
        self.ended = True
        slow = not self.slow_timer.active()
        if not slow:
            self.slow_timer.cancel()
        if self.give_up_timer.active():
            self.give_up_timer.cancel()
        self._free_worker()
        self._free_pieces()
        if isinstance(outcome, CallLost):
            if self.is_given_up:
                self._requeue_unmade(outcome)
                return
            self._handle_lost(outcome, slow=slow)
            return
        self._note_answered()
        self._update_memory(outcome)
        expires_at = self.owner.clock.seconds() + self.owner.limits.hold_seconds
        for piece, result in zip(self.batch, outcome, strict=True):
            if result.handle:
                size = piece.group.result_bytes
                self.worker.held[result.handle] = (size, expires_at)
            piece.sent += not slow
            self.owner.record_result(piece, result)
        self.owner.dispatcher.schedule()

    def _note_answered(self):
        worker = self.worker
        worker.answered_at = self.owner.clock.seconds()
        if self.is_given_up:
            # Its silence was counted then; now it goes on.
            worker.rest_until = min(worker.rest_until, worker.answered_at)
            return
        self._update_speed(worker.answered_at - self.started)

    def _update_memory(self, outcome):
        worker = self.worker
        worker.failures = 0
        refused = sum(result.reason == 'room' for result in outcome)
        if refused * 2 > len(outcome):
            self.owner.dispatcher.pause_worker(worker, refused, len(outcome))
        if any(result.handle for result in outcome):
            worker.refusals = 0
        else:
            worker.refusals = min(worker.refusals + 1, _MAX_BATCH_HALVINGS)

    def _handle_lost(self, lost, *, slow):
        worker = self.worker
        if slow:
            self._update_speed(self.slow_seconds)
        if worker.asked_until <= self.owner.clock.seconds():
            self._pause_worker()
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
        self._requeue_unmade(lost)

    def _requeue_unmade(self, lost):
        # Pieces of a slow call are waiting again already, or are in another
        # call.
        own = int(self.holds_pieces)
        free = [piece for piece in self.batch if piece.calls_in_flight == own]
        self.owner.requeue(free, arrived=lost.arrived)

    def _pause_worker(self):
        worker = self.worker
        rest = min(_MAX_REST_SECONDS, _FIRST_REST_SECONDS * 2**worker.failures)
        worker.failures = min(worker.failures + 1, _MAX_REST_DOUBLINGS)
        worker.rest_until = self.owner.clock.seconds() + rest

    def _handle_crash(self, failure):
        if self.ended:
            return failure
        peer = self.worker.ident
        reason = repr(failure.value)
        self._handle_outcome(CallLost(reason, peer, arrived=True))
        return None
