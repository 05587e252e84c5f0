"""Retry decisions, silence limits and final refusals, without I/O."""

import enum
from dataclasses import dataclass

from pollenstile.forward._types import Lost, NotRun, Refusal
from pollenstile.routes import Kind

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMED_OUT = 504
# Maximum sends of one request when upstreams answer that they have not run it:
# more would only load a service that is full.
_MAX_SENDS = 3
# Minimum retry advice to refused callers, and the jitter that keeps callers
# that were refused together from retrying together.
_MIN_RETRY_SECONDS = 0.2
_RETRY_JITTER_SECONDS = 0.3
# Another attempt may be sent beside one that has been silent for this multiple
# of the expected time to the answer, and at least this share of the target
# latency. One lookup in a hundred takes five times its usual time.
_SILENCE_FACTOR = 4.0
_MIN_TARGET_SHARE = 0.5
# The same for a resumable stream, as a multiple of its route's pause, the
# longest one with which a stream still counts as in time. Without this limit,
# an engine that crashed without closing its connection is noticed only at the
# deadline. The second constant is the pause for routes that set none.
_PAUSE_FACTOR = 2.0
_DEFAULT_PAUSE_SECONDS = 0.75
# Multiple of the limit on silence from which another attempt is sent although
# its stage work has to be done again, or nothing shows that other upstreams of
# the service answer.
_PATIENCE_FACTOR = 2.0
# Share of its time for which nothing was heard of its upstreams, after which a
# request without a beginning of an answer is handed back to its caller, who may
# try it again while others are answered.
_HAND_BACK_SHARE = 0.5
# Reasons for which nothing is sent beside a silent attempt for now.
NOT_REPEATABLE = 'not repeatable'
ATTEMPTS_USED = 'attempts used'
NO_BUDGET = 'no budget'
NO_RESULTS = 'no stage results'
ALL_SILENT = 'nothing heard of the service'


class RetryDecision(enum.Enum):
    """What to do with a request after a failed attempt."""

    RETRY = 'again'
    GIVE_UP = 'give-up'


def decide_retry(route, outcome, sends, runs, *, resumed, may_repeat=True):
    """Return whether a request may be sent again.

    Explanation
    ===========

    A request that may run only once is sent again only when it certainly did
    not run. The caller of this function checks the retry budget afterwards.

    Parameters
    ==========

    route : Route
        Kind and limits of the request.
    outcome : NotRun or Lost
        Outcome of the last attempt.
    sends, runs : int
        Number of attempts so far, and of those that may have run.
    resumed : bool
        Whether part of the answer was sent to the caller; only a resumable
        stream continues then.
    may_repeat : bool
        False for a request during which upstreams have crashed, counted over
        all attempts of its callers.
    """
    if isinstance(outcome, NotRun):
        return (
            RetryDecision.RETRY if sends < _MAX_SENDS else RetryDecision.GIVE_UP
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
    """Seconds of silence after which another attempt may be sent beside one.

    Explanation
    ===========

    Silence ends no attempt: its upstream may go on before another one does.

    Parameters
    ==========

    first, between : float or None
        Limits before the answer begins and between its parts. None for
        requests that can't be sent again.
    """

    first: float | None = None
    between: float | None = None


def silence_limits_of(route, expected_seconds):
    """Return the :class:`SilenceLimits` of an attempt.

    Parameters
    ==========

    route : Route
        Kind and limits of the request.
    expected_seconds : float
        Expected time until the answer begins.
    """
    if not route.repeatable or route.attempts < 2:
        return SilenceLimits()
    first = max(
        _MIN_TARGET_SHARE * route.aim, _SILENCE_FACTOR * expected_seconds
    )
    if route.kind is Kind.STREAM:
        between = _PAUSE_FACTOR * (route.pause or _DEFAULT_PAUSE_SECONDS)
        return SilenceLimits(max(first, between), between)
    return SilenceLimits(first, first)


def standby_obstacle(
    route, state, *, resumed, may_repeat, has_budget, has_results, is_heard
):
    """Return why no attempt is sent beside silent ones now; empty if one is.

    Parameters
    ==========

    route : Route
        Kind and limits of the request.
    state : SilentState
        The attempts of the request and their silence.
    resumed, may_repeat : bool
        See :func:`decide_retry`.
    has_budget : bool
        Whether the budget allows a retry.
    has_results : bool
        Whether the results of the stage work are held.
    is_heard : bool
        Whether an upstream of the service has been heard since, or none is
        awaited.
    """
    is_resumable = route.kind is Kind.STREAM or not resumed
    if not (route.repeatable and may_repeat and is_resumable):
        return NOT_REPEATABLE
    if state.runs >= route.attempts or state.sends >= _MAX_SENDS:
        return ATTEMPTS_USED
    if not has_budget:
        return NO_BUDGET
    if state.is_long():
        return ''
    return _reason_to_wait(has_results=has_results, is_heard=is_heard)


def _reason_to_wait(*, has_results, is_heard):
    if not has_results:
        return NO_RESULTS
    return '' if is_heard else ALL_SILENT


def should_hand_back(obstacle, state, unheard_share, *, begun, is_heard):
    """Return whether a request whose attempts are silent is given up.

    Explanation
    ===========

    An answer that has begun is never given up for a silence, nor is a request
    that may run only once.

    Parameters
    ==========

    obstacle : str
        Why no attempt is sent beside the silent ones.
    state : SilentState
        The attempts of the request and their silence.
    unheard_share : float
        Part of the request's time since when no upstream that it was sent to
        has sent anything, to any request.
    begun : bool
        Whether a part of the answer was passed on.
    is_heard : bool
        Whether another upstream of the service has been heard since.
    """
    if begun or not is_heard or obstacle not in {ATTEMPTS_USED, NO_BUDGET}:
        return False
    return state.is_long() and unheard_share >= _HAND_BACK_SHARE


@dataclass(slots=True, frozen=True)
class SilentState:
    """The attempts of a request when all of them are silent.

    Parameters
    ==========

    sends, runs : int
        Number of attempts so far, and of those that may have run, with those
        in flight.
    silent_seconds, limit : float
        Length and limit of the shortest silence.
    """

    sends: int
    runs: int
    silent_seconds: float
    limit: float

    def is_long(self):
        """Return whether the silence is well over its limit."""
        return self.silent_seconds >= _PATIENCE_FACTOR * self.limit


def final_refusal(outcome, runs, rng, wait=0.0):
    """Return the final :class:`Refusal` after the last attempt.

    Parameters
    ==========

    outcome : NotRun or Lost
        Outcome of the last attempt.
    runs : int
        Number of attempts that may have run; with none, the answer states
        that the request has not run.
    rng : random.Random
        Source of the jitter in the retry advice.
    wait : float
        Seconds until an upstream takes requests again, if that is known.
    """
    if runs or isinstance(outcome, Lost):
        return Refusal(_BAD_GATEWAY, outcome.reason, 'send', outcome.peer)
    return Refusal(
        _UNAVAILABLE,
        outcome.reason,
        'send',
        outcome.peer,
        retry_after(max(outcome.retry_after, wait), rng),
    )


def retry_after(wait, rng):
    """Return the seconds after which a refused caller should retry."""
    return max(_MIN_RETRY_SECONDS, wait) + rng.uniform(0, _RETRY_JITTER_SECONDS)


def expired_refusal(runs):
    """Return the final :class:`Refusal` at the deadline or route timeout."""
    if runs:
        return Refusal(_TIMED_OUT, 'timeout', 'send')
    return Refusal(_UNAVAILABLE, 'timeout', 'queue', '', _MIN_RETRY_SECONDS)
