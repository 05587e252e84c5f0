"""One call of a batch, from its start to its end."""

from pollenstile.stagework import events
from pollenstile.stagework._calltimes import call_seconds, full_seconds
from pollenstile.stagework._types import CallLost

# A call of over this many times its expected time, and a margin in full calls,
# counts as slow: its pieces are tried elsewhere as well. Twice is what a
# sound upstream needs when its queue holds one call of another owner.
_SLOW_FACTOR = 2.0
_SLOW_CALLS = 0.55
# Times the usual time of an upstream's own calls after which one is slow.
_OWN_SLOW_FACTOR = 1.5
# A call of this many times its expected time is given up.
_LOST_FACTOR = 8.0
# Seconds that a worker rests after its first failure in a row, and at most.
_FIRST_REST = 0.25
_LONGEST_REST = 4.0
_MOST_DOUBLINGS = 10
# Halvings of a batch that is refused for want of room: down to one piece.
_MOST_REFUSALS = 8
# Share of the newest call in a worker's speed.
_NEWEST = 0.4
# Seconds after which a call has fetched its inputs: they cross in 3 ms, and an
# upstream that was free begins at once. Held until the call ends, results of
# the step before would keep their room for four times as long.
_READ_SECONDS = 0.1
# Times the usual time of a call up to which an upstream works for this owner
# alone.
_ALONE_SPEED = 1.25


class Flight:
    """One call of a batch.

    Parameters
    ==========

    owner : Owner
        Whose pieces they are.
    worker : Worker
        Where they go.
    batch : list of Piece
        What goes.
    """

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
        slow = self.expected * max(
            _SLOW_FACTOR, worker.speed * _OWN_SLOW_FACTOR
        )
        self.slow_timer = self.owner.clock.callLater(
            slow + _SLOW_CALLS * full_seconds(self.owner.limits),
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
        if self.ended or self.worker.speed >= _ALONE_SPEED:
            return
        for piece in self.batch:
            piece.read = True
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
            piece.read = False

    def _done(self, outcome):
        self.ended = True
        slow = not self.slow_timer.active()
        if not slow:
            self.slow_timer.cancel()
        self._land()
        if isinstance(outcome, CallLost):
            self._lost(outcome, slow=slow)
            return
        self._learn_speed(self.owner.clock.seconds() - self.started)
        self._learn_room(outcome)
        lapses = self.owner.clock.seconds() + self.owner.limits.hold_seconds
        for piece, made in zip(self.batch, outcome, strict=True):
            if made.handle:
                size = piece.group.result_bytes
                self.worker.held[made.handle] = (size, lapses)
            piece.sent += not slow
            self.owner.made(piece, made)
        self.owner.drawing.soon()

    def _learn_room(self, outcome):
        worker = self.worker
        worker.failures = 0
        refused = sum(made.reason == 'room' for made in outcome)
        if refused * 2 > len(outcome):
            self.owner.drawing.note_full(worker, refused, len(outcome))
        if any(made.handle for made in outcome):
            worker.refusals = 0
        else:
            worker.refusals = min(worker.refusals + 1, _MOST_REFUSALS)

    def _lost(self, lost, *, slow):
        worker = self.worker
        rest = min(_LONGEST_REST, _FIRST_REST * 2**worker.failures)
        worker.failures = min(worker.failures + 1, _MOST_DOUBLINGS)
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
        # Pieces of a slow call wait again already, or are in another call.
        free = [piece for piece in self.batch if not piece.flights]
        self.owner.put_back(free, arrived=lost.arrived)

    def _crashed(self, failure):
        if self.ended:
            return failure
        peer = self.worker.ident
        reason = repr(failure.value)
        self._done(CallLost(reason, peer, arrived=True))
        return None
