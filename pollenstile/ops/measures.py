"""Metrics (counters, histograms and gauges) in the Prometheus text format.

Explanation
===========

Every decision is already a log event. Counters and histograms are updated
from these events, so that metrics and log lines cannot disagree, and events
whose lines are dropped under load are still counted.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import GaugeMetricFamily

_MS_PER_SECOND = 1000
# Seconds; the range covers a plain lookup up to the deadline of a long draft.
_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.3, 3, 5, 8, 12, 20)
# Label value for a missing or empty field.
_NO_VALUE = 'none'


def metric_name(name):
    """Return a metric's name with the prefix under which it is served."""
    return f'pollenstile_{name}'


class Measures:
    """Counts log events and records the durations in their fields.

    Parameters
    ==========

    log : function
        Writes the events to the log.
    times : tuple of tuple
        For each histogram: the event's name, the field with the duration in
        milliseconds, and the field that gives the label. Histograms are in
        seconds.

    Attributes
    ==========

    registry : prometheus_client.CollectorRegistry
        Metrics of this process.
    """

    __slots__ = ('events', 'histograms', 'log', 'registry')

    def __init__(self, log, times):
        self.log = log
        self.registry = CollectorRegistry()
        self.events = Counter(
            'pollenstile_events',
            'Log events, those whose lines were dropped included.',
            ('event', 'outcome'),
            registry=self.registry,
        )
        self.histograms = {}
        for event, field, label in times:
            name = '_'.join((event.replace('-', '_'), field[: -len('_ms')]))
            self.histograms.setdefault(event, []).append(
                (field, label, self._histogram(name, label)),
            )

    def gauge(self, name, meaning, value):
        """Add a gauge whose value is returned by a function."""
        gauge = Gauge(metric_name(name), meaning, registry=self.registry)
        gauge.set_function(value)

    def gauges(self, name, meaning, label, values):
        """Add a family of gauges distinguished by one label.

        Parameters
        ==========

        values : function
            Returns a mapping from each current label value to a number.
        """
        self.registry.register(_GaugeFamily(name, meaning, label, values))

    def write(self, event, level='info', **fields):
        """Count an event, record its durations and log it."""
        outcome = fields.get('outcome') or fields.get('reason') or _NO_VALUE
        self.events.labels(event.name, str(outcome)[:40]).inc()
        for field, label, histogram in self.histograms.get(event.name, ()):
            if fields.get(field):
                seconds = fields[field] / _MS_PER_SECOND
                histogram.labels(fields.get(label) or _NO_VALUE).observe(
                    seconds
                )
        self.log(event, level, **fields)

    def text(self):
        """Return all metrics in the text format, as bytes."""
        return generate_latest(self.registry)

    def _histogram(self, name, label):
        return Histogram(
            metric_name(f'{name}_seconds'),
            'Seconds, from the field of the event that names it.',
            (label,),
            buckets=_BUCKETS,
            registry=self.registry,
        )


class _GaugeFamily:
    """Family of gauges whose label values are known only when read."""

    __slots__ = ('label', 'meaning', 'name', 'values')

    def __init__(self, name, meaning, label, values):
        self.name = name
        self.meaning = meaning
        self.label = label
        self.values = values

    def collect(self):
        """Return the current gauges; called by the library."""
        family = GaugeMetricFamily(
            metric_name(self.name),
            self.meaning,
            labels=(self.label,),
        )
        for label_value, number in self.values().items():
            family.add_metric((label_value,), number)
        return (family,)


def metrics_page(measures):
    """Return a page that shows metrics in the text format.

    Parameters
    ==========

    measures : Measures
        Metrics to show.

    See Also
    ========

    pollenstile.ops.pages.PageFactory
    """

    def page(request):
        request.setHeader(b'content-type', b'text/plain; version=0.0.4')
        return measures.text()

    return page
