"""Idle connections that end with the process at their other end."""

from dataclasses import dataclass

from pollenstile.closes._asking import AskingFactory
from pollenstile.ops.connecting import connect_in_time
from pollenstile.ops.timers import cancel_timer

# Timeout of the TCP handshake, as for requests.
CONNECT_SECONDS = 0.35
# Shortest life of a witness that is replaced at once, and the time until one
# that lived shorter is: its process has no connections to spare.
_SHORT_SECONDS = 0.2
_PAUSE_SECONDS = 1.0
# Time between the ends of two connections of a process that has ended.
_SAME_END_SECONDS = 0.025
# The same with other work between the looks at them.
_ONE_END = 1.0


@dataclass(slots=True, frozen=True)
class Closed:
    """A connection that was closed, in times on the clock.

    Parameters
    ==========

    open_at : float
        When it was last known to be open: before this end first paused to
        read, if it has.
    read_at : float
        When its close was read.
    is_last : bool
        Whether it was the only one with an answer that needs the witness.
    """

    open_at: float
    read_at: float
    is_last: bool = False


class Witness:
    """An idle connection beside answers that end with their connections.

    Explanation
    ===========

    The system closes all connections of a process that ends, in order and one
    after the other. Only a process that lives on answers a question that is
    sent after a close, on a connection that was open before it.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens the connections.
    address : str
        ``IP:PORT`` of the process.

    Attributes
    ==========

    users : int
        Number of answers that need it.
    connection : AskingConnection or None
        The connection, once there is one.
    closed_at : float
        When the other end has closed one in order without a question.
    unproven : list of Closed
        Closes of answers after which no sign of life has been seen.
    """

    __slots__ = (
        'address',
        'closed_at',
        'connection',
        'connector',
        'is_stopped',
        'reactor',
        'timer',
        'unproven',
        'users',
    )

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.users = 0
        self.connection = None
        self.connector = None
        self.closed_at = float('-inf')
        self.is_stopped = False
        self.timer = None
        self.unproven = []

    def open(self):
        """Open a connection."""
        factory = AskingFactory(self.reactor, self._note_lost)
        factory.done.addCallbacks(self._note_made, self._note_failed)
        self.connector = connect_in_time(
            self.reactor, self.address, factory, CONNECT_SECONDS
        )

    def reopen(self):
        """Open a connection if there is none, and none is about to be."""
        is_due = self.timer is not None and self.timer.active()
        if self.connector is None and not is_due:
            self.open()

    def stop(self):
        """Close the connection, and open no other."""
        self.is_stopped = True
        cancel_timer(self.timer)
        if self.connector is not None:
            self.connector.disconnect()

    def ended_with(self, closed):
        """Return whether its process ended as it closed a connection.

        Explanation
        ===========

        A close that was read late may be as old as any since the last moment at
        which the connection was known to be open.

        Parameters
        ==========

        closed : Closed
            What is known of that connection.
        """
        since = min(closed.open_at, closed.read_at - _SAME_END_SECONDS)
        return self.closed_at >= since

    def is_alone(self, closed):
        """Return whether no other answer has ended with this one, unproven."""
        return all(
            other is closed or abs(other.read_at - closed.read_at) > _ONE_END
            for other in self.unproven
        )

    def take(self, closed):
        """Return its connection to ask on, or None without a proper one.

        Explanation
        ===========

        Another one is opened in its place, for answers that end later.

        Parameters
        ==========

        closed : Closed
            What is known of the connection that was closed.
        """
        connection = self.connection
        if connection is None or connection.opened_at >= closed.open_at:
            return None
        self.connection = None
        self.connector = None
        if self.users > 1:
            self.open()
        return connection

    def _note_made(self, connection):
        # It is open once Twisted has connected it to its transport.
        self.connection = connection

    def _note_failed(self, failure):
        self.connector = None
        self._open_later()

    def _note_lost(self, connection):
        self.connection = None
        if connection.was_closed and not self.is_stopped:
            self.closed_at = connection.lost_at
        if connection.lost_at - connection.opened_at < _SHORT_SECONDS:
            self._open_later()
        elif not self.is_stopped:
            self.open()

    def _open_later(self):
        if not self.is_stopped:
            self.timer = self.reactor.callLater(_PAUSE_SECONDS, self.open)
