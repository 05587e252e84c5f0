"""Attempts of a run: how one is built, and what follows when one answers."""

from pollenstile.forward._attempt import Attempt
from pollenstile.forward._decisions import silence_limits_of
from pollenstile.forward._dispatch import (
    expected_answer_seconds,
    input_release_for,
)
from pollenstile.forward._request_log import log_taken_over


def last_event_of(run):
    """Return the last event that was passed on, or that the caller has."""
    leader = run.contest.leader
    if leader is not None and leader.splitter.last:
        return leader.splitter.last.decode('latin-1')
    return run.last_event


def new_attempt(run, view, inputs, last_event):
    """Return an attempt that isn't started."""
    expected = expected_answer_seconds(run.core, run.exchange, view)
    attempt = Attempt(
        run.core,
        run.exchange,
        view,
        run.contest,
        silence_limits_of(run.exchange.route, expected),
        input_release_for(run.core, run.exchange, run.results, inputs, view),
    )
    attempt.on_silent = run.standby.note_silent
    attempt.on_heard = run.standby.note_heard
    attempt.part_source = run.core.part_sources.take(run.exchange, view)
    if last_event:
        attempt.splitter.last = last_event.encode('latin-1')
    return attempt


def handle_closed(run, attempt, closed):
    """Release the results, which the attempt that goes on has read."""
    run.results.release()
    if any(other.silence.is_silent for other in closed):
        run.core.silences.taken_over += 1
        log_taken_over(run, attempt, closed)
