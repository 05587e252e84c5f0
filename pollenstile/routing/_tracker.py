"""State of each upstream, as one entry host observes it."""

from pollenstile.routing._decayed import DecayedQuantiles
from pollenstile.routing._ejection import ejection_time

# Number of measurements from which on quantiles are used.
_MIN_MEASUREMENTS = 20


class UpstreamState:
    """Call counts and last load report of one upstream.

    Parameters
    ==========

    in_flight : int
        Calls of this host that have not ended.
    load : Load or None
        Its last load report.
    reported : float
        Clock time at which the report arrived, in seconds.
    own_at_report : int
        Calls of this host in flight when the report arrived.
    failures : int
        Consecutive failures.
    ejected_until : float
        Clock time at which its ejection ends, in seconds.
    leaving : bool
        Whether it must get no new calls.
    """

    __slots__ = (
        'ejected_until',
        'failures',
        'in_flight',
        'leaving',
        'load',
        'own_at_report',
        'reported',
    )

    def __init__(self):
        self.in_flight = 0
        self.load = None
        self.reported = 0.0
        self.own_at_report = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.leaving = False


class Tracker:
    """State of every upstream, and measured times of every stage.

    Parameters
    ==========

    clock : IReactorTime
        Timestamps load reports and measurements.

    Attributes
    ==========

    observer : function or None
        Called with the name of an upstream and its load report; tracks the
        upstream's incarnations and returns whether it is leaving.
    """

    __slots__ = ('clock', 'observer', 'states', 'times')

    def __init__(self, clock):
        self.clock = clock
        self.observer = None
        self.states = {}
        self.times = {}

    def state(self, name):
        """Return the state of an upstream; create it if needed."""
        state = self.states.get(name)
        if state is None:
            state = UpstreamState()
            self.states[name] = state
        return state

    def started(self, name):
        """Record that a call was sent."""
        self.state(name).in_flight += 1

    def ended(self, name, load=None, *, failed=False):
        """Record that a call ended, and its load report if it has one."""
        state = self.state(name)
        state.in_flight -= 1
        if failed:
            state.failures += 1
            state.ejected_until = self.clock.seconds() + ejection_time(
                state.failures,
            )
            return
        state.failures = 0
        state.ejected_until = 0.0
        if load is not None:
            self.reported(name, load)

    def reported(self, name, load):
        """Record a load report."""
        state = self.state(name)
        state.load = load
        state.reported = self.clock.seconds()
        state.own_at_report = state.in_flight
        if self.observer is not None:
            state.leaving = self.observer(name, load)
            return
        state.leaving = state.leaving or load.leaving

    def measured(self, stage_key, seconds):
        """Record the duration of a stage, in seconds."""
        times = self.times.get(stage_key)
        if times is None:
            times = DecayedQuantiles()
            self.times[stage_key] = times
        times.add(self.clock.seconds(), seconds)

    def quantile(self, stage_key, percent, default):
        """Return a quantile in seconds, or a default for few measurements."""
        times = self.times.get(stage_key)
        if times is None or times.count < _MIN_MEASUREMENTS:
            return default
        return times.quantile(percent)
