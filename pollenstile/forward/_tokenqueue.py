"""Requests that wait for a token of one of a service's upstreams."""

import itertools
from bisect import insort
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred


@dataclass(slots=True, order=True)
class _Waiting:
    """A waiting request, ordered by urgency and then by its deadline."""

    urgency: int
    ends: float
    number: int
    woken: Deferred = field(compare=False)


class TokenQueue:
    """Waiting requests by service, in the order in which they are sent.

    Parameters
    ==========

    clock : IReactorTime
        Makes the timers.

    Attributes
    ==========

    waiting : dict
        Lists of the waiting requests, by service.
    """

    __slots__ = ('clock', 'numbers', 'waiting')

    def __init__(self, clock):
        self.clock = clock
        self.numbers = itertools.count()
        self.waiting = {}

    def ahead(self, service, urgency, ends):
        """Return the number of requests that are sent before a new one."""
        return sum(
            (waiting.urgency, waiting.ends) <= (urgency, ends)
            for waiting in self.waiting.get(service, ())
        )

    def wait(self, exchange, seconds):
        """Return a Deferred that fires when a request should try again.

        Parameters
        ==========

        exchange : Exchange
            The request.
        seconds : float
            Time after which it fires in any case.
        """
        service = exchange.service
        woken = Deferred(lambda _: self._remove(service, waiting))
        waiting = _Waiting(
            exchange.urgency, exchange.ends, next(self.numbers), woken
        )
        insort(self.waiting.setdefault(service, []), waiting)
        timer = self.clock.callLater(seconds, self._time_out, service, waiting)
        woken.addBoth(_stop_timer, timer)
        return woken

    def wake_behind(self, exchange):
        """Let requests try again that are sent after a new one."""
        queue = self.waiting.get(exchange.service, [])
        order = (exchange.urgency, exchange.ends)
        behind = [
            waiting
            for waiting in queue
            if (waiting.urgency, waiting.ends) > order
        ]
        for waiting in behind:
            queue.remove(waiting)
        for waiting in behind:
            if not waiting.woken.called:
                waiting.woken.callback(None)

    def wake(self, service):
        """Let the waiting requests of a service try again, in their order."""
        for waiting in self.waiting.pop(service, ()):
            if not waiting.woken.called:
                waiting.woken.callback(None)

    def _time_out(self, service, waiting):
        self._remove(service, waiting)
        if not waiting.woken.called:
            waiting.woken.callback(None)

    def _remove(self, service, waiting):
        queue = self.waiting.get(service, [])
        if waiting in queue:
            queue.remove(waiting)


def _stop_timer(result, timer):
    if timer.active():
        timer.cancel()
    return result
