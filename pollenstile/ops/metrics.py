"""Counters and timings that are sent to statsd in batches."""

_MAX_TIMINGS = 2000


class Metrics:
    """Counters since the last flush, and totals since the start.

    Explanation
    ===========

    A packet per count would cost more than counting. Counts are accumulated
    and sent once a second; the number of timings kept between two flushes
    is bounded.

    Examples
    ========

    >>> from pollenstile.ops.metrics import Metrics
    >>> metrics = Metrics()
    >>> metrics.count('stage.hedged')
    >>> metrics.total('stage.hedged')
    1
    """

    __slots__ = ('counts', 'timings', 'totals')

    def __init__(self):
        self.counts = {}
        self.totals = {}
        self.timings = []

    def count(self, name, number=1):
        """Increase a counter."""
        self.counts[name] = self.counts.get(name, 0) + number

    def timing(self, name, milliseconds):
        """Record a timing in milliseconds."""
        if len(self.timings) < _MAX_TIMINGS:
            self.timings.append((name, milliseconds))

    def total(self, name):
        """Return a counter's total since the start."""
        return self.totals.get(name, 0) + self.counts.get(name, 0)

    def all_totals(self):
        """Return the totals of all counters since the start."""
        totals = dict(self.totals)
        for name, number in self.counts.items():
            totals[name] = totals.get(name, 0) + number
        return totals

    def flush(self, client=None):
        """Send the counts and timings, add them to the totals and reset.

        Parameters
        ==========

        client : statsd.StatsClient or None
            None only updates the totals.
        """
        if client is not None:
            self._send(client)
        self.totals = self.all_totals()
        self.counts.clear()
        self.timings.clear()

    def _send(self, client):
        with client.pipeline() as batch:
            for name, number in self.counts.items():
                batch.incr(name, number)
            for name, milliseconds in self.timings:
                batch.timing(name, milliseconds)
