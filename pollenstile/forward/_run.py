"""Forwarding of one request, from its arrival to its final answer."""

from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from pollenstile.forward import events
from pollenstile.forward._admission import recheck_admission
from pollenstile.forward._attempt import (
    RESULTS_GONE,
    Attempt,
    Delivered,
    UpstreamFailure,
)
from pollenstile.forward._crash_evidence import (
    await_reports,
    quarantine_refusal,
    record_outcome,
)
from pollenstile.forward._decisions import (
    LEAVING_REFUSAL,
    RetryDecision,
    decide_retry,
    expired_refusal,
    final_refusal,
    retry_after,
    silence_limits_of,
)
from pollenstile.forward._dispatch import (
    await_permission,
    await_turn,
    cold_rate,
    early_refusal,
    expected_answer_seconds,
    expected_first_token_seconds,
    home_domain,
    input_release_for,
    select_view,
)
from pollenstile.forward._ratelimited import note_sent
from pollenstile.forward._request_log import log_end, log_send
from pollenstile.forward._software import restart_wait, version_refusal
from pollenstile.forward._types import Lost, NotRun, Refusal
from pollenstile.forward._withdrawn import withdrawn_wait
from pollenstile.quarantine import HELD_REASON
from pollenstile.routes import Kind
from pollenstile.stagework import Chain, ChainFailed, build_plan

_UNAVAILABLE = 503
_SERVER_ERRORS = range(500, 600)


def serve(core, exchange, answer):
    """Serve a request; return a Deferred that fires when it is over.

    Explanation
    ===========

    Cancelling the Deferred stops the request's attempt, and its stage work as
    far as that may be stopped.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    exchange : Exchange
        The request.
    answer : Answer
        Writes to the caller.
    """
    run = _Run(core, exchange, answer)
    work = Deferred.fromCoroutine(run.forward())
    remaining = max(0, exchange.ends - core.clock.seconds())
    work.addTimeout(remaining, core.clock)
    work.addErrback(run.handle_expiry)
    work.addErrback(run.handle_crash)
    return work.addBoth(run.finish)


class StageWaste:
    """Wasted transfers and results of a request's stage work.

    Attributes
    ==========

    crossed : int
        Bytes that were read in another failure domain than the one in which
        they were made.
    unused : int
        Results that were released unread because the request was given up.
    """

    __slots__ = ('crossed', 'unused')

    def __init__(self):
        self.crossed = 0
        self.unused = 0

    def add(self, chain):
        """Add the waste of a finished chain."""
        self.crossed += chain.crossed
        self.unused += chain.unused

    def note_read(self, inputs, domain):
        """Count the results that an upstream in a domain reads.

        Parameters
        ==========

        inputs : dict
            Bytes of the results by failure domain.
        domain : str
            Failure domain of the upstream.
        """
        self.crossed += sum(inputs.values()) - inputs.get(domain, 0)


class _Run:
    """State of one forwarded request."""

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
        self.waste = StageWaste()

    async def forward(self):
        """Run the stages, then attempts until one ends the request."""
        self.core.budget.note_request(self.exchange.service)
        refusal = quarantine_refusal(self.core, self.exchange)
        if refusal is None:
            refusal = await version_refusal(self.core, self.exchange)
        if refusal is None:
            refusal = await early_refusal(self.core, self.exchange)
        if refusal is not None:
            self._give_up(refusal)
            return
        if not await self._run_stages():
            return
        outcome = await self._send_in_turn()
        while outcome is not None and await self._rerun_stages(outcome):
            outcome = await self._send_in_turn()

    def handle_expiry(self, failure):
        """Refuse the request at its deadline, or as caller or host leave."""
        failure.trap(TimeoutError, CancelledError)
        if self.answer.gone:
            self.outcome = 'caller left'
            return
        if failure.check(CancelledError) and not self.exchange.was_sent:
            self._refuse(LEAVING_REFUSAL)
            return
        runs = self.runs
        if self.attempt is not None and self.attempt.call is not None:
            runs += self.attempt.call.sent
        self._refuse(expired_refusal(runs))

    def handle_crash(self, failure):
        """Log an unexpected exception and refuse the request."""
        self.core.log(
            events.FORWARD_CRASHED,
            level='error',
            request=self.exchange.ident,
            error=failure.getTraceback(),
        )
        self._refuse(Refusal(502, 'internal', 'program'))

    def finish(self, ignored):
        """Release the remaining stage results and log the end."""
        if self.chain is not None:
            self.chain.release()
            self.waste.add(self.chain)
        log_end(self)

    async def _run_stages(self):
        """Run the stage work; return whether to send the request."""
        exchange = self.exchange
        if not any(exchange.counts):
            return True
        steps = exchange.route.steps
        await self.core.stages.refresh_backlogs(
            [step.service for step in steps]
        )
        plan = build_plan(
            exchange,
            min(exchange.aim, exchange.ends)
            - expected_first_token_seconds(self.core, exchange),
            self.core.stages.seconds,
            home_domain(self.core, exchange),
        )
        self.chain = Chain(self.core.stages, plan)
        handles = await self.chain.handles()
        if isinstance(handles, ChainFailed):
            self._refuse_failed_stages(handles)
            return False
        exchange.handles = handles
        self.staged_at = self.core.clock.seconds()
        return True

    async def _rerun_stages(self, outcome):
        """Rerun the stage work if its results have expired or were released."""
        if self.chain is None:
            return True
        if self.chain.held and outcome is not RESULTS_GONE:
            return True
        self.chain.release()
        self.waste.add(self.chain)
        return await self._run_stages()

    def _refuse_failed_stages(self, failed):
        if self.runs or failed.reason == HELD_REASON:
            self._refuse(Refusal(502, failed.reason, failed.step))
            return
        wait = retry_after(failed.retry_after, self.core.rng)
        self._refuse(
            Refusal(_UNAVAILABLE, failed.reason, failed.step, '', wait),
        )

    async def _send_in_turn(self):
        """Send the request once, after other copies of it where needed.

        Returns
        =======

        NotRun, Lost, UpstreamFailure or None
            The outcome after which the request is sent again; None if it is
            over.
        """
        fingerprint = self.exchange.fingerprint
        await await_turn(self.core, self.exchange, self.tried, self._inputs())
        try:
            return await self._send_once(self._inputs())
        finally:
            self.core.copies.end_turn(fingerprint)

    async def _send_once(self, inputs):
        view = await _next_view(self, inputs)
        if isinstance(view, (NotRun, Refusal)):
            self._give_up(view)
            return None
        self.waste.note_read(inputs, view.domain)
        outcome = await self._send_attempt(view, inputs)
        await record_outcome(self.core, self.exchange, self.attempt, outcome)
        if isinstance(outcome, Delivered):
            return None
        if self._decide_resend(outcome):
            return outcome
        self._give_up(outcome)
        return None

    def _inputs(self):
        """Return the bytes of the stage results by failure domain."""
        return self.chain.held_bytes() if self.chain else {}

    async def _send_attempt(self, view, inputs):
        self.tried.append(view.ident)
        self.exchange.was_sent = True
        self.sends += 1
        now = self.core.clock.seconds()
        self.core.cold.note_sent(view, cold_rate(self.exchange), now)
        note_sent(self.core, self.exchange, view)
        self.core.brittle.note_sent(self.exchange.service, view)
        last_event = self.exchange.last_event
        if self.attempt is not None and self.attempt.splitter.last:
            last_event = self.attempt.splitter.last.decode('latin-1')
        self.attempt = Attempt(
            self.core,
            self.exchange,
            view,
            self.answer,
            input_release_for(
                self.core, self.exchange, self.chain, inputs, view
            ),
        )
        if last_event:
            self.attempt.splitter.last = last_event.encode('latin-1')
        log_send(self, view, last_event)
        expected = expected_answer_seconds(self.core, self.exchange, view)
        limits = silence_limits_of(self.exchange.route, expected)
        outcome = await self.attempt.outcome(limits, last_event)
        if not isinstance(outcome, NotRun):
            self.runs += 1
        return outcome

    def _decide_resend(self, outcome):
        """Return whether the request is sent again; log the failed attempt."""
        if isinstance(outcome, UpstreamFailure):
            if outcome.status not in _SERVER_ERRORS:
                return False
            failed = Lost(f'status {outcome.status}', self.attempt.view.ident)
        else:
            failed = outcome
        decision = decide_retry(
            self.exchange.route,
            failed,
            self.sends,
            self.runs,
            resumed=self.answer.begun,
            may_repeat=self.core.quarantine.may_repeat(
                self.exchange.fingerprint
            ),
        )
        resend = decision is RetryDecision.RETRY
        arrived = getattr(outcome, 'arrived', True)
        if resend and arrived:
            resend = self.core.budget.spend(self.exchange.service)
        self.core.log(
            events.ATTEMPT_FAILED,
            request=self.exchange.ident,
            peer=self.attempt.view.ident,
            reason=failed.reason,
            arrived=arrived,
            again=resend,
        )
        return resend

    def _give_up(self, outcome):
        if isinstance(outcome, UpstreamFailure):
            self._pass_on(outcome)
            return
        if isinstance(outcome, Refusal):
            self._refuse(outcome)
            return
        withdrawn = withdrawn_wait(self.core, self.exchange)
        wait = withdrawn.wait if withdrawn else 0.0
        wait = max(wait, restart_wait(self.core, self.exchange))
        self._refuse(final_refusal(outcome, self.runs, self.core.rng, wait))

    def _pass_on(self, failure):
        if self.answer.begun:
            self.answer.abort()
            return
        self.outcome = f'upstream {failure.status}'
        self.answer.begin(failure.status, failure.phrase, failure.headers)
        self.answer.write(failure.body)
        self.answer.finish()

    def _refuse(self, refusal):
        self.refusal = refusal
        self.outcome = 'refused'
        if self.answer.begun:
            # Part of an answer was sent. Only an aborted connection shows the
            # caller that it is incomplete.
            self.outcome = 'broken'
            self.answer.abort()
            return
        self.answer.refuse(refusal)


async def _next_view(run, inputs):
    """Return the next upstream of a request, or why it is not sent.

    Explanation
    ===========

    A quarantined request is always refused. Admission is checked again only
    while the request cannot have run and no part of an answer was sent: after
    that a refusal would wrongly state that it did not run, or cut the answer
    off. Both may change while the request waits for permission.
    """
    await await_reports(run.core, run.exchange, run.tried)
    limited = await await_permission(run.core, run.exchange, run.tried, inputs)
    refusal = quarantine_refusal(run.core, run.exchange) or limited
    if refusal is not None:
        return refusal
    if not run.runs and not run.answer.begun:
        refusal = await _recheck(run.core, run.exchange)
        if refusal is not None:
            return refusal
    return select_view(run.core, run.exchange, run.tried, inputs)


async def _recheck(core, exchange):
    """Check a request against a newer table; return its refusal, or None."""
    service = exchange.service
    refusal = recheck_admission(core, exchange)
    if refusal is not None or exchange.service == service:
        return refusal
    # The versions of the new service are others.
    exchange.software = None
    return await version_refusal(core, exchange)


def is_cancelled_on_disconnect(exchange):
    """Return whether a request is cancelled when its caller disconnects.

    Explanation
    ===========

    A request that may run only once is completed: if it were cancelled, it
    would be unknown whether it has run.
    """
    return exchange.route.kind is not Kind.ONCE
