"""Attempts of which nothing is heard, and others beside them.

Explanation
===========

An attempt that is silent for its limit is not ended: its upstream may go on a
moment later, and what would replace it may not be had. It is listened to
beside a second attempt, if one is allowed, and the first that brings the next
token or the reply answers. Silence alone ends a stage at its deadline only.
"""

from pollenstile.ops.lateness import reading_time
from pollenstile.pipeline import events
from pollenstile.pipeline._decisions import may_retry
from pollenstile.pipeline._departure import may_send
from pollenstile.pipeline._learning import record_slow_attempt
from pollenstile.upstream import Lost

_MS = 1000
# A wait that is too short to change the clock's floating-point reading would
# be scheduled again and again at the same instant.
_MIN_WAIT_SECONDS = 0.001

# Minimum seconds until a silent attempt is checked again. To choose among many
# upstreams for each of many silent attempts costs more than to ask rarely.
_RECHECK_SECONDS = 0.5

# What came of starting another attempt beside silent ones.
_SENT = 'sent'
_OTHERS_IN_FLIGHT = 'others in flight'
_NOT_ALLOWED = 'not allowed'
_NO_UPSTREAM = 'no upstream'
_NO_BUDGET = 'no budget'
_LEAVING = 'the host leaves'


def remaining_seconds(run):
    """Return the seconds until a stage's deadline."""
    return max(0, run.deadline - run.core.clock.seconds())


def watch_later(run, attempt, seconds):
    """Check an attempt's silence after some seconds, or at the deadline.

    Parameters
    ==========

    run : StageRun
        The attempt's stage.
    attempt : Attempt
        In flight, without an active timer.
    seconds : float
        Seconds until the check.
    """
    wait = min(seconds, remaining_seconds(run))
    due = run.core.clock.seconds() + wait
    attempt.timer = run.core.clock.callLater(wait, _fired, run, attempt, due)


def _fired(run, attempt, due):
    grace = reading_time(run.core.clock.seconds(), due)
    if not grace:
        _watch(run, attempt)
        return
    # After the deadline the caller waits for one turn of the loop at most.
    wait = min(grace, remaining_seconds(run))
    attempt.timer = run.core.clock.callLater(wait, _watch, run, attempt)


def _watch(run, attempt):
    # One timer checks the time of the last chunk: rescheduling a timer for each
    # chunk would cost more than handling the chunk.
    if remaining_seconds(run) < _MIN_WAIT_SECONDS:
        run.on_event(attempt, Lost('timeout'))
        return
    wait = attempt.limit - _silent_seconds(run, attempt)
    # Rounding can leave a wait too short to advance the clock.
    if wait < _MIN_WAIT_SECONDS:
        wait = max(attempt.limit, _RECHECK_SECONDS)
        _on_silence(run, attempt)
    if attempt.number in run.attempts.in_flight:
        watch_later(run, attempt, max(_MIN_WAIT_SECONDS, wait))


def _silent_seconds(run, attempt):
    return run.core.clock.seconds() - attempt.heard_at


def _on_silence(run, attempt):
    was_silent = attempt.is_silent
    if not was_silent:
        _note_silent(run.attempts, attempt)
    beside = start_beside(run)
    if was_silent and beside != _SENT:
        return
    run.core.log(
        events.SILENT,
        request=run.request.ident,
        step=run.stage.name,
        attempt=attempt.number,
        peer=attempt.choice.name,
        silent_ms=round(_silent_seconds(run, attempt) * _MS),
        beside=beside,
    )


def start_beside(run):
    """Start an attempt beside silent ones, if what it needs is in hand.

    Returns
    =======

    str
        What came of it, for the log.
    """
    in_flight = run.attempts.in_flight.values()
    if not all(attempt.is_silent for attempt in in_flight):
        return _OTHERS_IN_FLIGHT
    if not may_retry_now(run, run.attempts.number, may_have_run=True):
        return _NOT_ALLOWED
    if not may_send_now(run):
        return _LEAVING
    choice = _select_beside(run.attempts)
    if choice is None:
        return _NO_UPSTREAM
    if not run.core.retries.spent():
        return _NO_BUDGET
    run.core.count('stage.retried')
    run.send(choice, 'beside')
    return _SENT


def may_retry_now(run, failures, *, may_have_run):
    """Return whether a stage may be tried again, by its time and attempts.

    Parameters
    ==========

    failures : int
        Attempts that count as failed.
    may_have_run : bool
        Whether any of them may have run.
    """
    return may_retry(
        run.stage,
        failures,
        remaining_seconds(run),
        run.expected,
        may_have_run=may_have_run,
    )


def may_send_now(run):
    """Return whether the host, if it leaves, still sends calls of a stage."""
    return may_send(
        run.core.departure, run.stage, run.core.clock.seconds(), run.expected
    )


def _select_beside(attempts):
    """Return the upstream for an attempt beside silent ones, or None.

    Explanation
    ===========

    An upstream that is silent itself would be no exchange. If no other one is
    left, the attempt goes to one that was tried, over a new connection, since a
    connection may be dead while its upstream works; not if calls of other
    requests are silent there as well.
    """
    attempts.permissions.want_tokens(attempts.request.ident)
    own = {}
    for attempt in attempts.in_flight.values():
        name = attempt.choice.name
        own[name] = own.get(name, 0) + attempt.is_silent

    def is_silent(name):
        silent_calls = attempts.core.tracker.state(name).silent_calls
        return silent_calls > own.get(name, 0)

    if attempts.choose(attempts.tried) is None:
        return attempts.choose((), is_silent)
    return attempts.choose(attempts.tried, is_silent)


def _note_silent(attempts, attempt):
    """Record that an attempt, which goes on, has reached its limit."""
    attempt.is_silent = True
    attempt.was_silent = True
    record_slow_attempt(attempts, attempt)
    attempts.core.count('attempt.silent')
    attempts.core.tracker.fell_silent(attempt.choice.name, attempt.heard_at)
    attempts.core.close_idle(attempt.choice.upstream)


def note_heard(attempts, attempt):
    """Record that something of an attempt's answer has arrived."""
    was_silent = attempt.is_silent
    attempt.is_silent = False
    attempts.core.tracker.heard(attempt.choice.name, was_silent=was_silent)
    now = attempts.core.clock.seconds()
    if was_silent:
        attempts.core.count('attempt.resumed')
        attempts.core.log(
            events.RESUMED,
            request=attempts.request.ident,
            step=attempts.stage.name,
            attempt=attempt.number,
            peer=attempt.choice.name,
            silent_ms=round((now - attempt.heard_at) * _MS),
        )
    attempt.heard_at = now
