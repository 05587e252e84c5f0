"""The end of a leaving host's requests, and what they may still begin."""

import math

from pollenstile.outcomes import Failed, Refused, Unknown
from pollenstile.pipeline._decisions import has_enough_time

LEAVING = 'this host is leaving'
_UNAVAILABLE = 503
_STEP = 'grace'
# Other hosts can take the request at once.
_RETRY_SECONDS = 1.0


class Departure:
    """When a leaving host ends the requests that it still has.

    Attributes
    ==========

    ends_at : float
        Time of the end, on the clock, in seconds; infinite unless the host
        leaves.
    is_over : bool
        Whether requests that have not begun to answer are ended.
    """

    __slots__ = ('ends_at', 'is_over')

    def __init__(self):
        self.ends_at = math.inf
        self.is_over = False

    @property
    def is_set(self):
        """Whether the host leaves."""
        return self.ends_at < math.inf


def may_begin(departure, now, needed):
    """Return whether a request may begin of which nothing has run.

    Explanation
    ===========

    One that is likely not done at the end is refused while that is true.

    Parameters
    ==========

    departure : Departure
        That of the host.
    now : float
        Present time on the clock.
    needed : float
        Expected seconds of all its stages.

    Examples
    ========

    >>> from pollenstile.pipeline._departure import Departure, may_begin
    >>> departure = Departure()
    >>> may_begin(departure, 5.0, 3.0)
    True
    >>> departure.ends_at = 7.0
    >>> may_begin(departure, 5.0, 3.0), may_begin(departure, 5.0, 2.0)
    (False, True)
    """
    return not departure.is_over and now + needed <= departure.ends_at


def may_send(departure, stage, now, expected):
    """Return whether a call may be sent; see :func:`has_enough_time`.

    Parameters
    ==========

    expected : float
        Expected seconds of the stage.
    """
    if departure.is_over:
        return False
    return has_enough_time(stage, departure.ends_at - now, expected)


def ended_outcome(host, sent):
    """Return the outcome of a request that its leaving host ends.

    Parameters
    ==========

    host : str
        Name of the host.
    sent : str
        What was sent for it; see :meth:`Ledger.sent`.

    Examples
    ========

    >>> from pollenstile.pipeline._departure import ended_outcome
    >>> ended_outcome('h1', 'nothing').tag, ended_outcome('h1', 'once').tag
    ('not-run', 'unknown')
    >>> ended_outcome('h1', 'idempotent').tag
    'failed'
    """
    if sent == 'nothing':
        return Refused(_UNAVAILABLE, LEAVING, _STEP, host, _RETRY_SECONDS)
    kind = Unknown if sent == 'once' else Failed
    return kind(LEAVING, _STEP, host)
