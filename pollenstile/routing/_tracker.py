"""What one entry host knows of each upstream."""

from pollenstile.routing._decayed import DecayedQuantiles
from pollenstile.routing._ejection import bar_time

_ENOUGH = 20


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
    own_at_report : int
        Own calls in flight when it was made, as far as known.
    failures : int
        Failures in a row.
    barred_until : float
        No call is sent before, in seconds.
    models : collection of str or None
        Models that it holds; None for all of its pool's.
    leaving : bool
        Whether it gets no new work.
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
        self.state(name).in_flight += 1

    def ended(self, name, load=None, *, failed=False):
        """Note that a call ended, with the load report that came along."""
        state = self.state(name)
        state.in_flight -= 1
        if failed:
            state.failures += 1
            state.ejected_until = self.clock.seconds() + bar_time(
                state.failures,
            )
            return
        state.failures = 0
        state.ejected_until = 0.0
        if load is not None:
            self.reported(name, load)

    def reported(self, name, load):
        """Note a load report."""
        state = self.state(name)
        state.load = load
        state.reported = self.clock.seconds()
        state.own_at_report = state.in_flight
        if self.observer is not None:
            state.leaving = self.observer(name, load)
            return
        state.leaving = state.leaving or load.leaving

    def measured(self, stage_key, seconds):
        """Note how long a stage took, in seconds."""
        times = self.times.get(stage_key)
        if times is None:
            times = DecayedQuantiles()
            self.times[stage_key] = times
        times.add(self.clock.seconds(), seconds)

    def quantile(self, stage_key, percent, otherwise):
        """Return a measured quantile in seconds, or a given value at first."""
        times = self.times.get(stage_key)
        if times is None or times.count < _ENOUGH:
            return otherwise
        return times.quantile(percent)
