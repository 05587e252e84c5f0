"""Requests that wait for a token of one of a service's upstreams."""

import itertools
from bisect import insort
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from pollenstile.ops.timers import cancel_timer_after


@dataclass(slots=True, order=True)
class _Waiting:
    """A waiting request, ordered by its turn and then by its arrival."""

    turn: tuple
    number: int
    woken: Deferred = field(compare=False)

    def wake(self):
        """Let the request try again."""
        if not self.woken.called:
            self.woken.callback(None)


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

    def ahead(self, exchange):
        """Return the number of requests that are sent before a new one."""
        turn = _turn(exchange)
        queue = self.waiting.get(exchange.service, ())
        return sum(waiting.turn <= turn for waiting in queue)

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
        waiting = _Waiting(_turn(exchange), next(self.numbers), woken)
        insort(self.waiting.setdefault(service, []), waiting)
        timer = self.clock.callLater(seconds, self._time_out, service, waiting)
        cancel_timer_after(woken, timer)
        return woken

    def wake_behind(self, exchange):
        """Let requests try again that are sent after a new one."""
        turn = _turn(exchange)
        queue = self.waiting.get(exchange.service, [])
        behind = [waiting for waiting in queue if waiting.turn > turn]
        for waiting in behind:
            queue.remove(waiting)
        for waiting in behind:
            waiting.wake()

    def wake(self, service):
        """Let the waiting requests of a service try again, in their order."""
        for waiting in self.waiting.pop(service, ()):
            waiting.wake()

    def _time_out(self, service, waiting):
        self._remove(service, waiting)
        waiting.wake()

    def _remove(self, service, waiting):
        queue = self.waiting.get(service, [])
        if waiting in queue:
            queue.remove(waiting)


def _turn(exchange):
    """Return the key by which requests wait: urgency, then deadline."""
    return exchange.urgency, exchange.ends
