"""Times for which upstreams ask this host to send nothing."""

from dataclasses import dataclass

from pollenstile.ops.logs import silent_log
from pollenstile.permission import events
from pollenstile.permission._block import Block
from pollenstile.statements import UnreadableLog, parse_rest

RESTING_REASON = 'resting'
# Statuses with which an upstream turns a request away.
_TURNED_AWAY = frozenset((429, 503))
# Spread of the hosts that an upstream has asked at the same time, as a share of
# the time and in seconds at most. Without it all of them come back at once.
_SPREAD_SHARE = 0.1
_MAX_SPREAD_SECONDS = 0.3
_MS = 1000


@dataclass(slots=True)
class Rest:
    """A time for which an upstream asks for no requests.

    Attributes
    ==========

    service : str
        Service of the upstream.
    began, until : float
        Times on the clock of the first answer that asked for it, and of its
        end.
    answers : int
        Number of answers that asked for it.
    held_back : int
        Number of requests that waited or were refused because of it.
    spread : float
        Seconds by which this host comes back later than it was asked to.
    timer : IDelayedCall or None
        Ends it.
    """

    service: str
    began: float
    until: float = 0.0
    answers: int = 0
    held_back: int = 0
    spread: float = 0.0
    timer: object = None


class RestPeriods:
    """Times for which upstreams ask this host for no requests.

    Explanation
    ===========

    Each host keeps the times that it was asked for itself: an upstream may turn
    one host away and serve another. Of several times that overlap the one that
    ends last counts.

    Parameters
    ==========

    clock : IReactorTime
        Seconds, and timers.
    rng : random.Random
        Spreads the return of hosts; seeded in tests.
    log : function
        Writes events.

    Attributes
    ==========

    by_name : dict
        :class:`Rest` by name of the incarnation.
    listeners : list of function
        Called with a service when one of its upstreams begins or ends a rest.
    """

    __slots__ = ('by_name', 'clock', 'listeners', 'log', 'rng', 'unreadable')

    def __init__(self, clock, rng, log=silent_log):
        self.clock = clock
        self.rng = rng
        self.log = log
        self.by_name = {}
        self.listeners = []
        self.unreadable = UnreadableLog(clock, log, events.REST_UNREADABLE)

    def block(self, name):
        """Return the :class:`Block` of a resting incarnation, or None."""
        rest = self.by_name.get(name)
        return Block(RESTING_REASON, rest.until) if rest else None

    def until(self, name):
        """Return the time at which a rest ends; 0 if there is none."""
        rest = self.by_name.get(name)
        return rest.until if rest else 0.0

    def note_answer(self, name, service, statements):
        """Record what an answer of an incarnation asks for.

        Parameters
        ==========

        name, service : str
            The incarnation that answered, and its service.
        statements : Statements
            Statements of the answer.
        """
        if statements.status not in _TURNED_AWAY:
            return
        seconds = parse_rest(statements.rests, statements.date)
        if seconds is None:
            self.unreadable.write(name, statements.rests)
        elif seconds:
            self._begin(name, service, seconds, statements.request)

    def note_held_back(self, name):
        """Count a request that a rest keeps from an incarnation."""
        rest = self.by_name.get(name)
        if rest is not None:
            rest.held_back += 1

    def held_back(self):
        """Return the requests that rests have held back, by incarnation."""
        return {name: rest.held_back for name, rest in self.by_name.items()}

    def remaining(self):
        """Return the seconds until the end of each rest, by incarnation."""
        now = self.clock.seconds()
        return {
            name: max(0.0, rest.until - now)
            for name, rest in self.by_name.items()
        }

    def _begin(self, name, service, seconds, request):
        now = self.clock.seconds()
        rest = self.by_name.get(name)
        is_new = rest is None
        if is_new:
            rest = Rest(service, now)
            # Drawn once for each rest: of several draws, one for each answer,
            # the longest would count.
            rest.spread = self.rng.uniform(0, _spread_seconds(seconds))
            self.by_name[name] = rest
        rest.answers += 1
        until = now + seconds + rest.spread
        if until > rest.until:
            rest.until = until
            self._restart_timer(name, rest, until - now)
        if is_new:
            self._log_begin(name, rest, seconds, request)
            self._notify(service)

    def _restart_timer(self, name, rest, seconds):
        if rest.timer is not None:
            rest.timer.cancel()
        rest.timer = self.clock.callLater(seconds, self._end, name)

    def _end(self, name):
        rest = self.by_name.pop(name)
        self.log(
            events.UPSTREAM_RESTED,
            peer=name,
            service=rest.service,
            rested_ms=int((self.clock.seconds() - rest.began) * _MS),
            answers=rest.answers,
            held_back=rest.held_back,
        )
        self._notify(rest.service)

    def _log_begin(self, name, rest, seconds, request):
        self.log(
            events.UPSTREAM_RESTING,
            peer=name,
            service=rest.service,
            request=request,
            asked_ms=int(seconds * _MS),
            rest_ms=int((rest.until - rest.began) * _MS),
        )

    def _notify(self, service):
        for listener in self.listeners:
            listener(service)


def _spread_seconds(seconds):
    """Return the longest time by which a host comes back later than asked."""
    return min(_MAX_SPREAD_SECONDS, _SPREAD_SHARE * seconds)
