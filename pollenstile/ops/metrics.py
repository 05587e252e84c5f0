"""Counters and timings, sent to statsd in batches."""

_MOST_TIMINGS = 2000


class Metrics:
    """Counts since the last flush, and totals since the start.

    Explanation
    ===========

    A packet for each count would cost more than the count. Counts are added
    up here and sent once a second; of timings at most a bounded number is
    kept between two flushes.

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
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + number

    def timing(self, name, milliseconds):
        """Keep a timing, in milliseconds."""
        if len(self.timings) < _MOST_TIMINGS:
            self.timings.append((name, milliseconds))

    def total(self, name):
        """Return a counter's value since the start."""
        return self.totals.get(name, 0) + self.counts.get(name, 0)

    def all_totals(self):
        """Return every counter since the start."""
        totals = dict(self.totals)
        for name, number in self.counts.items():
            totals[name] = totals.get(name, 0) + number
        return totals

    def flush(self, client=None):
        """Send what was kept, and start anew.

        Parameters
        ==========

        client : statsd.StatsClient or None
            None only adds up the totals.
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
