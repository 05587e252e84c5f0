"""A virtual clock that stays fast with many waiting calls."""

import heapq
import itertools

from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class VirtualClock:
    """Time that passes only when it is told to.

    Explanation
    ===========

    It does what ``twisted.internet.task.Clock`` does. That one sorts all
    waiting calls at each new one, which took more than half of the time of a
    run of many hosts; here they are a heap.

    Examples
    ========

    >>> clock = VirtualClock()
    >>> _ = clock.callLater(2, print, 'second')
    >>> _ = clock.callLater(1, print, 'first')
    >>> dropped = clock.callLater(1, print, 'never')
    >>> dropped.cancel()
    >>> later = clock.callLater(1, print, 'delayed')
    >>> later.delay(2)
    >>> clock.advance(2)
    first
    second
    >>> clock.advance(1)
    delayed
    >>> clock.seconds()
    3.0
    """

    __slots__ = ('entries', 'now', 'numbers')

    def __init__(self):
        self.now = 0.0
        self.entries = []
        self.numbers = itertools.count()

    def seconds(self):
        """Return the time in seconds."""
        return self.now

    def callLater(self, delay, callable, *args, **kw):
        """Call a function after some seconds; return the delayed call."""
        call = DelayedCall(
            self.now + delay,
            callable,
            args,
            kw,
            _leave_in_heap,
            self._push,
            self.seconds,
        )
        self._push(call)
        return call

    def getDelayedCalls(self):
        """Return the calls that wait."""
        return [call for _, _, call in self.entries if call.active()]

    def advance(self, amount):
        """Let some seconds pass, and make the calls that are due."""
        self.now += amount
        while self.entries and self.entries[0][0] <= self.now:
            due, _, call = heapq.heappop(self.entries)
            if not call.active():
                continue
            if call.getTime() > due:
                # It was put off after it had been entered.
                self._push(call)
                continue
            call.called = 1
            call.func(*call.args, **call.kw)

    def _push(self, call):
        entry = (call.getTime(), next(self.numbers), call)
        heapq.heappush(self.entries, entry)


def _leave_in_heap(call):
    """Do nothing: a cancelled call is passed over when it is due."""
