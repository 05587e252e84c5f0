"""Ends the requests of a leaving host: early, in time or at its end."""

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
    return early_refusal(core.departure, core.clock.seconds(), _standing(run))


def may_answer_in_time(run):
    """Return whether a further attempt of a run may begin before its end."""
    core = run.core
    if core.departure is None:
        return True
    return has_time(
        core.departure, core.clock.seconds(), _expected_seconds(run)
    )


def refuse_late(core):
    """Refuse the requests that this host can't serve before its end."""
    for run in list(core.runs):
        refusal = departure_refusal(run)
        if refusal is not None:
            run.dismiss(refusal)


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
        _expected_seconds(run),
    )


def _expected_seconds(run):
    """Return the expected seconds until the answer of a new send begins."""
    staged = run.results.remaining_seconds()
    return staged + expected_first_event_seconds(run.core, run.exchange)
