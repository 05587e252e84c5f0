"""What one entry host knows of each upstream."""

from hdrh.histogram import HdrHistogram

_LOWEST_MS = 1
_HIGHEST_MS = 3600000
_DIGITS = 2
_ENOUGH = 20
_MS = 1000


class UpstreamState:
    """Own counts and last reports of one upstream.

    Parameters
    ==========

    in_flight : int
        Own calls that have not ended.
    load : Load or None
        Its last load report.
    reported : float
        When that came, in seconds.
    sent_since : int
        Own calls sent after that report.
    failures : int
        Failures in a row.
    barred_until : float
        No call is sent before, in seconds.
    leaving : bool
        Whether it gets no new work.
    """

    __slots__ = (
        'barred_until',
        'failures',
        'in_flight',
        'leaving',
        'load',
        'reported',
        'sent_since',
    )

    def __init__(self):
        self.in_flight = 0
        self.load = None
        self.reported = 0.0
        self.sent_since = 0
        self.failures = 0
        self.barred_until = 0.0
        self.leaving = False


class Tracker:
    """State of every upstream, and measured times of every stage.

    Parameters
    ==========

    clock : IReactorTime
        For the age of reports.

    Attributes
    ==========

    observer : function or None
        Takes a name and its load report; returns whether the upstream is
        leaving, which it knows by incarnation.
    """

    __slots__ = ('clock', 'observer', 'states', 'times')

    def __init__(self, clock):
        self.clock = clock
        self.observer = None
        self.states = {}
        self.times = {}

    def state(self, name):
        """Return the state of an upstream, a new one at first."""
        state = self.states.get(name)
        if state is None:
            state = UpstreamState()
            self.states[name] = state
        return state

    def started(self, name):
        """Note that a call was sent."""
        state = self.state(name)
        state.in_flight += 1
        state.sent_since += 1

    def ended(self, name, load=None, *, failed=False):
        """Note that a call ended, with the load report that came along."""
        state = self.state(name)
        state.in_flight -= 1
        if failed:
            state.failures += 1
            state.barred_until = self.clock.seconds() + _bar_time(
                state.failures,
            )
            return
        state.failures = 0
        state.barred_until = 0.0
        if load is not None:
            self.reported(name, load)

    def reported(self, name, load):
        """Note a load report."""
        state = self.state(name)
        state.load = load
        state.reported = self.clock.seconds()
        state.sent_since = 0
        if self.observer is not None:
            state.leaving = self.observer(name, load)
            return
        state.leaving = state.leaving or load.leaving

    def measured(self, stage_key, seconds):
        """Note how long a stage took, in seconds."""
        histogram = self.times.get(stage_key)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
            self.times[stage_key] = histogram
        histogram.record_value(max(_LOWEST_MS, int(seconds * _MS)))

    def quantile(self, stage_key, percent, otherwise):
        """Return a measured quantile in seconds, or a given value at first."""
        histogram = self.times.get(stage_key)
        if histogram is None or histogram.get_total_count() < _ENOUGH:
            return otherwise
        return histogram.get_value_at_percentile(percent) / _MS


def _bar_time(failures):
    if failures < 2:
        return 0.0
    return min(5.0, 0.1 * 2**failures)
