"""One forwarded request, from its arrival to its final answer."""

from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from pollenstile.forward import events
from pollenstile.forward._admission import refused_since
from pollenstile.forward._attempt import (
    GONE,
    Attempt,
    Delivered,
    Failing,
)
from pollenstile.forward._decisions import (
    RetryDecision,
    decide_retry,
    expired_refusal,
    final_refusal,
    silence_limits_of,
    retry_after,
)
from pollenstile.forward._placing import (
    chosen_view,
    cold_rate,
    first_token_seconds,
    home_domain,
    reading_of,
    usual_seconds,
)
from pollenstile.forward._runlines import log_end, log_send
from pollenstile.forward._suspicion import quarantine_refusal, learned
from pollenstile.forward._types import Lost, NotRun, Refusal
from pollenstile.quarantine import HELD_REASON
from pollenstile.routes import Kind
from pollenstile.stagework import Chain, ChainFailed, build_plan

_UNAVAILABLE = 503
_SERVER_ERRORS = range(500, 600)


def serve(core, exchange, answer):
    """Serve a request; return a Deferred that fires when it is over.

    Explanation
    ===========

    Cancelled, it stops all work that may be stopped.

    Parameters
    ==========

    core : ForwardCore
        What the host offers.
    exchange : Exchange
        The request.
    answer : Answer
        The caller's side.
    """
    run = _Run(core, exchange, answer)
    work = Deferred.fromCoroutine(run.whole())
    left = max(0, exchange.ends - core.clock.seconds())
    work.addTimeout(left, core.clock)
    work.addErrback(run.ended_early)
    work.addErrback(run.crashed)
    return work.addBoth(run.finished)


class Waste:
    """What a request's stage results cost beyond their making.

    Attributes
    ==========

    crossed : int
        Bytes that were read in another failure domain than they were made.
    unused : int
        Results that were released unread, since the request was given up.
    """

    __slots__ = ('crossed', 'unused')

    def __init__(self):
        self.crossed = 0
        self.unused = 0

    def add(self, chain):
        """Count what a chain that is over has cost."""
        self.crossed += chain.crossed
        self.unused += chain.unused

    def note_read(self, inputs, domain):
        """Count results that an upstream of a domain reads, by domain."""
        self.crossed += sum(inputs.values()) - inputs.get(domain, 0)


class _Run:
    """State of one request."""

    __slots__ = (
        'answer',
        'attempt',
        'chain',
        'core',
        'exchange',
        'outcome',
        'refusal',
        'runs',
        'sends',
        'staged_at',
        'tried',
        'waste',
    )

    def __init__(self, core, exchange, answer):
        self.core = core
        self.exchange = exchange
        self.answer = answer
        self.chain = None
        self.attempt = None
        self.sends = 0
        self.runs = 0
        self.tried = []
        self.refusal = None
        self.staged_at = 0.0
        self.outcome = 'answered'
        self.waste = Waste()

    async def whole(self):
        """Run the stages, then the attempts."""
        self.core.budget.note_first(self.exchange.service)
        refusal = quarantine_refusal(self.core, self.exchange)
        if refusal is not None:
            self._refuse(refusal)
            return
        if not await self._staged():
            return
        while True:
            inputs = self.chain.held_bytes() if self.chain else {}
            view = _next_view(self, inputs)
            if isinstance(view, (NotRun, Refusal)):
                self._give_up(view)
                return
            self.waste.note_read(inputs, view.domain)
            outcome = await self._attempted(view, inputs)
            await learned(self.core, self.exchange, self.attempt, outcome)
            if isinstance(outcome, Delivered):
                return
            if not self._goes_on(outcome):
                self._give_up(outcome)
                return
            if not await self._restaged(outcome):
                return

    def ended_early(self, failure):
        """Give the final answer at the deadline; or note a caller's leaving."""
        failure.trap(TimeoutError, CancelledError)
        if self.answer.gone:
            self.outcome = 'caller left'
            return
        runs = self.runs
        if self.attempt is not None and self.attempt.call is not None:
            runs += self.attempt.call.sent
        self._refuse(expired_refusal(runs))

    def crashed(self, failure):
        """Log a fault of the program, and let the caller know."""
        self.core.log(
            events.FORWARD_CRASHED,
            level='error',
            request=self.exchange.ident,
            error=failure.getTraceback(),
        )
        self._refuse(Refusal(502, 'internal', 'program'))

    def finished(self, ignored):
        """Release what is left, and log the end."""
        if self.chain is not None:
            self.chain.release()
            self.waste.add(self.chain)
        log_end(self)

    async def _staged(self):
        """Have the stage work done; return whether to go on."""
        exchange = self.exchange
        if not any(exchange.counts):
            return True
        steps = exchange.route.steps
        await self.core.stages.refresh_backlogs([one.service for one in steps])
        plan = build_plan(
            exchange,
            min(exchange.aim, exchange.ends)
            - first_token_seconds(self.core, exchange),
            self.core.stages.seconds,
            home_domain(self.core, exchange),
        )
        self.chain = Chain(self.core.stages, plan)
        handles = await self.chain.handles()
        if isinstance(handles, ChainFailed):
            self._refuse_unstaged(handles)
            return False
        exchange.handles = handles
        self.staged_at = self.core.clock.seconds()
        return True

    async def _restaged(self, outcome):
        """Have results made again that lapsed, or were read and released."""
        if self.chain is None:
            return True
        if self.chain.held and outcome is not GONE:
            return True
        self.chain.release()
        self.waste.add(self.chain)
        return await self._staged()

    def _refuse_unstaged(self, failed):
        if self.runs or failed.reason == HELD_REASON:
            self._refuse(Refusal(502, failed.reason, failed.step))
            return
        wait = retry_after(failed.retry_after, self.core.rng)
        self._refuse(
            Refusal(_UNAVAILABLE, failed.reason, failed.step, '', wait),
        )

    async def _attempted(self, view, inputs):
        self.tried.append(view.ident)
        self.sends += 1
        now = self.core.clock.seconds()
        self.core.cold.note_sent(view, cold_rate(self.exchange), now)
        last_event = self.exchange.last_event
        if self.attempt is not None and self.attempt.splitter.last:
            last_event = self.attempt.splitter.last.decode('latin-1')
        self.attempt = Attempt(
            self.core,
            self.exchange,
            view,
            self.answer,
            reading_of(self.core, self.exchange, self.chain, inputs, view),
        )
        if last_event:
            self.attempt.splitter.last = last_event.encode('latin-1')
        log_send(self, view)
        usual = usual_seconds(self.core, self.exchange, view)
        patience = silence_limits_of(self.exchange.route, usual)
        outcome = await self.attempt.outcome(patience, last_event)
        if not isinstance(outcome, NotRun):
            self.runs += 1
        return outcome

    def _goes_on(self, outcome):
        """Return whether the request is sent again."""
        if isinstance(outcome, Failing):
            if outcome.status not in _SERVER_ERRORS:
                return False
            lost = Lost(f'status {outcome.status}', self.attempt.view.ident)
        else:
            lost = outcome
        following = decide_retry(
            self.exchange.route,
            lost,
            self.sends,
            self.runs,
            resumed=self.answer.begun,
            may_repeat=self.core.quarantine.may_repeat(
                self.exchange.fingerprint
            ),
        )
        again = following is RetryDecision.RETRY
        arrived = getattr(outcome, 'arrived', True)
        if again and arrived:
            again = self.core.budget.spend(self.exchange.service)
        self.core.log(
            events.ATTEMPT_FAILED,
            request=self.exchange.ident,
            peer=self.attempt.view.ident,
            reason=lost.reason,
            arrived=arrived,
            again=again,
        )
        return again

    def _give_up(self, outcome):
        if isinstance(outcome, Failing):
            self._pass_on(outcome)
            return
        if isinstance(outcome, Refusal):
            self._refuse(outcome)
            return
        self._refuse(final_refusal(outcome, self.runs, self.core.rng))

    def _pass_on(self, failing):
        if self.answer.begun:
            self.answer.abort()
            return
        self.outcome = f'upstream {failing.status}'
        self.answer.begin(failing.status, failing.phrase, failing.headers)
        self.answer.write(failing.body)
        self.answer.finish()

    def _refuse(self, refusal):
        self.refusal = refusal
        self.outcome = 'refused'
        if self.answer.begun:
            # What went out looks like an answer. Only a broken connection
            # tells the caller that it is not whole.
            self.outcome = 'broken'
            self.answer.abort()
            return
        self.answer.refuse(refusal)


def _next_view(run, inputs):
    """Return where a request is sent next, or why it is sent nowhere.

    Explanation
    ===========

    One that may have run is not refused as if it had not, and an answer that
    has begun is brought to its end; unless the request crashes upstreams.
    """
    refusal = quarantine_refusal(run.core, run.exchange)
    if refusal is not None:
        return refusal
    if not run.runs and not run.answer.begun:
        refusal = refused_since(run.core, run.exchange)
        if refusal is not None:
            return refusal
    return chosen_view(run.core, run.exchange, run.tried, inputs)


def is_cancelled_on_disconnect(exchange):
    """Return whether a request is stopped when its caller leaves.

    Explanation
    ===========

    One that may run once only runs to its end: broken off, nobody would know
    whether it has run.
    """
    return exchange.route.kind is not Kind.ONCE
