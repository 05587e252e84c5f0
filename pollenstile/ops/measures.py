"""Counters, histograms and gauges, in the usual text format.

Explanation
===========

Every decision is a log event already. Measures are taken from the events as
they pass, so that a count and a line can't tell different stories, and lines
that are dropped under load are still counted.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import GaugeMetricFamily
from twisted.web.resource import Resource

_MS = 1000
# Seconds: from a plain lookup to the deadline of a long draft.
_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.3, 3, 5, 8, 12, 20)
# A field that is missing or empty is counted under this.
_NONE = 'none'


def shown_name(name):
    """Return a measure's name as it is served."""
    return f'pollenstile_{name}'


class Measures:
    """Counts the events of a log, and measures times in their fields.

    Parameters
    ==========

    log : function
        Writes the events.
    times : tuple of tuple
        Event's name, the field with milliseconds, and the field that tells
        apart; a histogram of seconds each.

    Attributes
    ==========

    registry : prometheus_client.CollectorRegistry
        Of this process.
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
        """Add a gauge whose value a function returns."""
        gauge = Gauge(shown_name(name), meaning, registry=self.registry)
        gauge.set_function(value)

    def gauges(self, name, meaning, label, values):
        """Add gauges that one label tells apart.

        Parameters
        ==========

        values : function
            Returns a number for each value that the label has now.
        """
        self.registry.register(_Family(name, meaning, label, values))

    def write(self, event, level='info', **fields):
        """Count an event, measure its times, and log it."""
        outcome = fields.get('outcome') or fields.get('reason') or _NONE
        self.events.labels(event.name, str(outcome)[:40]).inc()
        for field, label, histogram in self.histograms.get(event.name, ()):
            if fields.get(field):
                seconds = fields[field] / _MS
                histogram.labels(fields.get(label) or _NONE).observe(seconds)
        self.log(event, level, **fields)

    def text(self):
        """Return all measures as text, as bytes."""
        return generate_latest(self.registry)

    def _histogram(self, name, label):
        return Histogram(
            shown_name(f'{name}_seconds'),
            'Seconds, from the field of the event that names it.',
            (label,),
            buckets=_BUCKETS,
            registry=self.registry,
        )


class _Family:
    """Gauges whose labels are known only when they are read."""

    __slots__ = ('label', 'meaning', 'name', 'values')

    def __init__(self, name, meaning, label, values):
        self.name = name
        self.meaning = meaning
        self.label = label
        self.values = values

    def collect(self):
        """Return the gauges as they are now; called by the library."""
        family = GaugeMetricFamily(
            shown_name(self.name),
            self.meaning,
            labels=(self.label,),
        )
        for found, number in self.values().items():
            family.add_metric((found,), number)
        return (family,)


class MetricsResource(Resource):
    """Serves measures as text.

    Parameters
    ==========

    measures : Measures
        What is served.
    """

    isLeaf = True

    def __init__(self, measures):
        super().__init__()
        self.measures = measures

    def render(self, request):
        """Answer; called by twisted."""
        request.setHeader(b'content-type', b'text/plain; version=0.0.4')
        return self.measures.text()
