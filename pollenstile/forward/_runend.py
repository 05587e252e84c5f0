"""Ends of a run: what the caller of a request is told."""

from pollenstile.forward._decisions import retry_after
from pollenstile.forward._outcomes import UpstreamFailure
from pollenstile.forward._request_log import log_cut_off
from pollenstile.forward._types import Lost, Refusal
from pollenstile.quarantine import HELD_REASON
from pollenstile.routes import Kind

_UNAVAILABLE = 503


def end_dismissed(run):
    """Tell the caller of a request that this host, which leaves, gives up."""
    if not run.answer.begun:
        run.refuse(run.dismissal)
        return
    run.outcome = 'cut off'
    run.core.silences.broken_off += 1
    log_cut_off(run, 'grace over')
    run.answer.abort()


def stage_refusal(run, failed):
    """Return the refusal of a request whose stage work has failed."""
    if run.count_runs() or failed.reason == HELD_REASON:
        return Refusal(502, failed.reason, failed.step)
    wait = failed.retry_after
    if not failed.promised:
        wait = retry_after(wait, run.core.rng)
    return Refusal(_UNAVAILABLE, failed.reason, failed.step, '', wait)


def failure_of(outcome, peer):
    """Return a failed attempt's outcome as ``NotRun`` or ``Lost``."""
    if isinstance(outcome, UpstreamFailure):
        return Lost(f'status {outcome.status}', peer)
    return outcome


def pass_on(run, failure):
    """Pass on a complete answer that reports a failure."""
    if run.answer.begun:
        run.answer.abort()
        return
    run.outcome = f'upstream {failure.status}'
    run.answer.begin(failure.status, failure.phrase, failure.headers)
    run.answer.write(failure.body)
    run.answer.finish()


def is_cancelled_on_disconnect(exchange):
    """Return whether a request is cancelled when its caller disconnects.

    Explanation
    ===========

    A request that may run only once is completed: if it were cancelled, it
    would be unknown whether it has run.
    """
    return exchange.route.kind is not Kind.ONCE
