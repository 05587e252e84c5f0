"""Builder of a reactor whose timers a test moves, over the real loopback."""

from twisted.internet import reactor
from twisted.internet.task import Clock
from twisted.internet.tcp import Connector


class StillReactor:
    """The reactor with timers of a virtual clock.

    Explanation
    ===========

    A host that stands still runs its overdue timers before it reads: a test
    advances the clock first, and iterates the reactor afterwards.
    """

    def __init__(self):
        self.clock = Clock()

    def __getattr__(self, name):
        return getattr(reactor, name)

    def seconds(self):
        """Return the time of the virtual clock."""
        return self.clock.seconds()

    def callLater(self, delay, function, *arguments, **keywords):
        """Set a timer of the virtual clock."""
        return self.clock.callLater(delay, function, *arguments, **keywords)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Open a connection, with its timeout on the virtual clock."""
        connector = Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector
