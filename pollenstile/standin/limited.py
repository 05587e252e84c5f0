"""Simulated upstreams that state how many requests a second they accept.

Explanation
===========

An upstream states its rate in the headers of its answers, for as long as the
test says so, and serves whatever reaches it. The records tell which hosts had
received such an answer when they sent a request.
"""

from dataclasses import dataclass

from pollenstile.standin.crashing import NAMES, CrashingUpstreams

# Span in seconds over which arrivals are counted.
WINDOW_SECONDS = 4.0
# Seconds from an upstream's first statement of its rate until the bound counts.
CONTACT_SECONDS = 3.0
# Bound on the arrivals in a window, as a multiple of what the rate allows and
# a number of requests in addition.
_ALLOWED_FACTOR = 1.5
_ALLOWED_SLACK = 5
# Seconds after which a host that received an answer with a rate is held to it.
_TOLD_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class Statement:
    """An answer to a host that stated a rate."""

    at: float
    host: str
    upstream: str
    rate: float


class LimitedUpstreams(CrashingUpstreams):
    """Upstreams of one service, some of which limit their request rate.

    Attributes
    ==========

    rates : dict
        Header value that each limited upstream states, by address.
    statements : list of Statement
        Answers that stated a rate, in order.
    """

    def __init__(self, clock, write, is_crashing, work=0.3):
        super().__init__(clock, write, is_crashing, work)
        self.rates = {}
        self.statements = []

    def answer_headers(self, process, call):
        """Return the headers of an answer, with the upstream's rate."""
        headers = super().answer_headers(process, call)
        rate = self.rates.get(process.address)
        if rate is not None:
            headers[NAMES.rate] = [str(rate)]
            statement = Statement(
                self.clock.seconds(), call.host, process.ident, rate
            )
            self.statements.append(statement)
        return headers

    def arrivals_at(self, address, since, until, *, told_only=False):
        """Return the times of arrivals at an upstream within a time span.

        Parameters
        ==========

        told_only : bool
            Whether only hosts count that had received its rate well before.
        """
        ident = self.processes[address].ident
        told_at = {}
        for statement in self.statements:
            if statement.upstream == ident:
                told_at.setdefault(statement.host, statement.at)
        return [
            arrival.at
            for arrival in self.arrivals
            if arrival.upstream == ident
            and since <= arrival.at < until
            and (
                not told_only
                or told_at.get(arrival.host, until) + _TOLD_SECONDS
                <= arrival.at
            )
        ]


def most_in_window(moments, seconds=WINDOW_SECONDS):
    """Return the largest number of moments within a sliding time span.

    Examples
    ========

    >>> from pollenstile.standin.limited import most_in_window
    >>> most_in_window([0.0, 1.0, 4.5, 4.9, 5.0])
    3
    """
    most = 0
    first = 0
    for last, moment in enumerate(moments):
        while moments[first] <= moment - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed_arrivals(rate):
    """Return how many arrivals a window may have at a rate.

    Examples
    ========

    >>> from pollenstile.standin.limited import allowed_arrivals
    >>> allowed_arrivals(1.0)
    11.0
    """
    return _ALLOWED_FACTOR * rate * WINDOW_SECONDS + _ALLOWED_SLACK
