"""Ends the requests of a leaving host: early, in time or at its end."""

from pollenstile.forward._departure import (
    Standing,
    early_refusal,
    final_refusal,
)
from pollenstile.forward._dispatch import expected_first_event_seconds


def departure_refusal(run):
    """Return the refusal of a run that can't end before its host, or None."""
    core = run.core
    if core.departure is None:
        return None
    return early_refusal(core.departure, core.clock.seconds(), _standing(run))


def refuse_late(core):
    """Refuse the requests that this host can't serve before its end."""
    for run in list(core.runs):
        refusal = departure_refusal(run)
        if refusal is not None:
            run.dismiss(refusal)


def end_all(core):
    """End all requests, as the grace of this host is over.

    Explanation
    ===========

    Each caller is told what has become of its request before the attempts are
    closed. A begun answer is aborted, as its end might be taken for the whole.
    """
    for run in list(core.runs):
        run.dismiss(final_refusal(_standing(run)))


def _standing(run):
    exchange = run.exchange
    return Standing(
        run.answer.begun,
        run.count_runs(),
        run.contest.runs_in_flight(),
        run.results.remaining_seconds()
        + expected_first_event_seconds(run.core, exchange),
    )
