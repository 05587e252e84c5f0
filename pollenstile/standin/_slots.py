"""Slots of a stand-in: calls that run and calls that wait."""

from collections import deque

from pollenstile.upstream.wire import LoadReport


class Slots:
    """Calls side by side, the rest in a queue.

    Parameters
    ==========

    most : int
        Calls that run at once.
    incarnation : str
        Stated in load reports.

    Examples
    ========

    >>> from pollenstile.standin._slots import Slots
    >>> slots = Slots(1, 'a')
    >>> begun = []
    >>> slots.take(lambda: begun.append(1))
    >>> waiting = slots.take(lambda: begun.append(2))
    >>> begun
    [1]
    >>> slots.free()
    >>> begun
    [1, 2]
    """

    __slots__ = ('incarnation', 'max_running', 'running', 'waiting')

    def __init__(self, max_running, incarnation):
        self.max_running = max_running
        self.incarnation = incarnation
        self.running = 0
        self.waiting = deque()

    def acquire(self, begin):
        """Call ``begin`` now or when a slot is free."""
        if self.running < self.max_running:
            self.running += 1
            begin()
            return
        self.waiting.append(begin)

    def release(self):
        """Give a slot back; the next in the queue gets it."""
        if self.waiting:
            self.waiting.popleft()()
            return
        self.running -= 1

    def remove_waiting(self, begin):
        """Take a call out of the queue; return whether it was there."""
        if begin not in self.waiting:
            return False
        self.waiting.remove(begin)
        return True

    def report(self, *, leaving=False):
        """Return the load to state."""
        return LoadReport(
            self.running,
            len(self.waiting),
            leaving,
            self.incarnation,
        )
