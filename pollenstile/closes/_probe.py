"""Connections that show whether a process listens at an address."""

import enum

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol


class ProbeResult(enum.Enum):
    """Outcome of opening a probe connection."""

    ACCEPTED = 'accepted'
    # No process listens on the port.
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class _ProbeProtocol(Protocol):
    """Closes a probe connection as soon as it is established."""

    def connectionMade(self):
        """Report that the port accepts connections; called by Twisted."""
        self.factory.done.callback(ProbeResult.ACCEPTED)
        self.transport.abortConnection()


class ProbeFactory(ClientFactory):
    """Opens a probe connection and reports the result.

    Attributes
    ==========

    done : Deferred
        Fires with a :class:`ProbeResult`.
    """

    protocol = _ProbeProtocol
    noisy = False

    def __init__(self):
        self.done = Deferred()

    def clientConnectionFailed(self, connector, reason):
        """Report why no connection was made; called by Twisted."""
        refused = reason.check(ConnectionRefusedError) is not None
        self.done.callback(
            ProbeResult.REFUSED if refused else ProbeResult.UNKNOWN
        )
