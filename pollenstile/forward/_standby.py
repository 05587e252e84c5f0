"""Attempts that are sent beside those of silent upstreams."""

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.forward._decisions import (
    ATTEMPTS_USED,
    SilentState,
    standby_obstacle,
)
from pollenstile.forward._request_log import log_standby
from pollenstile.forward._selection import is_silent
from pollenstile.forward._types import NotRun, Refusal

# Time between two looks whether another attempt can be sent beside a silent
# one.
_LOOK_SECONDS = 0.2
# The same after what it needs was refused.
_REFUSED_SECONDS = 1.0
_SILENT_UPSTREAM = 'upstream is silent too'
_NOTHING_HELD = 'stage work refused'


class Standby:
    """Sends another attempt beside silent ones once all it needs is in hand.

    Explanation
    ===========

    A silent upstream may go on at any time, so its attempt is closed only when
    another one has something for the caller. What the other one needs (budget,
    results of stage work, permission, an upstream) may be refused; then the
    silent attempt is still awaited.

    Parameters
    ==========

    run : Run
        The request.
    next_view : function
        Takes the run and the bytes of its inputs; returns a Deferred of the
        upstream for the next attempt, or why there is none.

    Attributes
    ==========

    preparing : Deferred or None
        Ends when an attempt was sent, or could not be.
    reason : str
        Why none was sent when it was looked last.
    """

    __slots__ = ('next_view', 'preparing', 'reason', 'run', 'timer')

    def __init__(self, run, next_view):
        self.run = run
        self.next_view = next_view
        self.preparing = None
        self.reason = ''
        self.timer = None

    def is_preparing(self):
        """Return whether another attempt is about to be sent."""
        return self.preparing is not None

    def note_silent(self, attempt):
        """Look for another upstream, as one has been silent for its limit."""
        self.reason = ''
        self._look()

    def note_heard(self, attempt):
        """Stop the search, as a silent upstream goes on."""
        self.stop()

    def note_failed(self, attempt):
        """Look for another upstream if only silent ones are left."""
        if self.timer is None:
            self._look()

    def stop(self):
        """Stop the search and give up what was prepared."""
        self._stop_timer()
        if self.preparing is not None:
            self.preparing.cancel()

    def _stop_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _look(self):
        self._stop_timer()
        run = self.run
        if self.preparing is not None or not run.contest.all_silent():
            return
        obstacle = _obstacle(run)
        if obstacle:
            self._hold(obstacle, _LOOK_SECONDS)
            return
        self.preparing = Deferred.fromCoroutine(self._send())
        self.preparing.addBoth(self._handle_prepared)

    def _hold(self, reason, seconds):
        if reason != self.reason:
            log_standby(self.run, self.run.contest.leader, reason)
        self.reason = reason
        if reason != ATTEMPTS_USED and self.run.contest.running:
            self.timer = self.run.core.clock.callLater(seconds, self._look)

    async def _send(self):
        """Send an attempt; return why it was not sent, or an empty text."""
        run = self.run
        if await run.results.renew() is not None:
            return _NOTHING_HELD
        inputs = run.results.held_bytes()
        view = await self.next_view(run, inputs)
        if isinstance(view, (NotRun, Refusal)):
            return view.reason
        if is_silent(view, run.core.clock.seconds()):
            return _SILENT_UPSTREAM
        if not run.core.budget.spend(run.exchange.service):
            return 'no budget'
        run.start_attempt(view, inputs)
        return ''

    def _handle_prepared(self, result):
        self.preparing = None
        if isinstance(result, str):
            if result:
                self._hold(result, _REFUSED_SECONDS)
            self.run.contest.check_over()
            return None
        self.run.contest.check_over()
        return None if result.check(CancelledError) else result


def _obstacle(run):
    """Return why no attempt is sent beside the silent ones now, or ``''``."""
    core = run.core
    attempts = list(run.contest.running)
    silences = [attempt.silence for attempt in attempts]
    shortest = min(silences, key=_silent_seconds)
    state = SilentState(
        run.sends,
        run.count_runs() + run.contest.runs_in_flight(),
        shortest.silent_seconds(),
        shortest.limit,
    )
    exchange = run.exchange
    return standby_obstacle(
        exchange.route,
        state,
        resumed=run.answer.begun,
        may_repeat=not core.quarantine.is_suspect(exchange.fingerprint),
        has_budget=core.budget.remaining(exchange.service) >= 1,
        has_results=run.results.are_held(),
        is_heard=_is_service_heard(run, attempts, shortest.heard_at),
    )


def _silent_seconds(silence):
    return silence.silent_seconds()


def _is_service_heard(run, attempts, since):
    """Return whether other awaited upstreams have sent anything since a time.

    Explanation
    ===========

    If none has, all of them stand still, or this host hears nothing itself.
    """
    silent = {attempt.view.ident for attempt in attempts}
    awaited = [
        view
        for view in run.core.registry.usable(run.exchange.service)
        if view.in_flight and view.ident not in silent
    ]
    if not awaited:
        return True
    return any(view.heard_at > since for view in awaited)
