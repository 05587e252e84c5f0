"""Virtual clock with a heap of pending calls, fast for many of them."""

from heapq import heappop, heappush


class _Timer:
    """A pending call."""

    __slots__ = ('arguments', 'clock', 'due', 'function', 'number')

    def __init__(self, clock, function, arguments):
        self.clock = clock
        self.function = function
        self.arguments = arguments
        self.due = 0.0
        self.number = 0

    def active(self):
        """Return whether the call is still pending."""
        return self.number > 0

    def cancel(self):
        """Cancel the call."""
        self.number = 0

    def reset(self, seconds):
        """Reschedule the call to a delay from now."""
        self.clock.enter(self, seconds)


class HeapClock:
    """Clock with ``callLater`` and ``seconds`` on top of a heap.

    Explanation
    ===========

    ``twisted.internet.task.Clock`` sorts its complete list for each new call,
    which takes most of the time of a benchmark with thousands of pending calls.
    The entry of a reset or cancelled call stays in the heap and is skipped when
    it is due.

    Examples
    ========

    >>> from pollenstile.bench.policyclock import HeapClock
    >>> clock, seen = HeapClock(), []
    >>> late = clock.callLater(2, seen.append, 'late')
    >>> soon = clock.callLater(1, seen.append, 'soon')
    >>> late.reset(3)
    >>> clock.run(until=2.5)
    >>> seen, clock.seconds(), late.active()
    (['soon'], 2.5, True)
    """

    __slots__ = ('heap', 'now', 'numbers')

    def __init__(self):
        self.heap = []
        self.now = 0.0
        self.numbers = 0

    def seconds(self):
        """Return the current time in seconds."""
        return self.now

    def callLater(self, delay, function, *arguments):
        """Schedule a call after a delay, as ``IReactorTime.callLater``."""
        timer = _Timer(self, function, arguments)
        self.enter(timer, delay)
        return timer

    def enter(self, timer, delay):
        """Push a timer on the heap; an earlier entry becomes invalid."""
        self.numbers += 1
        timer.number = self.numbers
        timer.due = self.now + delay
        heappush(self.heap, (timer.due, timer.number, timer))

    def run(self, until, unless=bool):
        """Make the pending calls in order up to a time.

        Parameters
        ==========

        until : float
            Time on this clock in seconds.
        unless : function
            Called before each pending call; a true value ends the run.
        """
        while self.heap and self.heap[0][0] <= until:
            if unless():
                return
            due, number, timer = heappop(self.heap)
            if timer.number != number:
                continue
            timer.number = 0
            self.now = due
            timer.function(*timer.arguments)
        self.now = max(self.now, until)
