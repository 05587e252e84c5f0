"""Builder of a host's reactor whose paths to some addresses can be cut."""

from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure


class _FailedConnector:
    """Connector of a connection that is not made."""

    def __init__(self, factory):
        self.state = 'connecting'
        self.factory = factory
        self.timer = None

    def fail(self, kind):
        """Report that the connection failed."""
        self.state = 'disconnected'
        self.factory.clientConnectionFailed(self, Failure(kind()))

    def stopConnecting(self):
        """Give up the attempt; called by the client."""
        self.state = 'disconnected'
        if self.timer.active():
            self.timer.cancel()


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
        kind = ConnectionRefusedError if self.refuses else TimeoutError
        delay = 0 if self.refuses else timeout
        connector.timer = self.reactor.callLater(delay, connector.fail, kind)
        return connector
