"""Sliding counts of what a queue was offered and what it admitted."""

from collections import deque

# Length of the window and of its buckets, in seconds.
WINDOW_SECONDS = 2.0
_BUCKET_SECONDS = 0.1
_BUCKETS = round(WINDOW_SECONDS / _BUCKET_SECONDS)


class Count:
    """Offered and admitted amounts."""

    __slots__ = ('admitted', 'offered')

    def __init__(self, offered=0, admitted=0):
        self.offered = offered
        self.admitted = admitted

    def add(self, offered, admitted):
        """Add offered and admitted amounts."""
        self.offered += offered
        self.admitted += admitted

    def share(self):
        """Return the admitted share; 1 when nothing was offered."""
        return self.admitted / self.offered if self.offered else 1.0


class SlidingCounts:
    """Counts by key over the last two seconds.

    Explanation
    ===========

    An amount is added to its bucket and to the total of its key, and is
    subtracted from the total when the bucket leaves the window. So the cost of
    a call does not depend on the length of the window.

    Attributes
    ==========

    totals : dict
        :class:`Count` by key; keys without any offer are absent.
    buckets : deque of tuple
        Bucket number and :class:`Count` by key, oldest first.

    Examples
    ========

    >>> counts = SlidingCounts()
    >>> counts.add('a', 0.0, 4, 4)
    >>> counts.add('a', 1.0, 2, 0)
    >>> counts.advance(1.9)
    >>> counts.totals['a'].offered
    6
    >>> counts.advance(2.0)
    >>> counts.totals['a'].offered
    2
    """

    __slots__ = ('buckets', 'totals')

    def __init__(self):
        self.totals = {}
        self.buckets = deque()

    def add(self, key, now, offered, admitted):
        """Add offered and admitted amounts of a key."""
        self.advance(now)
        number = bucket_number(now)
        if not self.buckets or self.buckets[-1][0] != number:
            self.buckets.append((number, {}))
        self.buckets[-1][1].setdefault(key, Count()).add(offered, admitted)
        self.totals.setdefault(key, Count()).add(offered, admitted)

    def advance(self, now):
        """Remove what has left the window."""
        oldest = bucket_number(now) - _BUCKETS
        while self.buckets and self.buckets[0][0] <= oldest:
            _, counts = self.buckets.popleft()
            for key, count in counts.items():
                self._subtract(key, count)

    def _subtract(self, key, count):
        total = self.totals[key]
        total.add(-count.offered, -count.admitted)
        if not total.offered:
            self.totals.pop(key)


def bucket_number(now):
    """Return the number of the bucket of a clock time in seconds."""
    return int(now / _BUCKET_SECONDS)
