"""Ends of a run: what the caller of a request is told."""

from twisted.internet.defer import CancelledError

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


def is_given_up(run):
    """Return whether a request whose caller has left is given up.

    Explanation
    ===========

    A request that may run only once is completed once an upstream may have got
    it: if it were cancelled, it would be unknown whether it has run.
    """
    if not run.answer.gone:
        return False
    if run.exchange.route.kind is not Kind.ONCE:
        return True
    return not (run.count_runs() or run.contest.runs_in_flight())


def end_if_given_up(run):
    """End a request before it is sent, if its caller has left.

    Raises
    ======

    CancelledError
        As if the request had been cancelled when its caller left.
    """
    if is_given_up(run):
        raise CancelledError


def end_left(core, answer):
    """Cancel the request of a caller who has left, if it may be given up."""
    for run in core.runs:
        if run.answer is answer:
            if is_given_up(run):
                run.work.cancel()
            return
