"""When a leaving host refuses requests and ends, and what it tells callers."""

from dataclasses import dataclass

from pollenstile.forward._types import Refusal

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
LEAVING = 'leaving'
# Seconds for which a leaving host still accepts requests, and the largest part
# of its grace. The load balancer checks readiness each second and needs two
# negative answers.
_LAME_DUCK_SECONDS = 2.3
_LAME_DUCK_SHARE = 0.6
# Seconds of the grace that must be left when the last callers are told, and
# the largest part of it.
_MARGIN_SECONDS = 0.6
_MARGIN_SHARE = 0.15
# Part of that time in which callers read what they are told.
_FLUSH_SHARE = 0.5
# Time between a leaving host's looks at its requests.
LOOK_SECONDS = 0.05
# Refusal by a leaving host. The last value is the retry delay in seconds, after
# which another host accepts the connections.
LEAVING_REFUSAL = Refusal(_UNAVAILABLE, LEAVING, 'entry', '', 0.1)
# The same of a request that may have run.
UNKNOWN_REFUSAL = Refusal(_BAD_GATEWAY, LEAVING, 'send')


@dataclass(slots=True, frozen=True)
class Departure:
    """Times on the clock of a host that was asked to stop.

    Parameters
    ==========

    refuses_at : float
        From then on new requests are refused.
    latest : float
        Requests whose answers have not begun are ended by then.
    stops_at : float
        All answers are ended by then, and all connections closed.
    """

    refuses_at: float
    latest: float
    stops_at: float


def departure_of(began, grace_seconds):
    """Return the :class:`Departure` of a host.

    Parameters
    ==========

    began : float
        Time on the clock at which it was asked to stop.
    grace_seconds : float
        Time from then on until the process is killed.

    Examples
    ========

    >>> from pollenstile.forward._departure import departure_of
    >>> departure_of(0.0, 8.0)
    Departure(refuses_at=2.3, latest=7.4, stops_at=7.7)
    >>> round(departure_of(0.0, 1.0).stops_at, 3)
    0.925
    """
    lame_duck = min(_LAME_DUCK_SECONDS, _LAME_DUCK_SHARE * grace_seconds)
    margin = min(_MARGIN_SECONDS, _MARGIN_SHARE * grace_seconds)
    latest = began + grace_seconds - margin
    return Departure(began + lame_duck, latest, latest + _FLUSH_SHARE * margin)


@dataclass(slots=True, frozen=True)
class Standing:
    """How far a request has come.

    Parameters
    ==========

    begun : bool
        Whether a part of the answer was passed on.
    runs : int
        Number of ended attempts that may have run.
    runs_in_flight : int
        Number of attempts in flight that may have run.
    """

    begun: bool
    runs: int
    runs_in_flight: int


def has_time(departure, now, seconds):
    """Return whether what takes some seconds may end before its host leaves.

    Explanation
    ===========

    The time to the next look counts as well: what doesn't fit then is refused
    too late.

    Parameters
    ==========

    departure : Departure or None
        None for a host that doesn't leave.
    now : float
        Present time on the clock.
    seconds : float
        Expected time that is needed.
    """
    if departure is None:
        return True
    return now + LOOK_SECONDS + seconds <= departure.latest


def early_refusal(departure, now, standing, expected_seconds):
    """Return the refusal of a request that a leaving host can't serve in time.

    Explanation
    ===========

    Its caller still has time for another host. A request at an upstream is
    awaited to the end, as its answer may begin at any time, and a begun answer
    may still be completed.

    Parameters
    ==========

    departure : Departure or None
        None for a host that doesn't leave.
    now : float
        Present time on the clock.
    standing : Standing
        How far the request has come.
    expected_seconds : function
        Returns the expected time until its answer begins; called only if that
        decides.

    Returns
    =======

    Refusal or None

    Examples
    ========

    >>> from pollenstile.forward._departure import (
    ...     Standing, departure_of, early_refusal)
    >>> leaving = departure_of(0.0, 8.0)
    >>> waiting = Standing(False, 0, 0)
    >>> early_refusal(leaving, 5.8, waiting, lambda: 1.5) is None
    True
    >>> early_refusal(leaving, 6.0, waiting, lambda: 1.5).status
    503
    >>> early_refusal(leaving, 6.0, Standing(False, 1, 0), lambda: 1.5).status
    502
    >>> early_refusal(leaving, 7.0, Standing(False, 0, 1), lambda: 1.5) is None
    True
    """
    if departure is None or standing.begun or standing.runs_in_flight:
        return None
    if has_time(departure, now, expected_seconds()):
        return None
    return final_refusal(standing)


def final_refusal(standing):
    """Return what a leaving host tells the caller of an answer not begun.

    Explanation
    ===========

    Only a request that has certainly not run may be sent to another host by a
    caller for whom it may run only once.
    """
    if standing.runs or standing.runs_in_flight:
        return UNKNOWN_REFUSAL
    return LEAVING_REFUSAL
