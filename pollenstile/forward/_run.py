"""Forwarding of one request, from its arrival to its final answer."""

from functools import partial

from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from pollenstile.forward import events
from pollenstile.forward._admission import recheck_admission
from pollenstile.forward._crash_evidence import (
    await_reports,
    quarantine_refusal,
    record_outcome,
)
from pollenstile.forward._contest import Contest
from pollenstile.forward._decisions import (
    RetryDecision,
    decide_retry,
    expired_refusal,
    final_refusal,
)
from pollenstile.forward._dispatch import (
    await_permission,
    await_turn,
    cold_rate,
    early_refusal,
    select_view,
)
from pollenstile.forward._leaving import departure_refusal
from pollenstile.forward._outcomes import (
    RESULTS_GONE,
    Delivered,
    UpstreamFailure,
)
from pollenstile.forward._ratelimited import note_sent
from pollenstile.forward._request_log import (
    has_arrived,
    log_end,
    log_failed,
    log_send,
)
from pollenstile.forward._runattempt import (
    handle_closed,
    last_event_of,
    new_attempt,
)
from pollenstile.forward._runend import (
    end_dismissed,
    end_if_given_up,
    failure_of,
    pass_on,
    stage_refusal,
)
from pollenstile.forward._software import restart_wait, version_refusal
from pollenstile.forward._stageresults import StageResults
from pollenstile.forward._standby import Standby
from pollenstile.forward._types import NotRun, Refusal
from pollenstile.forward._withdrawn import withdrawn_wait


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
    run = Run(core, exchange, answer)
    core.runs[run] = None
    work = Deferred.fromCoroutine(run.forward())
    run.work = work
    remaining = max(0, exchange.ends - core.clock.seconds())
    work.addTimeout(remaining, core.clock)
    work.addErrback(run.handle_expiry)
    work.addErrback(run.handle_crash)
    return work.addBoth(run.finish)


class Run:
    """State of one forwarded request.

    Attributes
    ==========

    contest : Contest
        Attempts in flight.
    standby : Standby
        Sends another attempt beside silent ones.
    results : StageResults
        The stage work and its results.
    sends : int
        Attempts so far.
    runs : int
        Attempts of earlier rounds that may have run.
    dismissal : Refusal or None
        Why this host, which leaves, has given the request up.
    work : Deferred
        Ends with the request.
    last_event : str
        Event after which the first attempt of this round goes on.
    tried : list of str
        Identifiers of the upstreams that the request was sent to.
    """

    __slots__ = (
        'answer',
        'contest',
        'core',
        'dismissal',
        'exchange',
        'last_event',
        'outcome',
        'refusal',
        'results',
        'runs',
        'sends',
        'standby',
        'tried',
        'work',
    )

    def __init__(self, core, exchange, answer):
        self.core = core
        self.exchange = exchange
        self.answer = answer
        self.results = StageResults(core, exchange, answer)
        self.contest = Contest(answer)
        self.standby = Standby(self, _next_view)
        self.last_event = exchange.last_event
        self.sends = 0
        self.runs = 0
        self.tried = []
        self.refusal = None
        self.dismissal = None
        self.work = None
        self.outcome = 'answered'

    @property
    def attempt(self):
        """The attempt that the answer is from, or may be; None before one."""
        return self.contest.leader

    def count_runs(self):
        """Return the number of ended attempts that may have run."""
        return self.runs + self.contest.runs

    def start_attempt(self, view, inputs):
        """Send the request to an upstream.

        Parameters
        ==========

        inputs : dict
            Bytes of its stage results by failure domain.
        """
        self.results.note_read(inputs, view.domain)
        self.tried.append(view.ident)
        self.sends += 1
        now = self.core.clock.seconds()
        self.core.cold.note_sent(view, cold_rate(self.exchange), now)
        note_sent(self.core, self.exchange, view)
        self.core.brittle.note_sent(self.exchange.service, view)
        last_event = last_event_of(self)
        attempt = new_attempt(self, view, inputs, last_event)
        log_send(self, attempt, last_event)
        self.contest.start(
            attempt,
            self._run_attempt(attempt, last_event, self.results.chain),
        )

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
        make = self.results.make
        while await self._prepare(make) and await self._send_in_turn():
            make = self.results.renew

    def dismiss(self, refusal):
        """Give the request up, as this host leaves.

        Parameters
        ==========

        refusal : Refusal
            What its caller is told if its answer has not begun.
        """
        self.dismissal = refusal
        self.work.cancel()

    def handle_expiry(self, failure):
        """Refuse the request at its deadline, or as caller or host leave."""
        failure.trap(TimeoutError, CancelledError)
        if self.answer.gone:
            self.outcome = 'caller left'
            return
        if self.dismissal is not None:
            end_dismissed(self)
            return
        runs = self.count_runs() + self.contest.runs_in_flight()
        self.refuse(expired_refusal(runs))

    def handle_crash(self, failure):
        """Log an unexpected exception and refuse the request."""
        self.core.log(
            events.FORWARD_CRASHED,
            level='error',
            request=self.exchange.ident,
            error=failure.getTraceback(),
        )
        self.refuse(Refusal(502, 'internal', 'program'))

    def finish(self, ignored):
        """Close what is in flight, release all results and log the end."""
        self.standby.stop()
        self.contest.stop()
        self.results.finish()
        self.core.runs.pop(self)
        log_end(self)

    async def _prepare(self, make):
        """Have the stage work done; return whether the request may be sent."""
        refusal = departure_refusal(self)
        if refusal is None:
            failed = await make()
            refusal = stage_refusal(self, failed) if failed else None
        if refusal is not None:
            self.refuse(refusal)
        return refusal is None

    async def _send_in_turn(self):
        """Send the request once, after other copies of it where needed.

        Returns
        =======

        bool
            Whether it is sent again.
        """
        fingerprint = self.exchange.fingerprint
        inputs = self.results.held_bytes()
        await await_turn(self.core, self.exchange, self.tried, inputs)
        try:
            return await self._send_once(self.results.held_bytes())
        finally:
            self.core.copies.end_turn(fingerprint)

    async def _send_once(self, inputs):
        view = await _next_view(self, inputs, self.tried)
        if isinstance(view, (NotRun, Refusal)):
            self._give_up(view)
            return False
        self._open_contest()
        self.start_attempt(view, inputs)
        outcome = await self.contest.ended
        if isinstance(outcome, Delivered):
            return False
        if self._decide_resend(outcome):
            return True
        self._give_up(outcome)
        return False

    def _open_contest(self):
        """Begin a new round of attempts, which goes on after the last one."""
        self.last_event = last_event_of(self)
        self.runs += self.contest.runs
        self.contest = Contest(self.answer)
        self.contest.on_failed = self._handle_failed
        self.contest.on_closed = partial(handle_closed, self)
        self.contest.is_preparing = self.standby.is_preparing

    def _handle_failed(self, attempt):
        """Log an attempt that failed beside others; look for another one."""
        if self.contest.running:
            failed = failure_of(self.contest.outcome, attempt.view.ident)
            log_failed(self, attempt, failed, resend=False)
        self.standby.note_failed(attempt)

    async def _run_attempt(self, attempt, last_event, chain):
        outcome = await attempt.outcome(last_event)
        # It has ended, so nothing is to be sent beside it before its upstream
        # was checked for a crash.
        attempt.silence.is_silent = False
        if outcome is RESULTS_GONE and chain is self.results.chain:
            self.results.release()
        await record_outcome(self.core, self.exchange, attempt, outcome)
        return outcome

    def _decide_resend(self, outcome):
        """Return whether the request is sent again; log the failed attempt."""
        if isinstance(outcome, UpstreamFailure) and not outcome.is_retryable:
            return False
        failed = failure_of(outcome, self.contest.failed.view.ident)
        decision = decide_retry(
            self.exchange.route,
            failed,
            self.sends,
            self.count_runs(),
            resumed=self.answer.begun,
            may_repeat=self.core.quarantine.may_repeat(
                self.exchange.fingerprint
            ),
        )
        resend = (
            decision is RetryDecision.RETRY and not self.contest.is_given_up
        )
        if resend and has_arrived(failed):
            resend = self.core.budget.spend(self.exchange.service)
        log_failed(self, self.contest.failed, failed, resend=resend)
        return resend

    def _give_up(self, outcome):
        if isinstance(outcome, UpstreamFailure):
            pass_on(self, outcome)
            return
        if isinstance(outcome, Refusal):
            self.refuse(outcome)
            return
        withdrawn = withdrawn_wait(self.core, self.exchange)
        wait = withdrawn.wait if withdrawn else 0.0
        wait = max(wait, restart_wait(self.core, self.exchange))
        self.refuse(
            final_refusal(outcome, self.count_runs(), self.core.rng, wait)
        )

    def refuse(self, refusal):
        """End the request with a refusal, or by a reset once it has begun."""
        self.refusal = refusal
        self.outcome = 'refused'
        if self.answer.begun:
            # Part of an answer was sent. Only an aborted connection shows the
            # caller that it is incomplete.
            self.outcome = 'broken'
            self.core.silences.broken_off += 1
            self.answer.abort()
            return
        self.answer.refuse(refusal)


async def _next_view(run, inputs, avoided):
    """Return the next upstream of a request, or why it is not sent.

    Explanation
    ===========

    A quarantined request is always refused, and one that nothing is in flight
    for if this host leaves too soon. Admission is checked again only
    while the request cannot have run and no part of an answer was sent: after
    that a refusal would wrongly state that it did not run, or cut the answer
    off. Both may change while the request waits for permission.

    Parameters
    ==========

    inputs : dict
        Bytes of its stage results by failure domain.
    avoided : list of str
        Identifiers of upstreams that it is not sent to.
    """
    await await_reports(run.core, run.exchange, avoided)
    limited = await await_permission(run.core, run.exchange, avoided, inputs)
    refusal = quarantine_refusal(run.core, run.exchange) or limited
    refusal = refusal or departure_refusal(run)
    if refusal is not None:
        return refusal
    may_have_run = run.count_runs() or run.contest.running
    if not may_have_run and not run.answer.begun:
        refusal = await _recheck(run.core, run.exchange)
        if refusal is not None:
            return refusal
    end_if_given_up(run)
    return select_view(run.core, run.exchange, avoided, inputs)


async def _recheck(core, exchange):
    """Check a request against a newer table; return its refusal, or None."""
    service = exchange.service
    refusal = recheck_admission(core, exchange)
    if refusal is not None or exchange.service == service:
        return refusal
    # The versions of the new service are others.
    exchange.software = None
    return await version_refusal(core, exchange)
