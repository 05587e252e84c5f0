"""Request rates that upstreams state in their answers."""

from dataclasses import dataclass

from pollenstile.ops.logs import silent_log
from pollenstile.ratelimits import events
from pollenstile.ratelimits._values import UNLIMITED, parse_rate
from pollenstile.statements import UnreadableLog, stale_names

# Minimum seconds between two log lines about one upstream's rate, as a rate
# may differ in each answer.
_LOG_PERIOD_SECONDS = 5.0
# Seconds after which a rate that nobody mentions is forgotten, once its
# upstream has left the registry or states no rate any more.
_FORGET_SECONDS = 60.0


@dataclass(slots=True)
class StatedRate:
    """The rate that an upstream stated last, as far as this host knows.

    Attributes
    ==========

    rate : float
        Requests a second; ``UNLIMITED`` if it stated none.
    stated_at : float
        Time on the clock of the answer.
    logged_at : float
        Time of the last log line.
    """

    rate: float = UNLIMITED
    stated_at: float = 0.0
    logged_at: float = -_LOG_PERIOD_SECONDS


class StatedRates:
    """Newest rates of the upstreams, by incarnation.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    log : function
        Writes events.

    Attributes
    ==========

    by_name : dict
        :class:`StatedRate` by name of the incarnation.
    listeners : list of function
        Called after each change of a rate, with the incarnation's name and
        the rate before.
    """

    __slots__ = ('by_name', 'clock', 'listeners', 'log', 'unreadable')

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.log = log
        self.by_name = {}
        self.listeners = []
        self.unreadable = UnreadableLog(clock, log, events.RATE_UNREADABLE)

    def rate(self, name):
        """Return an incarnation's rate; ``UNLIMITED`` if it has none."""
        stated = self.by_name.get(name)
        return stated.rate if stated else UNLIMITED

    def limited(self):
        """Return the limited incarnations: their rates by name."""
        return {
            name: stated.rate
            for name, stated in self.by_name.items()
            if stated.rate
        }

    def note_answer(self, name, values, *, is_proof):
        """Record the header of an answer.

        Parameters
        ==========

        name : str
            The incarnation that answered.
        values : sequence of str
            Values of its header.
        is_proof : bool
            Whether the answer is certainly the upstream's own and complete
            in its headers: only such an answer shows that a limit is over.
        """
        rate = parse_rate(values)
        if rate is None:
            self.unreadable.write(name, values)
        elif rate or is_proof:
            self.update(name, rate, self.clock.seconds())

    def update(self, name, rate, stated_at):
        """Record a rate unless a newer one is known."""
        stated = self.by_name.get(name)
        if stated is None:
            if not rate:
                return
            stated = StatedRate()
            self.by_name[name] = stated
        if stated_at < stated.stated_at:
            return
        stated.stated_at = stated_at
        before = stated.rate
        stated.rate = rate
        if rate == before:
            return
        self._log_change(name, stated, before)
        for listener in self.listeners:
            listener(name, before)

    def forget_old(self, registered):
        """Drop the rates of incarnations that are over.

        Parameters
        ==========

        registered : set of str
            Names of the incarnations in the registry.
        """
        oldest = self.clock.seconds() - _FORGET_SECONDS
        for name in stale_names(self.by_name, oldest):
            if name not in registered or not self.by_name[name].rate:
                self.by_name.pop(name)

    def _log_change(self, name, stated, before):
        now = self.clock.seconds()
        if now - stated.logged_at < _LOG_PERIOD_SECONDS and before:
            return
        stated.logged_at = now
        event = (
            events.UPSTREAM_LIMITED
            if stated.rate
            else events.UPSTREAM_UNLIMITED
        )
        self.log(
            event,
            peer=name,
            rate=stated.rate,
            before=before,
            age_ms=int((now - stated.stated_at) * 1000),
        )
