"""One stage of one request, until its single result."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.limits import FAILED, USEFUL, expected_time
from pollenstile.pipeline import events
from pollenstile.pipeline._assembly import Assembly
from pollenstile.pipeline._attempts import Attempts
from pollenstile.pipeline._decisions import (
    attempt_timeout,
    hedge_helps,
    may_retry,
    worth_sending,
)
from pollenstile.pipeline._learning import (
    learn_first,
    learn_reply,
    learn_slow,
)
from pollenstile.upstream import Chunk, Lost, NotRun, Rejected, Reply

_MS = 1000
_HEDGE_PERCENT = 95
# A rest of time too small to be added to the clock's reading would be waited
# for again and again at one and the same instant.
_LEAST_WAIT = 0.001
_HEDGE_FACTOR = 2


@dataclass(slots=True, frozen=True)
class StageDone:
    """The stage's result and what it cost."""

    output: object
    cost: float


@dataclass(slots=True, frozen=True)
class StageFailed:
    """The stage has no result.

    Parameters
    ==========

    reason, peer : str
        Of the last failure.
    may_have_run : bool
        Whether any attempt may have run.
    rejected : bool
        Whether an upstream says that the call itself is wrong.
    retry_after : float
        Seconds, as the upstream said; 0 when it did not.
    """

    reason: str
    peer: str
    cost: float
    may_have_run: bool
    rejected: bool = False
    retry_after: float = 0.0


class StageRun:
    """Decisions over the attempts at one stage.

    Parameters
    ==========

    core : Core
        What the host offers.
    request : Request
        The request that the stage belongs to.
    stage : Stage
        As declared.
    content : object
        The stage's input.
    ends : float
        When the stage must have its result, on the clock, in seconds.
    on_token : function
        Takes each token of a streamed result once, in order.
    """

    __slots__ = (
        'assembly',
        'attempts',
        'core',
        'ends',
        'expected',
        'failures',
        'hedge_timer',
        'last_failure',
        'last_peer',
        'on_token',
        'request',
        'result',
        'stage',
        'started',
        'winner',
    )

    def __init__(self, core, request, stage, content, ends, on_token):
        self.core = core
        self.request = request
        self.stage = stage
        self.ends = ends
        self.on_token = on_token
        self.attempts = Attempts(core, request, stage, content)
        self.expected = expected_time(request.name, stage, core.tracker)
        self.assembly = Assembly()
        self.result = Deferred(self._cancelled)
        self.failures = 0
        self.winner = None
        self.last_failure = NotRun('no upstream')
        self.last_peer = ''
        self.hedge_timer = None
        self.started = core.clock.seconds()

    def start(self):
        """Send the first attempt; return a Deferred of the stage's result."""
        self.core.retries.earn()
        self._dispatch('first')
        if self.stage.hedge and self.attempts.live:
            self._arm_hedge()
        return self.result

    def _dispatch(self, why):
        # Earlier stages can use up the time that admission has counted on.
        if not _has_time(self):
            self.last_failure = NotRun('deadline')
            self._give_up()
            return
        choice = self.attempts.choice()
        if choice is None:
            self.core.log(
                events.NO_UPSTREAM,
                level='warning',
                request=self.request.ident,
                step=self.stage.name,
                pool=self.stage.pool,
            )
            self._give_up()
            return
        left = max(0, self.stage.attempts - self.attempts.number - 1)
        timeout = attempt_timeout(_budget(self), self.expected, left)
        self.attempts.send(choice, why, timeout, self.assembly, self._on_event)

    def _arm_hedge(self):
        # A stream shows life with its first token, other calls with their end.
        sign = 'first' if self.attempts.pool.kind == 'engine' else 'attempt'
        delay = self.core.tracker.quantile(
            (self.request.name, self.stage.name, sign),
            _HEDGE_PERCENT,
            self.expected,
        )
        self.hedge_timer = self.core.clock.callLater(
            _HEDGE_FACTOR * delay,
            self._hedge,
        )

    def _hedge(self):
        live = list(self.attempts.live.values())
        if len(live) != 1 or live[0].progress or not _has_time(self):
            return
        choice = self.attempts.choice()
        if choice is None or not hedge_helps(choice):
            return
        if not self.core.retries.spent():
            return
        self.core.log(
            events.HEDGED,
            request=self.request.ident,
            step=self.stage.name,
            peer=live[0].choice.name,
        )
        self.core.count('stage.hedged')
        self._dispatch('hedge')

    def _on_event(self, attempt, event):
        if attempt.number not in self.attempts.live:
            self.core.count('reply.late')
            return
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
        # Without an id the call never left this host.
        stated = getattr(event, 'attempt', None)
        return stated is not None and self._is_foreign(attempt, event)

    def _is_foreign(self, attempt, event):
        # An upstream that mixes up its connections answers one caller with
        # another's result, or with another's refusal, which would be taken
        # for proof that this call did not run. It shows as an attempt id that
        # is not the one this call sent; ids are never used twice, so equality
        # is proof enough.
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
        attempt.heard = self.core.clock.seconds()
        if self.winner is None:
            self.winner = attempt
            self.attempts.drop_all(kept=attempt)
        if not attempt.progress:
            attempt.progress = True
            learn_first(self.attempts, attempt)
            self._listen(attempt)
        if self.assembly.append_if_next(chunk.offset, chunk.text):
            self.on_token(chunk.text)
            return
        if self.assembly.has_gap(chunk.offset):
            self._on_failure(attempt, Lost('gap in stream'))

    def _listen(self, attempt):
        # A stream that goes silent for good shows as no chunk for longer than
        # the declared silence; the whole budget still bounds it. One timer
        # looks at when the last chunk came: moving a timer for each chunk
        # would cost more than the chunk.
        silence = self.request.snapshot.manifest.policy.silence_ms / _MS
        quiet = self.core.clock.seconds() - attempt.heard
        left = min(silence - quiet, _budget(self))
        # Rounding can leave a time so short that the clock would not move.
        if left < _LEAST_WAIT:
            self._on_event(attempt, Lost('timeout'))
            return
        if attempt.timer.active():
            attempt.timer.cancel()
        attempt.timer = self.core.clock.callLater(left, self._listen, attempt)

    def _on_reply(self, attempt, reply):
        if self._is_foreign(attempt, reply):
            self._on_failure(attempt, Lost('foreign reply'))
            return
        if _is_short(self, reply):
            self._on_failure(attempt, Lost('incomplete stream'))
            return
        learn_reply(self.attempts, attempt, reply)
        worked = reply.busy_ms / _MS
        self.attempts.release(attempt, reply.load, worked=worked)
        self.attempts.charge(attempt, USEFUL)
        self.attempts.drop_all()
        took = self.core.clock.seconds() - self.started
        self.core.tracker.measured((self.request.name, self.stage.name), took)
        self.core.timing(f'stage.{self.stage.name}', took * _MS)
        self.core.ledger.consume(
            self.request,
            self.stage.name,
            attempt.ident,
        )
        self._finish(StageDone(_output(self, reply), self.attempts.cost))

    def _on_failure(self, attempt, failure):
        self.failures += 1
        self.last_failure = failure
        self.last_peer = attempt.choice.name
        load = getattr(failure, 'load', None)
        if isinstance(failure, Lost):
            learn_slow(self.attempts, attempt)
        blamed = not isinstance(failure, Rejected)
        self.attempts.release(attempt, load, failed=blamed)
        if isinstance(failure, Lost):
            self.attempts.charge(attempt, FAILED)
            self.attempts.cut(attempt)
        else:
            self.attempts.give_back(attempt)
        self._log_failure(attempt, failure)
        if self.winner is attempt:
            self.winner = None
        if self.attempts.live:
            return
        self._retry_or_give_up(failure)

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

    def _retry_or_give_up(self, failure):
        allowed = may_retry(
            self.stage,
            self.failures,
            _budget(self),
            self.expected,
            may_have_run=self.attempts.may_have_run,
        )
        if isinstance(failure, Rejected) or not allowed:
            self._give_up()
            return
        if not self.core.retries.spent():
            self._give_up()
            return
        self.core.count('stage.retried')
        self._dispatch('retry')

    def _give_up(self):
        # What is still in flight may run, and nobody will hear of it.
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
        self._disarm()
        if not self.result.called:
            self.result.callback(result)

    def _disarm(self):
        if self.hedge_timer is not None and self.hedge_timer.active():
            self.hedge_timer.cancel()

    def _cancelled(self, deferred):
        # The caller is gone: nobody can use the result, so the upstream is
        # told to stop.
        self._disarm()
        self.attempts.drop_all()


def _budget(run):
    return max(0, run.ends - run.core.clock.seconds())


def _has_time(run):
    return worth_sending(run.stage, _budget(run), run.expected)


def _is_stream(run):
    return run.attempts.pool.kind == 'engine'


def _output(run, reply):
    # The reply's text is put together without a look at offsets, so that a
    # repeated token is in it twice. What was passed on is right.
    return run.assembly.text() if _is_stream(run) else reply.output


def _is_short(run, reply):
    if not _is_stream(run):
        return False
    return reply.tokens != run.assembly.length()
