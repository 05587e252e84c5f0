"""Runs one stage of a request: attempts, hedges and retries.

Explanation
===========

Several attempts may be in flight, hedges and those beside silent ones. The
first that brings the next token or the reply answers, and the others end.
"""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.limits import FAILED, USEFUL, expected_time
from pollenstile.ops.lateness import reading_time
from pollenstile.ops.timers import cancel_timer
from pollenstile.pipeline import events
from pollenstile.pipeline._assembly import Assembly
from pollenstile.pipeline._attempts import Attempts
from pollenstile.pipeline._decisions import (
    attempt_timeout,
    has_enough_time,
    hedge_avoids_queue,
)
from pollenstile.pipeline._departure import LEAVING
from pollenstile.pipeline._learning import (
    record_first_token,
    record_reply,
    record_slow_attempt,
)
from pollenstile.pipeline._silence import (
    may_retry_now,
    may_send_now,
    note_heard,
    remaining_seconds,
    start_beside,
    watch_later,
)
from pollenstile.upstream import Chunk, Lost, NotRun, Rejected, Reply

_MS = 1000
_HEDGE_PERCENTILE = 95
_HEDGE_FACTOR = 2


@dataclass(slots=True, frozen=True)
class StageDone:
    """The stage's result and its cost."""

    output: object
    cost: float


@dataclass(slots=True, frozen=True)
class StageFailed:
    """The stage has no result.

    Parameters
    ==========

    reason, peer : str
        Reason of the last failure, and the upstream that it occurred at.
    cost : float
        Cost of all attempts.
    may_have_run : bool
        Whether any attempt may have run.
    rejected : bool
        Whether an upstream rejected the call as invalid.
    retry_after : float
        Seconds that the upstream asks to wait; 0 if it sent no time.
    """

    reason: str
    peer: str
    cost: float
    may_have_run: bool
    rejected: bool = False
    retry_after: float = 0.0


class StageRun:
    """Execution of one stage: sends attempts and selects their result.

    Parameters
    ==========

    core : Core
        Components of the host.
    request : Request
        The request that the stage belongs to.
    stage : Stage
        The stage's declaration.
    content : object
        The stage's input.
    deadline : float
        Time by which the stage needs its result, on the clock, in seconds.
    on_token : function
        Takes each token of a streamed result once, in order.
    """

    __slots__ = (
        'assembly',
        'attempts',
        'core',
        'deadline',
        'expected',
        'failures',
        'hedge_due',
        'hedge_timer',
        'last_failure',
        'last_peer',
        'on_token',
        'request',
        'result',
        'stage',
        'started',
    )

    def __init__(self, core, request, stage, content, deadline, on_token):
        self.core = core
        self.request = request
        self.stage = stage
        self.deadline = deadline
        self.on_token = on_token
        self.attempts = Attempts(core, request, stage, content)
        self.expected = expected_time(request.name, stage, core.tracker)
        self.assembly = Assembly()
        self.result = Deferred(self._on_cancel)
        self.failures = 0
        self.last_failure = NotRun('no upstream')
        self.last_peer = ''
        self.hedge_due = 0.0
        self.hedge_timer = None
        self.started = core.clock.seconds()

    def start(self):
        """Send the first attempt; return a Deferred of the stage's result."""
        self.core.retries.earn()
        self._dispatch('first')
        if self.stage.hedge and self.attempts.in_flight:
            self._schedule_hedge()
        return self.result

    def _dispatch(self, why):
        # Earlier stages may have used the time that admission expected here.
        if not _has_enough_time(self):
            self.last_failure = NotRun('deadline')
            self._fail()
            return
        if not may_send_now(self):
            self.last_failure = NotRun(LEAVING)
            self._fail()
            return
        choice = self.attempts.select_upstream()
        if choice is None:
            self.core.log(
                events.NO_UPSTREAM,
                level='warning',
                request=self.request.ident,
                step=self.stage.name,
                pool=self.stage.pool,
            )
            if not self.failures:
                self.last_failure = self.attempts.permissions.no_upstream()
            self._fail()
            return
        self.send(choice, why)

    def send(self, choice, why):
        """Send an attempt to an upstream, for this reason."""
        remaining = remaining_seconds(self)
        attempt = self.attempts.add(choice, why)
        attempt.limit = attempt_timeout(
            remaining,
            self.expected,
            max(0, self.stage.attempts - attempt.number),
        )
        watch_later(self, attempt, attempt.limit)
        self.attempts.send(attempt, remaining, self.assembly, self.on_event)

    def _schedule_hedge(self):
        # The first sign of progress is a stream's first token; for other calls
        # it is their reply.
        measure = 'first' if self.attempts.pool.kind == 'engine' else 'attempt'
        delay = self.core.tracker.quantile(
            (self.request.name, self.stage.name, measure),
            _HEDGE_PERCENTILE,
            self.expected,
        )
        self._start_hedge_timer(_HEDGE_FACTOR * delay)

    def _start_hedge_timer(self, seconds):
        clock = self.core.clock
        self.hedge_due = clock.seconds() + seconds
        self.hedge_timer = clock.callLater(seconds, self._send_hedge)

    def _send_hedge(self):
        grace = reading_time(self.core.clock.seconds(), self.hedge_due)
        if grace:
            self._start_hedge_timer(grace)
            return
        in_flight = list(self.attempts.in_flight.values())
        if (
            len(in_flight) != 1
            or in_flight[0].has_output
            or not _has_enough_time(self)
            or not may_send_now(self)
        ):
            return
        choice = self.attempts.select_upstream()
        if choice is None or not hedge_avoids_queue(choice):
            return
        if not self.core.retries.spent():
            return
        self.core.log(
            events.HEDGED,
            request=self.request.ident,
            step=self.stage.name,
            peer=in_flight[0].choice.name,
        )
        self.core.count('stage.hedged')
        self.send(choice, 'hedge')

    def on_event(self, attempt, event):
        """Handle an event of an attempt in flight."""
        if attempt.number not in self.attempts.in_flight:
            self.core.count('reply.late')
            return
        if _is_heard(event) and not _is_repeat(self, event):
            note_heard(self.attempts, attempt)
        if isinstance(event, Chunk):
            self._on_chunk(attempt, event)
            return
        if isinstance(event, Reply):
            self._on_reply(attempt, event)
            return
        if self._is_foreign_refusal(attempt, event):
            self._on_failure(attempt, Lost('foreign refusal'))
            return
        self._on_failure(attempt, event)

    def _is_foreign_refusal(self, attempt, event):
        # A refusal without an attempt id was made on this host: the call was
        # never sent.
        stated = getattr(event, 'attempt', None)
        return stated is not None and self._is_foreign(attempt, event)

    def _is_foreign(self, attempt, event):
        # An upstream that mixes up its connections sends one caller the result
        # or the refusal of another. Such a refusal would be taken as proof that
        # this call did not run. Replies carry the attempt id of their call;
        # ids are never reused, so comparing them is sufficient.
        if event.attempt == attempt.ident:
            return False
        self.core.count('reply.foreign')
        self.core.log(
            events.FOREIGN_REPLY,
            level='error',
            request=self.request.ident,
            step=self.stage.name,
            peer=attempt.choice.name,
            stated=event.attempt,
        )
        return True

    def _on_chunk(self, attempt, chunk):
        if self._is_foreign(attempt, chunk):
            self._on_failure(attempt, Lost('foreign chunk'))
            return
        if not attempt.has_output:
            attempt.has_output = True
            record_first_token(self.attempts, attempt)
            attempt.limit = (
                self.request.snapshot.manifest.policy.silence_ms / _MS
            )
            cancel_timer(attempt.timer)
            watch_later(self, attempt, attempt.limit)
        if self.assembly.append_if_next(chunk.offset, chunk.text):
            self.attempts.drop_all(kept=attempt)
            self.on_token(chunk.text)
            return
        if self.assembly.has_gap(chunk.offset):
            self._on_failure(attempt, Lost('gap in stream'))

    def _on_reply(self, attempt, reply):
        if self._is_foreign(attempt, reply):
            self._on_failure(attempt, Lost('foreign reply'))
            return
        if _is_incomplete(self, reply):
            self._on_failure(attempt, Lost('incomplete stream'))
            return
        record_reply(self.attempts, attempt, reply)
        busy_seconds = reply.busy_ms / _MS
        self.attempts.release(attempt, reply.load, busy_seconds=busy_seconds)
        self.attempts.charge(attempt, USEFUL)
        self.attempts.drop_all()
        elapsed_seconds = self.core.clock.seconds() - self.started
        self.core.tracker.measured(
            (self.request.name, self.stage.name), elapsed_seconds
        )
        self.core.timing(f'stage.{self.stage.name}', elapsed_seconds * _MS)
        self.core.ledger.consume(
            self.request,
            self.stage.name,
            attempt.ident,
        )
        self._finish(StageDone(_build_output(self, reply), self.attempts.cost))

    def _on_failure(self, attempt, failure):
        self.failures += 1
        self.last_failure = failure
        self.last_peer = attempt.choice.name
        load = getattr(failure, 'load', None)
        if isinstance(failure, Lost) and not attempt.is_silent:
            record_slow_attempt(self.attempts, attempt)
        is_upstream_failure = not isinstance(failure, Rejected)
        self.attempts.release(attempt, load, failed=is_upstream_failure)
        if isinstance(failure, Lost):
            self.attempts.charge(attempt, FAILED)
            self.attempts.abandon(attempt)
        else:
            self.attempts.give_back(attempt)
        self._log_failure(attempt, failure)
        if not self.attempts.in_flight:
            self._retry_or_fail(failure)
            return
        if not isinstance(failure, Rejected):
            start_beside(self)

    def _log_failure(self, attempt, failure):
        self.core.count('attempt.failed')
        self.core.log(
            events.ATTEMPT_FAILED,
            level='warning',
            request=self.request.ident,
            step=self.stage.name,
            attempt=attempt.number,
            peer=attempt.choice.name,
            kind=type(failure).__name__,
            reason=failure.reason,
        )

    def _retry_or_fail(self, failure):
        allowed = may_retry_now(
            self, self.failures, may_have_run=self.attempts.may_have_run
        )
        if isinstance(failure, Rejected) or not allowed:
            self._fail()
            return
        if not self.core.retries.spent():
            self._fail()
            return
        self.core.count('stage.retried')
        self._dispatch('retry')

    def _fail(self):
        # Attempts in flight may still run, but their results are not used.
        self.attempts.drop_all()
        failure = self.last_failure
        self._finish(
            StageFailed(
                reason=failure.reason,
                peer=self.last_peer,
                cost=self.attempts.cost,
                may_have_run=self.attempts.may_have_run,
                rejected=isinstance(failure, Rejected),
                retry_after=getattr(failure, 'retry_after', 0),
            ),
        )

    def _finish(self, result):
        cancel_timer(self.hedge_timer)
        if not self.result.called:
            self.result.callback(result)

    def _on_cancel(self, deferred):
        # The caller has disconnected and cannot use the result, so the calls
        # to upstreams are cancelled.
        cancel_timer(self.hedge_timer)
        self.attempts.drop_all()


def _is_heard(event):
    # A loss or a refusal without an attempt id can arise on this host.
    return getattr(event, 'attempt', None) is not None


def _is_repeat(run, event):
    # A token that the caller has brings nothing, and is no sign of life.
    if not isinstance(event, Chunk):
        return False
    return event.offset < run.assembly.length()


def _has_enough_time(run):
    return has_enough_time(run.stage, remaining_seconds(run), run.expected)


def _is_stream(run):
    return run.attempts.pool.kind == 'engine'


def _build_output(run, reply):
    # The reply's text is built without checking offsets, so it contains a
    # repeated token twice. The assembled stream is correct.
    return run.assembly.text() if _is_stream(run) else reply.output


def _is_incomplete(run, reply):
    if not _is_stream(run):
        return False
    return reply.tokens != run.assembly.length()
