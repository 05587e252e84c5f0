"""Connections to upstreams, directly or through a peer."""

from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from pollenstile.ops.answers import AnswerConnection
from pollenstile.ops.unsent import EarlyCloseNoted
from pollenstile.tunnel import EndedFrames


class Connection(EarlyCloseNoted, AnswerConnection):
    """Records how the connection ended.

    Attributes
    ==========

    is_lost : bool
        Whether the connection has ended.
    """

    def __init__(self):
        super().__init__()
        self.is_lost = False

    def connectionLost(self, reason):
        """Record how the connection ended; called by Twisted."""
        self.is_lost = True
        self.closed_cleanly = reason.check(ConnectionDone) is not None
        super().connectionLost(reason)


class TunnelConnection(Connection):
    """Connection through a peer, which passes on the upstream's bytes."""

    def __init__(self, token):
        super().__init__()
        self.token = token
        self.frames = EndedFrames()

    def connectionMade(self):
        """Pick up the connection to the upstream; called by Twisted."""
        self.transport.write(self.token)
        super().connectionMade()

    def dataReceived(self, received):
        """Pass on the upstream's bytes; called by Twisted."""
        content = self.frames.feed(received)
        if content:
            super().dataReceived(content)

    def connectionLost(self, reason):
        """End as the upstream's connection has ended; called by Twisted."""
        kind = ConnectionDone if self.frames.ended else ConnectionLost
        super().connectionLost(Failure(kind()))


class Connector(ClientFactory):
    """Gives a call the protocol of its connection, or reports the failure."""

    noisy = False

    def __init__(self, call, protocol):
        self.call = call
        self.call_protocol = protocol

    def buildProtocol(self, address):
        """Return the protocol of the connection; called by Twisted."""
        self.call_protocol.closed_cleanly = False
        self.call.attach(self.call_protocol)
        return self.call_protocol

    def clientConnectionFailed(self, connector, reason):
        """Report that no connection was made; called by Twisted."""
        self.call.fail_connection(reason.type.__name__)


class DirectConnector(Connector):
    """Opens the connection to the upstream itself, and notes whether it did."""

    def __init__(self, call, paths, domains):
        super().__init__(call, Connection())
        self.paths = paths
        self.domains = domains

    def buildProtocol(self, address):
        """Return the protocol of the connection; called by Twisted."""
        self.paths.note_opened(self.call.address)
        self.domains.note_reached(self.call.address)
        return super().buildProtocol(address)

    def clientConnectionFailed(self, connector, reason):
        """Report that no connection was made; called by Twisted."""
        if not self.call.cancelled:
            self.paths.note_failed(self.call.address)
        if reason.check(ConnectTimeout):
            self.domains.note_timed_out(self.call.address)
        elif reason.check(ConnectionRefusedError):
            self.domains.note_reached(self.call.address)
        super().clientConnectionFailed(connector, reason)
