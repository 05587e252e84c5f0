"""The end of a leaving host's requests, and what they may still begin."""

import math

from pollenstile.outcomes import Failed, Refused, Unknown

_UNAVAILABLE = 503
_REASON = 'this host is leaving'
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
        return Refused(_UNAVAILABLE, _REASON, _STEP, host, _RETRY_SECONDS)
    kind = Unknown if sent == 'once' else Failed
    return kind(_REASON, _STEP, host)
