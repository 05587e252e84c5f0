"""Idle connections that end with the process at their other end."""

from dataclasses import dataclass

from twisted.internet.protocol import ClientFactory, Protocol

from pollenstile.ops.timers import cancel_timer

# Timeout of the TCP handshake, as for requests.
_CONNECT_SECONDS = 0.35
# Shortest life of a witness that is replaced at once, and the time until one
# that lived shorter is: its process has no connections to spare.
_SHORT_SECONDS = 0.2
_PAUSE_SECONDS = 1.0
# Time between the ends of two connections of a process that has ended.
_SAME_END_SECONDS = 0.02


@dataclass(slots=True, frozen=True)
class Closed:
    """A connection that was closed, in times on the clock.

    Parameters
    ==========

    began_at : float
        When it got a witness.
    open_at : float
        When it was last known to be open: before this end first paused to
        read, if it has.
    read_at : float
        When its close was read.
    """

    began_at: float
    open_at: float
    read_at: float


class Witness:
    """An idle connection beside answers that end with their connections.

    Explanation
    ===========

    The system closes all connections of a process that ends, in order and at
    the same moment. So the process that has closed a connection lives on if
    another one, which was open before, is still open a round trip later. A new
    connection shows less, as it may lead to a process that has just started.

    Servers close idle connections after some time. If the next one is opened at
    once, it leads to the same process.

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
    since : float or None
        When the first of the connections was opened that have followed each
        other; None before one.
    is_open : bool
        Whether there is a connection now.
    opened_at, lost_at : float
        When the last one was opened, and when the other end closed one.
    ended_at : float
        When one was closed that none has followed.
    """

    __slots__ = (
        'address',
        'connector',
        'ended_at',
        'is_open',
        'lost_at',
        'opened_at',
        'reactor',
        'since',
        'timer',
        'users',
    )

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.users = 0
        self.since = None
        self.is_open = False
        self.opened_at = 0.0
        self.lost_at = float('-inf')
        self.ended_at = float('-inf')
        self.connector = None
        self.timer = None

    def open(self):
        """Open a connection."""
        host, _, port = self.address.rpartition(':')
        self.connector = self.reactor.connectTCP(
            host, int(port), _WitnessFactory(self), _CONNECT_SECONDS
        )

    def stop(self):
        """Close the connection, and open no other."""
        cancel_timer(self.timer)
        connector = self.connector
        self.connector = None
        connector.disconnect()

    def note_opened(self):
        """Record that a connection is open."""
        self.is_open = True
        self.opened_at = self.reactor.seconds()
        if self.since is None:
            self.since = self.opened_at

    def note_lost(self):
        """Record that the other end has closed the connection."""
        self.is_open = False
        if self.connector is None:
            return
        self.lost_at = self.reactor.seconds()
        if self.lost_at - self.opened_at < _SHORT_SECONDS:
            self._open_later()
            return
        self.open()

    def note_not_opened(self):
        """Record that no connection was made."""
        if self.connector is None:
            return
        if self.since is not None:
            self.ended_at = self.lost_at
        self._open_later()

    def lives_on(self, closed):
        """Return whether the process lives on that has closed a connection.

        Parameters
        ==========

        closed : Closed
            What is known of that connection.

        Returns
        =======

        bool or None
            None if nothing shows it.
        """
        if self.lost_at >= closed.read_at - _SAME_END_SECONDS:
            return False
        if self.ended_at >= closed.began_at:
            return False
        if self.is_open and self.since < closed.open_at:
            return True
        # The connections may have ended together, and one was read later.
        return False if self.lost_at >= closed.open_at else None

    def _open_later(self):
        self.since = None
        self.timer = self.reactor.callLater(_PAUSE_SECONDS, self.open)


class _WitnessProtocol(Protocol):
    """Sends nothing, and ignores what it receives."""

    def connectionMade(self):
        """Report that the connection is open; called by Twisted."""
        self.factory.witness.note_opened()

    def connectionLost(self, reason):
        """Report that the connection has ended; called by Twisted."""
        self.factory.witness.note_lost()


class _WitnessFactory(ClientFactory):
    protocol = _WitnessProtocol
    noisy = False

    def __init__(self, witness):
        self.witness = witness

    def clientConnectionFailed(self, connector, reason):
        """Report that no connection was made; called by Twisted."""
        self.witness.note_not_opened()
