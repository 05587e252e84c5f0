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
    heard_at : float
        Clock time at which anything of its answers arrived last, in seconds.
    silent_calls : int
        Calls of this host that reached their limit on silence, while nothing
        arrived from the upstream.
    """

    __slots__ = (
        'ejected_until',
        'failures',
        'heard_at',
        'in_flight',
        'leaving',
        'load',
        'own_at_report',
        'reported',
        'silent_calls',
    )

    def __init__(self):
        self.in_flight = 0
        self.load = None
        self.reported = 0.0
        self.own_at_report = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.leaving = False
        self.heard_at = 0.0
        self.silent_calls = 0


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
            self._count_failure(state)
            return
        _forget_failures(state)
        if load is not None:
            self.reported(name, load)

    def heard(self, name, *, was_silent=False):
        """Record that a part of an answer arrived.

        Parameters
        ==========

        was_silent : bool
            Whether its call counted as silent.
        """
        state = self.state(name)
        state.heard_at = self.clock.seconds()
        state.silent_calls = 0
        if was_silent:
            _forget_failures(state)

    def fell_silent(self, name, heard_at):
        """Record that a call, which goes on, reached its limit on silence.

        Parameters
        ==========

        heard_at : float
            Time of the last sign of the call, on the clock, in seconds.
        """
        state = self.state(name)
        self._count_failure(state)
        if state.heard_at <= heard_at:
            state.silent_calls += 1

    def ended_silent(self, name):
        """Record that a call ended that was silent until its end."""
        state = self.state(name)
        state.in_flight -= 1
        state.silent_calls = max(0, state.silent_calls - 1)

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

    def _count_failure(self, state):
        state.failures += 1
        state.ejected_until = self.clock.seconds() + ejection_time(
            state.failures,
        )


def _forget_failures(state):
    state.failures = 0
    state.ejected_until = 0.0
