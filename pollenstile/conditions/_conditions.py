"""How long work takes at each engine, by its reports and measurements."""

from functools import partial

from pollenstile.conditions import events
from pollenstile.conditions._estimates import SpeedEstimates
from pollenstile.ops.logs import silent_log
from pollenstile.statements import UnreadableLog

# Time for which a reported slowdown is valid; it changes many times a second.
_SLOWDOWN_SECONDS = 0.5
# Time after the last report with a slowdown for which a service counts as one
# whose upstreams report it.
_SERVICE_SECONDS = 60.0
# Time for which computed speed ratios are used again; they change slowly.
_RATIOS_SECONDS = 1.0


def usual_time(view):
    """Return the time factor of an engine of which nothing is known."""
    return 1.0


class EngineConditions:
    """Time factors of the engines of services that report a slowdown.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    log : function
        Writes events.

    Attributes
    ==========

    is_enabled : bool
        Whether speeds are measured, exchanged and used.
    estimates : SpeedEstimates
        Measured speed ratios.
    ratios : dict
        Speed ratios computed lately, by incarnation.
    ratios_until : float
        Time on the clock until which these are used.
    reported_at : dict
        Time of the last report with a slowdown, by service.
    unreadable : UnreadableLog
        Logs reports that are not readable.
    """

    __slots__ = (
        'clock',
        'estimates',
        'is_enabled',
        'ratios',
        'ratios_until',
        'reported_at',
        'unreadable',
    )

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.is_enabled = True
        self.estimates = SpeedEstimates(clock)
        self.ratios = {}
        self.ratios_until = 0.0
        self.reported_at = {}
        self.unreadable = UnreadableLog(clock, log, events.LOAD_UNREADABLE)

    def note_report(self, service, name, text, report):
        """Record a load report, None if unreadable, of an incarnation."""
        if report is None:
            self.unreadable.write(name, [text])
        elif report.slowdown is not None and self.is_enabled:
            self.reported_at[service] = self.clock.seconds()

    def applies_to(self, service):
        """Return whether upstreams of a service report their slowdown."""
        reported_at = self.reported_at.get(service)
        if reported_at is None:
            return False
        return self.clock.seconds() - reported_at < _SERVICE_SECONDS

    def applies(self):
        """Return whether the upstreams of any service do."""
        return any(map(self.applies_to, self.reported_at))

    def learn(self, service, view, seconds, expected):
        """Record a measured time to the first token.

        Explanation
        ===========

        The time at an engine with a queue is mostly waiting, which is no
        measure of its speed.

        Parameters
        ==========

        service : str
            The engine's service.
        view : UpstreamView
            The engine, with the load that its answer has reported.
        seconds, expected : float
            Measured and expected time.
        """
        if not self.applies_to(service) or expected <= 0:
            return
        if view.queued or view.running >= view.slots:
            return
        ratio = seconds / expected / self.slowdown(view)
        self.estimates.learn(view.incarnation, ratio)

    def time_factor(self, service):
        """Return a function that returns the time factor of a view.

        Explanation
        ===========

        The time factor is the multiple of the usual time that work takes. It is
        :func:`usual_time` itself for services whose upstreams report no
        slowdown.
        """
        if not self.applies_to(service):
            return usual_time
        now = self.clock.seconds()
        if now >= self.ratios_until:
            self.ratios = {}
            self.ratios_until = now + _RATIOS_SECONDS
        return partial(_time_factor, self)

    def known_ratios(self, names):
        """Return the estimated speed ratios, of those incarnations known."""
        ratios = {name: self.estimates.known_ratio(name) for name in names}
        return {
            name: ratio for name, ratio in ratios.items() if ratio is not None
        }

    def slowdown(self, view):
        """Return the slowdown that an engine currently reports, or 1."""
        if self.clock.seconds() - view.slowdown_at > _SLOWDOWN_SECONDS:
            return 1.0
        return view.slowdown


def _time_factor(conditions, view):
    name = view.incarnation
    ratio = conditions.ratios.get(name)
    if ratio is None:
        ratio = conditions.estimates.ratio(name)
        conditions.ratios[name] = ratio
    return ratio * conditions.slowdown(view)
