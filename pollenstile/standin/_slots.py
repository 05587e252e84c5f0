"""Concurrency slots of a fake upstream, with a queue of waiting calls."""

from collections import deque

from pollenstile.upstream.wire import LoadReport


class Slots:
    """Limits concurrent calls and queues the others in arrival order.

    Parameters
    ==========

    max_running : int
        Maximum number of concurrent calls.
    incarnation : str
        Incarnation named in load reports.

    Examples
    ========

    >>> from pollenstile.standin._slots import Slots
    >>> slots = Slots(1, 'a')
    >>> begun = []
    >>> slots.acquire(lambda: begun.append(1))
    >>> waiting = slots.acquire(lambda: begun.append(2))
    >>> begun
    [1]
    >>> slots.release()
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
        """Call ``begin`` now, or as soon as a slot is free."""
        if self.running < self.max_running:
            self.running += 1
            begin()
            return
        self.waiting.append(begin)

    def release(self):
        """Release a slot, or pass it to the first call in the queue."""
        if self.waiting:
            self.waiting.popleft()()
            return
        self.running -= 1

    def remove_waiting(self, begin):
        """Remove a call from the queue; return whether it was queued."""
        if begin not in self.waiting:
            return False
        self.waiting.remove(begin)
        return True

    def report(self, *, leaving=False):
        """Return the current load report."""
        return LoadReport(
            self.running,
            len(self.waiting),
            leaving,
            self.incarnation,
        )
