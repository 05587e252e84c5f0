"""Ends the requests of a leaving host: early, in time or at its end."""

from functools import partial

from pollenstile.forward._departure import (
    UNKNOWN_REFUSAL,
    Standing,
    early_refusal,
    final_refusal,
    has_time,
)
from pollenstile.forward._dispatch import expected_first_event_seconds

# Step of the log lines of what fails here.
_STEP = 'departure'


def departure_refusal(run):
    """Return the refusal of a run that can't end before its host, or None."""
    core = run.core
    if core.departure is None:
        return None
    return _refusal(run, partial(expected_first_event_seconds, core))


def may_answer_in_time(run):
    """Return whether a further attempt of a run may begin before its end."""
    core = run.core
    if core.departure is None:
        return True
    seconds = run.results.remaining_seconds() + expected_first_event_seconds(
        core, run.exchange
    )
    return has_time(core.departure, core.clock.seconds(), seconds)


def refuse_late(core, guard):
    """Refuse the requests that this host can't serve before its end.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    guard : function
        Takes the name of a step and a function; calls it, and logs its failure.
        That of one request keeps none of the others from its end.
    """
    first_seconds = _remembered_estimate(core)
    for run in list(core.runs):
        guard(_STEP, partial(_refuse_if_late, run, first_seconds))


def _refuse_if_late(run, first_seconds):
    refusal = _refusal(run, first_seconds)
    if refusal is not None:
        run.dismiss(refusal)


def _refusal(run, first_seconds):
    """Return the refusal of a run that can't end in time, or None.

    Parameters
    ==========

    first_seconds : function
        Takes an exchange; returns the expected seconds from a send to its
        first event.
    """
    core = run.core

    def expected_seconds():
        staged = run.results.remaining_seconds()
        return staged + first_seconds(run.exchange)

    return early_refusal(
        core.departure, core.clock.seconds(), _standing(run), expected_seconds
    )


def _remembered_estimate(core):
    """Return an estimate of first events that looks at each service once.

    Explanation
    ===========

    A host may have hundreds of upstreams, and many requests that wait.
    """
    known = {}

    def first_seconds(exchange):
        if exchange.prompt:
            return expected_first_event_seconds(core, exchange)
        key = (exchange.service, exchange.software, exchange.route.aim)
        if key not in known:
            known[key] = expected_first_event_seconds(core, exchange)
        return known[key]

    return first_seconds


def end_unbegun(core, guard):
    """End the requests without an answer, as the grace is almost over.

    Explanation
    ===========

    Each caller is told what has become of its request before the attempts are
    closed, and still has to read that. Begun answers go on. The parameters are
    those of :func:`refuse_late`.
    """
    for run in list(core.runs):
        if not run.answer.begun:
            _end(run, guard)


def end_all(core, guard):
    """End all requests, as this host ends.

    Explanation
    ===========

    A begun answer is aborted, as its end might be taken for that of the whole.
    The parameters are those of :func:`refuse_late`.
    """
    for run in list(core.runs):
        _end(run, guard)


def _end(run, guard):
    """Dismiss a run with what is certain of it.

    Explanation
    ===========

    If that can't be told for a failure of this program, it may have run.
    """
    refusals = []
    guard(_STEP, lambda: refusals.append(final_refusal(_standing(run))))
    refusal = refusals[0] if refusals else UNKNOWN_REFUSAL
    guard(_STEP, partial(run.dismiss, refusal))


def _standing(run):
    return Standing(
        run.answer.begun,
        run.count_runs(),
        run.contest.runs_in_flight(),
    )
