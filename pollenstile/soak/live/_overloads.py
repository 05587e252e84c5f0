"""Requests that hosts may close unread, as they are overloaded."""

from pollenstile.soak.live._records import UNKNOWN, Overload

# Seconds by which a line of a host's log may be read later than its caller has
# seen the close.
_READ_SECONDS = 0.5


class OverloadLog:
    """Records the overloads of one host by the lines of its log.

    Parameters
    ==========

    world : World
        Clock and records of the run.
    host : str
        Name of the host.

    Attributes
    ==========

    current : Overload or None
        The one that has not ended.
    closed : int
        Connections that the process had closed unread when the last one ended.
    """

    __slots__ = ('closed', 'current', 'host', 'world')

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.current = None
        self.closed = 0

    def note_process(self):
        """Record that a new process of the host has started."""
        self._end()
        self.closed = 0

    def note_line(self, document):
        """Record what a line of the log says of overloads."""
        if document.get('event') == 'overloaded':
            self.current = Overload(self.host, self.world.reactor.seconds())
            self.world.records.overloads.append(self.current)
        elif document.get('event') == 'overload-ended':
            self._end(document['closed'] - self.closed)
            self.closed = document['closed']

    def _end(self, closed=UNKNOWN):
        if self.current is not None:
            self.current.ended = self.world.reactor.seconds()
            self.current.closed = closed
            self.current = None


def closed_unread(cut_off, records):
    """Return which requests without an answer hosts have closed unread.

    Explanation
    ===========

    A host tells how many new connections it has closed while it was overloaded.
    If more of their requests have no answer, it owes one to some of them, and
    none is excused.

    Parameters
    ==========

    cut_off : list of RequestRecord
        Requests without an answer.

    Returns
    =======

    set of str
        Identifiers of requests.
    """
    found = set()
    for overload in records.overloads:
        since = overload.began - _READ_SECONDS
        met = [
            record.ident
            for record in cut_off
            if record.is_first
            and record.host == overload.host
            and since < record.ended_at < overload.ended
        ]
        if len(met) <= overload.closed:
            found.update(met)
    return found
