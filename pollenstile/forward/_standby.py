"""Attempts that are sent beside those of silent upstreams."""

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.forward._decisions import (
    NOT_REPEATABLE,
    SilentState,
    should_hand_back,
    standby_obstacle,
)
from pollenstile.forward._departure import LEAVING
from pollenstile.forward._leaving import may_answer_in_time
from pollenstile.forward._request_log import log_standby
from pollenstile.forward._selection import is_silent
from pollenstile.forward._software import usable_for
from pollenstile.forward._types import NotRun, Refusal
from pollenstile.ops.timers import cancel_timer

# Time between two looks whether another attempt can be sent beside a silent
# one.
_LOOK_SECONDS = 0.2
# The same after what it needs was refused.
_REFUSED_SECONDS = 1.0
# Looks in a row at which others of the service have been heard before a request
# is handed back: upstreams that stood still together go on together.
_HEARD_LOOKS = 2
# Part of the limit on silence in which the last events of other upstreams that
# fell silent too may still have come.
_UNTOLD_SHARE = 0.5
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
        Takes the run, the bytes of its inputs and the identifiers of upstreams
        to avoid; returns a Deferred of the upstream for the next attempt, or
        why there is none.

    Attributes
    ==========

    preparing : Deferred or None
        Ends when an attempt was sent, or could not be.
    reason : str
        Why none was sent when it was looked last.
    heard_looks : int
        Looks in a row at which other upstreams had been heard lately.
    """

    __slots__ = (
        'heard_looks',
        'next_view',
        'preparing',
        'reason',
        'run',
        'timer',
    )

    def __init__(self, run, next_view):
        self.run = run
        self.next_view = next_view
        self.preparing = None
        self.reason = ''
        self.heard_looks = 0
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
        cancel_timer(self.timer)
        self.timer = None

    def _look(self):
        self._stop_timer()
        run = self.run
        if self.preparing is not None or not run.contest.all_silent():
            return
        state = _state(run)
        obstacle = _obstacle(run, state)
        self.heard_looks = self.heard_looks + 1 if _are_others_heard(run) else 0
        is_heard = self.heard_looks >= _HEARD_LOOKS
        if _is_hopeless(run, state, obstacle, is_heard=is_heard):
            run.core.silences.handed_back += 1
            run.contest.give_up()
            return
        if obstacle:
            self._hold(obstacle, _LOOK_SECONDS)
            return
        self.preparing = Deferred.fromCoroutine(self._send())
        self.preparing.addBoth(self._handle_prepared)

    def _hold(self, reason, seconds):
        if reason != self.reason:
            log_standby(self.run, self.run.contest.leader, reason)
        self.reason = reason
        if reason != NOT_REPEATABLE and self.run.contest.running:
            self.timer = self.run.core.clock.callLater(seconds, self._look)

    async def _send(self):
        """Send an attempt; return why it was not sent, or an empty text."""
        run = self.run
        is_renewed = not run.results.are_held()
        reason = _NOTHING_HELD
        try:
            if await run.results.renew() is None:
                reason = await self._send_with_results()
        finally:
            if reason and is_renewed:
                run.results.release()
        return reason

    async def _send_with_results(self):
        run = self.run
        inputs = run.results.held_bytes()
        view = await self.next_view(run, inputs, _avoided(run))
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


def _state(run):
    """Return the :class:`SilentState` of a request."""
    shortest = _shortest(run)
    return SilentState(
        run.sends,
        run.count_runs() + run.contest.runs_in_flight(),
        shortest.silent_seconds(),
        shortest.limit,
    )


def _shortest(run):
    """Return the watch of the shortest of a request's silences."""
    silences = [attempt.silence for attempt in run.contest.running]
    return min(silences, key=_silent_seconds)


def _obstacle(run, state):
    """Return why no attempt is sent beside the silent ones now, or ``''``."""
    core = run.core
    exchange = run.exchange
    obstacle = standby_obstacle(
        exchange.route,
        state,
        resumed=run.answer.begun,
        may_repeat=not core.quarantine.is_suspect(exchange.fingerprint),
        has_budget=core.budget.remaining(exchange.service) >= 1,
        has_results=run.results.are_held(),
        is_heard=_is_service_heard(run),
    )
    if obstacle or may_answer_in_time(run):
        return obstacle
    return LEAVING


def _is_hopeless(run, state, obstacle, *, is_heard):
    """Return whether the caller had better try the request again.

    Explanation
    ===========

    Bytes that may become an answer are awaited to the deadline: a large one may
    come slowly, and without a length nothing tells how far it is.
    """
    if any(attempt.silence.is_flowing() for attempt in run.contest.running):
        return False
    return should_hand_back(
        obstacle,
        state,
        _unheard_share(run),
        begun=run.answer.begun,
        is_heard=is_heard,
    )


def _unheard_since(run):
    """Return when an upstream of a request has sent anything to any request.

    Explanation
    ===========

    One that has sent another request's answer goes on with this one too, even
    if it stood still for most of the time so far.
    """
    heard = [attempt.view.heard_at for attempt in run.contest.running]
    return max(run.exchange.arrived, *heard)


def _unheard_share(run):
    """Return the part of a request's time since its upstreams were heard."""
    exchange = run.exchange
    unheard = run.core.clock.seconds() - _unheard_since(run)
    return unheard / (exchange.ends - exchange.arrived)


def _are_others_heard(run):
    """Return whether other upstreams are heard while a request's are not.

    Explanation
    ===========

    What was heard of them in the first half of that time may be the last of
    what came before all of them stood still.
    """
    since = (_unheard_since(run) + run.core.clock.seconds()) / 2
    return any(view.heard_at > since for view in _heard_views(run))


def _silent_seconds(silence):
    return silence.silent_seconds()


def _is_service_heard(run):
    """Return whether other awaited upstreams have been heard in the silence.

    Explanation
    ===========

    If none has, all of them stand still, or this host hears nothing itself.
    """
    silent = {attempt.view.ident for attempt in run.contest.running}
    awaited = [
        view
        for view in run.core.registry.usable(run.exchange.service)
        if view.in_flight and view.ident not in silent
    ]
    if not awaited:
        return True
    since = _heard_from(run)
    return any(view.heard_at > since for view in awaited)


def _heard_from(run):
    """Return the time from which an upstream that sends anything was heard.

    Explanation
    ===========

    Upstreams that stand still from the same moment have sent their last events
    up to a pause apart, so the first part of a silence shows nothing.
    """
    silences = [attempt.silence for attempt in run.contest.running]
    return max(
        (
            silence.heard_at + _UNTOLD_SHARE * silence.limit
            for silence in silences
        ),
        default=0.0,
    )


def _heard_views(run):
    """Return the other upstreams that have been heard in the silence."""
    exchange = run.exchange
    since = _heard_from(run)
    views = usable_for(run.core, exchange)
    return [
        view
        for view in views
        if view.heard_at > since and view.ident not in run.tried
    ]


def _avoided(run):
    """Return the identifiers of upstreams that are not to be tried.

    Explanation
    ===========

    An upstream that has been heard in the silence is known to answer. One that
    has not may be silent too, and the request's last attempt would be lost to
    it. Only where none has been heard may it be any.
    """
    heard = {view.ident for view in _heard_views(run)}
    if not heard:
        return run.tried
    views = run.core.registry.usable(run.exchange.service)
    unheard = [view.ident for view in views if view.ident not in heard]
    return [*run.tried, *unheard]
