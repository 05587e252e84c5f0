"""Idle connections that end with the process at their other end."""

from twisted.internet.protocol import ClientFactory, Protocol

from pollenstile.ops.timers import cancel_timer

# Timeout of the TCP handshake, as for requests.
_CONNECT_SECONDS = 0.35
# Time until a witness that was closed is opened again: some servers close idle
# connections soon.
_REOPEN_SECONDS = 1.0
# Time between the ends of two connections of a process that has ended.
_SAME_END_SECONDS = 0.05


class Witness:
    """An idle connection beside answers that end with their connections.

    Explanation
    ===========

    The system closes all connections of a process that ends, in order and at
    the same moment. So the process that has closed a connection lives on if
    another one, which was open before, is still open a round trip later. A new
    connection shows less, as it may lead to a process that has just started.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens the connection.
    address : str
        ``IP:PORT`` of the process.

    Attributes
    ==========

    users : int
        Number of answers that need it.
    opened_at, lost_at : float or None
        When it was opened, and when the other end closed it.
    """

    __slots__ = (
        'address',
        'connector',
        'lost_at',
        'opened_at',
        'reactor',
        'timer',
        'users',
    )

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.users = 0
        self.opened_at = None
        self.lost_at = None
        self.connector = None
        self.timer = None

    def open(self):
        """Open the connection."""
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
        """Record that the connection is open."""
        self.opened_at = self.reactor.seconds()
        self.lost_at = None

    def note_lost(self):
        """Record that the other end has closed the connection."""
        if self.connector is None:
            return
        self.lost_at = self.reactor.seconds()
        self.timer = self.reactor.callLater(_REOPEN_SECONDS, self.open)

    def note_not_opened(self):
        """Record that no connection was made; another one is tried later."""
        if self.connector is not None:
            self.timer = self.reactor.callLater(_REOPEN_SECONDS, self.open)

    def lives_on(self, closed_at):
        """Return whether the process lives on after a close.

        Parameters
        ==========

        closed_at : float
            When it has closed another connection.

        Returns
        =======

        bool or None
            None if this connection was not open by then.
        """
        if self.opened_at is None or self.opened_at >= closed_at:
            return None
        if self.lost_at is None:
            return True
        return None if self.lost_at < closed_at - _SAME_END_SECONDS else False


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
