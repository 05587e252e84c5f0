"""Ends the requests of a leaving host: early, in time or at its end."""

from functools import partial

from pollenstile.forward._departure import (
    Standing,
    early_refusal,
    final_refusal,
    has_time,
)
from pollenstile.forward._dispatch import expected_first_event_seconds


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


def refuse_late(core):
    """Refuse the requests that this host can't serve before its end."""
    first_seconds = _remembered_estimate(core)
    for run in list(core.runs):
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


def end_unbegun(core):
    """End the requests without an answer, as the grace is almost over.

    Explanation
    ===========

    Each caller is told what has become of its request before the attempts are
    closed, and still has to read that. Begun answers go on.
    """
    for run in list(core.runs):
        if not run.answer.begun:
            run.dismiss(final_refusal(_standing(run)))


def end_all(core):
    """End all requests, as this host ends.

    Explanation
    ===========

    A begun answer is aborted, as its end might be taken for that of the whole.
    """
    for run in list(core.runs):
        run.dismiss(final_refusal(_standing(run)))


def _standing(run):
    return Standing(
        run.answer.begun,
        run.count_runs(),
        run.contest.runs_in_flight(),
    )
