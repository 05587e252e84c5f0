"""Services whose upstreams state that they are brittle."""

from dataclasses import dataclass

from pollenstile.ops.logs import silent_log
from pollenstile.permission import events
from pollenstile.statements import UnreadableLog, parse_count, stale_names

# Time for which a statement holds that no later answer repeats or takes back:
# upstreams that have fallen over answer nothing for some seconds.
_HOLD_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class _Stated:
    """What an upstream stated last.

    Parameters
    ==========

    service : str
        Service of the upstream.
    limit : int
        Requests that it may turn away in a second before it falls over.
    stated_at : float
        Time on the clock of the answer.
    """

    service: str
    limit: int
    stated_at: float


class BrittleServices:
    """Services whose upstreams fall over if they turn too many away.

    Explanation
    ===========

    All upstreams of a service count as brittle while one states it, as another
    one may not have answered since. An answer that does not state it shows that
    its upstream is sound.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    log : function
        Writes events.

    Attributes
    ==========

    by_name : dict
        Statements by name of the incarnation.
    """

    __slots__ = ('by_name', 'clock', 'log', 'unreadable')

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.log = log
        self.by_name = {}
        self.unreadable = UnreadableLog(clock, log, events.BRITTLE_UNREADABLE)

    def limit(self, service):
        """Return the requests that each upstream may turn away in a second.

        Returns
        =======

        int or None
            None for a service whose upstreams are not known to be brittle.
        """
        if not self.by_name:
            return None
        self._forget_old()
        limits = [
            stated.limit
            for stated in self.by_name.values()
            if stated.service == service
        ]
        return min(limits, default=None)

    def note_answer(self, name, service, statements):
        """Record what an answer of an incarnation states.

        Parameters
        ==========

        name, service : str
            The incarnation that answered, and its service.
        statements : Statements
            Statements of the answer.
        """
        if not statements.brittle:
            if statements.is_proof:
                self._end(name)
            return
        limit = parse_count(statements.brittle)
        if limit is None:
            self.unreadable.write(name, statements.brittle)
            return
        if name not in self.by_name:
            self.log(
                events.UPSTREAM_BRITTLE,
                peer=name,
                service=service,
                limit=limit,
                request=statements.request,
            )
        self.by_name[name] = _Stated(service, limit, self.clock.seconds())

    def _end(self, name):
        stated = self.by_name.pop(name, None)
        if stated is not None:
            self.log(events.UPSTREAM_SOUND, peer=name, service=stated.service)

    def _forget_old(self):
        oldest = self.clock.seconds() - _HOLD_SECONDS
        for name in stale_names(self.by_name, oldest):
            self._end(name)
