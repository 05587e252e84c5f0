"""A virtual clock that stays fast with many pending calls."""

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
        """Return whether it will still be made."""
        return self.number > 0

    def cancel(self):
        """Take it back."""
        self.number = 0

    def reset(self, seconds):
        """Make it so many seconds from now instead."""
        self.clock.enter(self, seconds)


class HeapClock:
    """``callLater`` and ``seconds`` over a heap.

    Explanation
    ===========

    ``twisted.internet.task.Clock`` sorts its whole list for each new call;
    with thousands pending that is most of a bench's time. A call that was
    reset or cancelled stays in the heap and is skipped when its turn comes.

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
        """Return the time, in seconds."""
        return self.now

    def callLater(self, delay, function, *arguments):
        """Make a call after a delay; named as twisted names it."""
        timer = _Timer(self, function, arguments)
        self.enter(timer, delay)
        return timer

    def enter(self, timer, delay):
        """Put a timer into the heap, in place of its earlier entry."""
        self.numbers += 1
        timer.number = self.numbers
        timer.due = self.now + delay
        heappush(self.heap, (timer.due, timer.number, timer))

    def run(self, until, unless=bool):
        """Make calls in order until a time, or until told to stop.

        Parameters
        ==========

        until : float
            In seconds on this clock.
        unless : function
            Asked before each call; a true value stops.
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
