"""One stage of one request, until its single result."""

from dataclasses import dataclass
from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.limits import expected_time
from pollenstile.pipeline import events
from pollenstile.pipeline._assembly import Assembly
from pollenstile.pipeline._decisions import attempt_timeout, may_retry
from pollenstile.routing import chosen
from pollenstile.upstream import Call, Chunk, Lost, NotRun, Rejected, Reply

_MS = 1000
_HEDGE_PERCENT = 95
_FIRST = 'first'
_RETRY = 'retry'
_HEDGE = 'hedge'
_TIMEOUT = 'timeout'


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


class _Attempt:
    """One call in flight."""

    __slots__ = ('cancel', 'choice', 'number', 'progress', 'started', 'timer')

    def __init__(self, number, choice, started):
        self.number = number
        self.choice = choice
        self.started = started
        self.timer = None
        self.cancel = None
        self.progress = False


class StageRun:
    """Attempts at one stage.

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
        'content',
        'core',
        'cost',
        'ends',
        'expected',
        'failures',
        'first_started',
        'hedge_timer',
        'last_failure',
        'last_peer',
        'live',
        'may_have_run',
        'number',
        'on_token',
        'pool',
        'request',
        'result',
        'stage',
        'tried',
        'winner',
    )

    def __init__(self, core, request, stage, content, ends, on_token):
        self.core = core
        self.request = request
        self.stage = stage
        self.content = content
        self.ends = ends
        self.on_token = on_token
        self.pool = request.snapshot.manifest.pools[stage.pool]
        self.expected = expected_time(request.name, stage, core.tracker)
        self.assembly = Assembly()
        self.result = Deferred(self._cancelled)
        self.live = {}
        self.tried = []
        self.number = 0
        self.failures = 0
        self.cost = 0.0
        self.may_have_run = False
        self.winner = None
        self.last_failure = NotRun('no upstream')
        self.last_peer = ''
        self.hedge_timer = None
        self.first_started = core.clock.seconds()

    def start(self):
        """Send the first attempt; return a Deferred of the stage's result."""
        self.core.retries.earn()
        self._dispatch(_FIRST)
        self._arm_hedge()
        return self.result

    # Sending.

    def _dispatch(self, why):
        choice = self._choice()
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
        self.number += 1
        now = self.core.clock.seconds()
        attempt = _Attempt(self.number, choice, now)
        self.live[attempt.number] = attempt
        self.tried.append(choice.name)
        self._log_route(attempt, why)
        self._hand_over(attempt, now)

    def _choice(self):
        found = chosen(
            self.pool,
            self.core.tracker,
            self.core.domain,
            self.core.rng,
            self.tried,
        )
        if found is not None or not self.tried or self.live:
            return found
        return chosen(
            self.pool,
            self.core.tracker,
            self.core.domain,
            self.core.rng,
        )

    def _hand_over(self, attempt, now):
        left = max(0, self.stage.attempts - attempt.number)
        timeout = attempt_timeout(self.ends - now, self.expected, left)
        call = self._call(attempt, timeout)
        self.core.ledger.dispatch(
            self.request,
            self.stage.name,
            call.attempt,
            idempotent=self.stage.idempotent,
        )
        self.core.tracker.started(attempt.choice.name)
        attempt.timer = self.core.clock.callLater(
            timeout,
            self._on_event,
            attempt.number,
            Lost(_TIMEOUT),
        )
        attempt.cancel = self.core.transport(
            attempt.choice.name,
            attempt.choice.upstream,
            call,
            partial(self._on_event, attempt.number),
        )

    def _attempt_id(self, number):
        return f'{self.request.ident}/{self.stage.name}/{number}'

    def _call(self, attempt, timeout):
        return Call(
            attempt=self._attempt_id(attempt.number),
            step=self.stage.name,
            kind=self.pool.kind,
            content=self.content,
            timeout_ms=max(1, int(timeout * _MS)),
            team=self.request.team,
            urgency=self.request.pipeline.urgency,
            model=self.stage.model,
            max_tokens=self.stage.max_tokens,
            idempotent=self.stage.idempotent,
            key=self.request.key,
            offset=self.assembly.length(),
            text=self.assembly.text(),
        )

    def _log_route(self, attempt, why):
        self.core.log(
            events.ROUTED,
            request=self.request.ident,
            step=self.stage.name,
            attempt=attempt.number,
            peer=attempt.choice.name,
            domain=attempt.choice.upstream.domain,
            busyness=round(attempt.choice.busyness, 2),
            candidates=attempt.choice.candidates,
            why=why,
        )

    # Hedging.

    def _arm_hedge(self):
        if not self.stage.hedge or not self.live:
            return
        delay = self.core.tracker.quantile(
            (self.request.name, self.stage.name),
            _HEDGE_PERCENT,
            2 * self.expected,
        )
        self.hedge_timer = self.core.clock.callLater(delay, self._hedge)

    def _hedge(self):
        self.hedge_timer = None
        started = any(attempt.progress for attempt in self.live.values())
        if started or len(self.live) != 1:
            return
        if self._choice() is None or not self.core.retries.spent():
            return
        self.core.count('stage.hedged')
        self._dispatch(_HEDGE)

    # What comes back.

    def _on_event(self, number, event):
        attempt = self.live.get(number)
        if attempt is None:
            self.core.count('reply.late')
            return
        if isinstance(event, Chunk):
            self._on_chunk(attempt, event)
            return
        if isinstance(event, Reply):
            self._on_reply(attempt, event)
            return
        self._on_failure(attempt, event)

    def _is_foreign(self, attempt, event):
        # An upstream that mixes up its connections answers one caller with
        # another's result. It shows as an attempt id that is not the one this
        # call sent; ids are never used twice, so equality is proof enough.
        if event.attempt == self._attempt_id(attempt.number):
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
        attempt.progress = True
        if self.winner is None:
            self._win(attempt)
        if self.assembly.has_gap(chunk.offset):
            self._on_failure(attempt, Lost('gap in stream'))
            return
        self._keep_alive(attempt)
        if self.assembly.accepts(chunk.offset, chunk.text):
            self.on_token(chunk.text)

    def _win(self, attempt):
        self.winner = attempt.number
        self._drop_others(attempt.number)

    def _keep_alive(self, attempt):
        # A stream that goes silent for good shows as no chunk for longer than
        # the declared silence; the whole budget still bounds it.
        now = self.core.clock.seconds()
        silence = self.request.snapshot.manifest.policy.silence_ms / _MS
        attempt.timer.reset(min(silence, max(0, self.ends - now)))

    def _on_reply(self, attempt, reply):
        if self._is_foreign(attempt, reply):
            self._on_failure(attempt, Lost('foreign reply'))
            return
        if self._is_short(reply):
            self._on_failure(attempt, Lost('incomplete stream'))
            return
        self._release(attempt, reply.load)
        self._drop_others(attempt.number)
        took = self.core.clock.seconds() - self.first_started
        self.core.tracker.measured((self.request.name, self.stage.name), took)
        self.core.timing(f'stage.{self.stage.name}', took * _MS)
        self.core.ledger.consume(
            self.request,
            self.stage.name,
            self._attempt_id(attempt.number),
        )
        self._finish(StageDone(reply.output, self.cost))

    def _is_short(self, reply):
        if self.pool.kind != 'engine':
            return False
        return reply.tokens != self.assembly.length()

    def _on_failure(self, attempt, failure):
        self.failures += 1
        self.last_failure = failure
        self.last_peer = attempt.choice.name
        self._release(attempt, getattr(failure, 'load', None), failed=True)
        if isinstance(failure, Lost):
            self.may_have_run = True
            attempt.cancel()
        else:
            self.core.ledger.give_back(
                self.request,
                self.stage.name,
                self._attempt_id(attempt.number),
            )
        self._log_failure(attempt, failure)
        if self.winner == attempt.number:
            self.winner = None
        if self.live:
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
        if isinstance(failure, Rejected):
            self._give_up()
            return
        allowed = may_retry(
            self.stage,
            self.failures,
            self.ends - self.core.clock.seconds(),
            self.expected,
            may_have_run=self.may_have_run,
        )
        if not allowed or not self.core.retries.spent():
            self._give_up()
            return
        self.core.count('stage.retried')
        self._dispatch(_RETRY)

    # Ending.

    def _release(self, attempt, load, *, failed=False):
        self.live.pop(attempt.number, None)
        if attempt.timer.active():
            attempt.timer.cancel()
        self.core.tracker.ended(attempt.choice.name, load, failed=failed)
        took = self.core.clock.seconds() - attempt.started
        self.cost += took * self.pool.cost

    def _drop_others(self, kept):
        for attempt in list(self.live.values()):
            if attempt.number == kept:
                continue
            self._drop(attempt)

    def _drop(self, attempt):
        self.may_have_run = True
        self._release(attempt, None)
        self.core.count('attempt.cancelled')
        if attempt.cancel is not None:
            attempt.cancel()

    def _give_up(self):
        failure = self.last_failure
        self._finish(
            StageFailed(
                reason=failure.reason,
                peer=self.last_peer,
                cost=self.cost,
                may_have_run=self.may_have_run,
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
        for attempt in list(self.live.values()):
            self._drop(attempt)
