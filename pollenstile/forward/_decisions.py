"""What follows an attempt that failed, without I/O."""

import enum
from dataclasses import dataclass

from pollenstile.forward._types import Lost, NotRun, Refusal
from pollenstile.routes import Kind

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMED_OUT = 504
# Sends of one request that may be answered with 'not run' before it is given
# up: more only load a service that is full.
_MOST_SENDS = 3
# Seconds after which a refused caller is told to come back, at least, and the
# jitter, so that those refused together don't return together.
_LEAST_RETRY = 0.2
_RETRY_JITTER = 0.3
# Silence after which a call is tried elsewhere: this many times what it usually
# takes, and at least this share of its aim. One lookup in a hundred takes five
# times its usual time.
_PATIENCE_FACTOR = 4.0
_LEAST_SHARE = 0.5
# A stream that may go on elsewhere counts as dead after a silence of this many
# times the longest pause for which it is still in time: a crashed engine that
# says nothing is otherwise noticed at the deadline only. Seconds where no such
# pause is known.
_PAUSE_FACTOR = 2.0
_UNKNOWN_PAUSE = 0.75


class RetryDecision(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = 'again'
    GIVE_UP = 'give-up'


def decide_retry(route, outcome, sends, runs, *, resumed, may_repeat=True):
    """Return whether a request may be sent again.

    Explanation
    ===========

    A request that may run once only is sent again only when it surely did not
    run. Whether the repeat budget has room is asked afterwards.

    Parameters
    ==========

    outcome : NotRun or Lost
        The last attempt's.
    sends, runs : int
        Attempts so far, and those that may have run.
    resumed : bool
        Whether a part of the answer went out; then only a stream that may be
        resumed goes on.
    may_repeat : bool
        False for a request under which upstreams have crashed, in all attempts
        of its callers together.
    """
    if isinstance(outcome, NotRun):
        return (
            RetryDecision.RETRY
            if sends < _MOST_SENDS
            else RetryDecision.GIVE_UP
        )
    if not route.repeatable or not may_repeat:
        return RetryDecision.GIVE_UP
    if resumed and route.kind is not Kind.STREAM:
        return RetryDecision.GIVE_UP
    return (
        RetryDecision.RETRY if runs < route.attempts else RetryDecision.GIVE_UP
    )


@dataclass(slots=True, frozen=True)
class SilenceLimits:
    """Seconds of silence after which an attempt counts as lost.

    Parameters
    ==========

    first, between : float or None
        Before the answer begins, and between its parts. None for requests
        that can't be sent again: their deadline ends them.
    """

    first: float | None = None
    between: float | None = None


def silence_limits_of(route, usual):
    """Return the :class:`SilenceLimits` of an attempt.

    Parameters
    ==========

    usual : float
        Seconds until the answer usually begins.
    """
    if not route.repeatable or route.attempts < 2:
        return SilenceLimits()
    first = max(_LEAST_SHARE * route.aim, _PATIENCE_FACTOR * usual)
    if route.kind is Kind.STREAM:
        between = _PAUSE_FACTOR * (route.pause or _UNKNOWN_PAUSE)
        return SilenceLimits(max(first, between), between)
    return SilenceLimits(first, first)


def final_refusal(outcome, runs, rng):
    """Return the final answer after the last attempt.

    Parameters
    ==========

    runs : int
        Attempts that may have run; when there is none, the caller is told
        truthfully that the request has not run.
    """
    if runs or isinstance(outcome, Lost):
        return Refusal(_BAD_GATEWAY, outcome.reason, 'send', outcome.peer)
    return Refusal(
        _UNAVAILABLE,
        outcome.reason,
        'send',
        outcome.peer,
        retry_after(outcome.retry_after, rng),
    )


def retry_after(wait, rng):
    """Return seconds after which a refused caller should come back."""
    return max(_LEAST_RETRY, wait) + rng.uniform(0, _RETRY_JITTER)


def expired_refusal(runs):
    """Return the final answer at the deadline or the route's timeout."""
    if runs:
        return Refusal(_TIMED_OUT, 'timeout', 'send')
    return Refusal(_UNAVAILABLE, 'timeout', 'queue', '', _LEAST_RETRY)
