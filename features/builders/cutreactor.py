"""Builder of a host's reactor whose paths to some addresses can be cut."""

from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from pollenstile.ops.timers import cancel_timer


class _FailedConnector:
    """Connector, and its own transport, of a connection that is not made.

    Attributes
    ==========

    timeoutID : IDelayedCall or None
        Ends the attempt; set by the client or by the reactor.
    """

    def __init__(self, factory):
        self.state = 'connecting'
        self.factory = factory
        self.transport = self
        self.timeoutID = None

    def failIfNotConnected(self, error):
        """Report that the connection failed; called by the timers."""
        self.stopConnecting()
        self.factory.clientConnectionFailed(self, Failure(error))

    def stopConnecting(self):
        """Give up the attempt; called by the client."""
        self.state = 'disconnected'
        cancel_timer(self.timeoutID)
        self.timeoutID = None


class CutReactor:
    """A reactor of one host, with paths that are cut.

    Attributes
    ==========

    cut : set of str
        Addresses, ``IP:PORT``, that this host can't reach.
    refuses : bool
        Whether new connections to them are refused; otherwise they hang.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.cut = set()
        self.refuses = False

    def __getattr__(self, name):
        return getattr(self.reactor, name)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Open a connection, unless the path is cut."""
        if f'{host}:{port}' not in self.cut:
            return self.reactor.connectTCP(
                host, port, factory, timeout, bindAddress
            )
        connector = _FailedConnector(factory)
        delay = 0 if self.refuses else timeout
        if delay is not None:
            kind = ConnectionRefusedError if self.refuses else TimeoutError
            connector.timeoutID = self.reactor.callLater(
                delay, connector.failIfNotConnected, kind()
            )
        return connector
