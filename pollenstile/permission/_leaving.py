"""Upstreams whose answers state that they leave."""

from dataclasses import dataclass

from pollenstile.ops.logs import silent_log
from pollenstile.permission import events
from pollenstile.permission._block import Block
from pollenstile.statements import UnreadableLog, parse_leaving, stale_names

LEAVING_REASON = 'leaving'
# Seconds after which a leaving incarnation is forgotten that is not in the
# registry. A late entry of it may still be read for as long as a store is slow.
_FORGET_SECONDS = 60.0
_MS = 1000


@dataclass(slots=True, frozen=True)
class Departure:
    """How this host learned that an incarnation leaves.

    Parameters
    ==========

    stated_at : float
        Time on the clock of the answer that stated it.
    source : str
        The peer that had the answer; empty if it was this host's own.
    """

    stated_at: float
    source: str = ''


class LeavingUpstreams:
    """Incarnations of upstreams that leave, by their own answers.

    Explanation
    ===========

    A process that leaves does not come back: neither an answer without the
    statement nor an entry that states that it is ready undoes it. Its successor
    under the same identifier is another incarnation.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    log : function
        Writes events.

    Attributes
    ==========

    by_name : dict
        :class:`Departure` by name of the incarnation.
    listeners : list of function
        Called with the name of each incarnation that is new here.
    """

    __slots__ = ('by_name', 'clock', 'listeners', 'log', 'unreadable')

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.log = log
        self.by_name = {}
        self.listeners = []
        self.unreadable = UnreadableLog(clock, log, events.LEAVING_UNREADABLE)

    def is_leaving(self, name):
        """Return whether an incarnation leaves."""
        return name in self.by_name

    def block(self, name):
        """Return the :class:`Block` of a leaving incarnation, or None."""
        return Block(LEAVING_REASON) if name in self.by_name else None

    def note_answer(self, name, service, statements):
        """Record what an answer of an incarnation states.

        Parameters
        ==========

        name, service : str
            The incarnation that answered, and its service.
        statements : Statements
            Statements of the answer.
        """
        is_leaving = parse_leaving(statements.leaving)
        if is_leaving is None:
            self.unreadable.write(name, statements.leaving)
        elif is_leaving:
            self._add(
                name,
                Departure(self.clock.seconds()),
                service=service,
                request=statements.request,
            )

    def note_entry(self, name, service):
        """Record that an incarnation leaves by an entry that the store lost."""
        self._add(name, Departure(self.clock.seconds()), service=service)

    def learn(self, name, stated_at, source):
        """Record that an incarnation leaves, as a peer has been told.

        Parameters
        ==========

        name : str
            The incarnation.
        stated_at : float
            Time on the clock of the answer that stated it.
        source : str
            The peer that had the answer.
        """
        age = self.clock.seconds() - stated_at
        departure = Departure(stated_at, source)
        self._add(name, departure, source=source, age_ms=int(age * _MS))

    def _add(self, name, departure, **logged):
        if name in self.by_name:
            return
        self.by_name[name] = departure
        self.log(events.UPSTREAM_LEAVING, peer=name, **logged)
        for listener in self.listeners:
            listener(name)

    def ages(self):
        """Return the seconds since each incarnation stated that it leaves."""
        now = self.clock.seconds()
        return {
            name: now - departure.stated_at
            for name, departure in self.by_name.items()
        }

    def forget_old(self, registered):
        """Drop the incarnations that are gone.

        Parameters
        ==========

        registered : set of str
            Names of the incarnations in the registry.
        """
        oldest = self.clock.seconds() - _FORGET_SECONDS
        for name in stale_names(self.by_name, oldest):
            if name not in registered:
                self.by_name.pop(name)
