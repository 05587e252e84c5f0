"""Simulated upstreams that state that they leave or want a rest.

Explanation
===========

An upstream that leaves states so in all its answers and serves whatever reaches
it. One that sheds load turns a share of its requests away and asks the host for
some seconds without requests. The records tell which host had received which
answer when one of its requests arrived.
"""

from dataclasses import dataclass
from random import Random

from pollenstile.standin.crashing import NAMES
from pollenstile.standin.exchanges import Head
from pollenstile.standin.limited import LimitedUpstreams

_UNAVAILABLE = 503


@dataclass(slots=True, frozen=True)
class Shedding:
    """How an upstream turns requests away.

    Parameters
    ==========

    share : float
        Share of its requests that it turns away.
    rest : str
        Header value with which it asks for rest; empty for none.
    seconds : float
        Seconds that this value asks for.
    """

    share: float
    rest: str
    seconds: float


@dataclass(slots=True, frozen=True)
class Told:
    """An answer that told a host to send no more.

    Parameters
    ==========

    at : float
        Time on the clock of the answer.
    host, upstream : str
        Recipient and incarnation.
    until : float
        Time at which the rest ends; infinite for an upstream that leaves.
    """

    at: float
    host: str
    upstream: str
    until: float


class WithdrawingUpstreams(LimitedUpstreams):
    """Upstreams of one service that may leave or ask for rest.

    Attributes
    ==========

    leaving : set of str
        Incarnations that state that they leave.
    shedding : dict
        :class:`Shedding` by address.
    departures, asks : list of Told
        Answers that stated leaving, and those that asked for rest, in order.
    """

    def __init__(self, clock, write, is_crashing, work=0.3, seed=1):
        super().__init__(clock, write, is_crashing, work)
        self.rng = Random(seed)
        self.leaving = set()
        self.shedding = {}
        self.departures = []
        self.asks = []

    def refusal(self, process, call):
        """Return the head with which an upstream turns a call away, or None."""
        shedding = self.shedding.get(process.address)
        if shedding is None or self.rng.random() >= shedding.share:
            return None
        headers = self.answer_headers(process, call)
        headers[NAMES.not_run] = ['1']
        if shedding.rest:
            headers[NAMES.rest] = [shedding.rest]
            now = self.clock.seconds()
            until = now + shedding.seconds
            self.asks.append(Told(now, call.host, process.ident, until))
        return Head(_UNAVAILABLE, headers)

    def answer_headers(self, process, call):
        """Return the headers of an answer, with what the upstream states."""
        headers = super().answer_headers(process, call)
        if process.ident in self.leaving:
            headers[NAMES.leaving] = ['1']
            now = self.clock.seconds()
            told = Told(now, call.host, process.ident, float('inf'))
            self.departures.append(told)
        return headers

    def arrivals_after_departure(self, seconds, *, told_only=True):
        """Return arrivals at leaving upstreams after an answer had said so.

        Parameters
        ==========

        seconds : float
            Arrivals up to this time after the answer are left out.
        told_only : bool
            Whether the answer must have been to the host that sends; otherwise
            the first one to any host counts.
        """
        told_at = {}
        for told in self.departures:
            host = told.host if told_only else ''
            told_at.setdefault((host, told.upstream), told.at)
        late = []
        for arrival in self.arrivals:
            host = arrival.host if told_only else ''
            since = told_at.get((host, arrival.upstream))
            if since is not None and arrival.at > since + seconds:
                late.append(arrival)
        return late

    def most_in_rest(self, margin):
        """Return the most arrivals from one host in a time it was asked for.

        Parameters
        ==========

        margin : float
            Seconds after the answer from which arrivals count.
        """
        by_pair = {}
        for arrival in self.arrivals:
            pair = arrival.host, arrival.upstream
            by_pair.setdefault(pair, []).append(arrival.at)
        return max(
            (
                _count_between(
                    by_pair.get((ask.host, ask.upstream), ()),
                    ask.at + margin,
                    ask.until,
                )
                for ask in self.asks
            ),
            default=0,
        )

    def longest_idle(self):
        """Return the longest pause after the first end of a rest.

        Explanation
        ===========

        The pause ends with the next arrival from any host, or with a further
        answer that asks for rest.
        """
        longest = 0.0
        upstreams = sorted({ask.upstream for ask in self.asks})
        for upstream in upstreams:
            ends = [ask.until for ask in self.asks if ask.upstream == upstream]
            moments = [
                arrival.at
                for arrival in self.arrivals
                if arrival.upstream == upstream
            ]
            end = min(ends)
            later = [moment for moment in moments if moment >= end]
            longest = max(longest, min(later, default=end) - end)
        return longest


def _count_between(moments, since, until):
    """Return the number of moments after a time and before another."""
    return sum(since < moment < until for moment in moments)
