"""Builders of close checks on a reactor whose connections the test makes."""

from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionRefusedError,
    UserError,
)
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pollenstile.closes import CloseChecks, ProbeFactory
from pollenstile.ops.timers import cancel_timer

ADDRESS = '127.0.0.1:9'
# Length of the steps in which the virtual clock advances.
_STEP_SECONDS = 0.01


class _Transport(StringTransport):
    """A transport that can be aborted."""

    def abortConnection(self):
        """Do nothing: the other end is the test."""


class _Connector:
    """A connection that is tried, and its timeout."""

    def __init__(self, factory):
        self.factory = factory
        self.state = 'connecting'
        self.timeoutID = None
        self.transport = self

    def end_trial(self, state):
        """Record how the trial has ended."""
        cancel_timer(self.timeoutID)
        self.state = state

    def failIfNotConnected(self, error):
        """Give up; called by Twisted's users."""
        self.end_trial('disconnected')
        self.factory.clientConnectionFailed(self, Failure(error))

    def disconnect(self):
        """Give up a connection that is tried."""
        if self.state == 'connecting':
            self.failIfNotConnected(UserError())


class _Reactor(Clock):
    """A clock on which connections are tried, as the story says."""

    def __init__(self):
        super().__init__()
        self.tried = []

    def connectTCP(self, host, port, factory, timeout):
        """Try a connection; return its connector."""
        connector = _Connector(factory)
        self.tried.append(connector)
        return connector


class CloseStory:
    """Close checks, whose connections open or fail as the test says.

    Attributes
    ==========

    is_listening : bool
        Whether new connections are opened; they are refused otherwise.
    is_reached : bool
        Whether new connections get any answer.
    opened : int
        Number of connections that were tried.
    idle : list
        Protocols of the connections that are open.
    """

    def __init__(self):
        self.reactor = _Reactor()
        self.closes = CloseChecks(self.reactor)
        self.is_listening = True
        self.is_reached = True
        self.opened = 0
        self.idle = []
        self.began_at = 0.0
        self.paused_at = None
        self.results = []

    def begin(self):
        """Begin an answer that ends with its connection."""
        self.began_at = self.closes.begin(ADDRESS)
        self.advance(_STEP_SECONDS)

    def advance(self, seconds):
        """Let time pass; connect what is tried meanwhile."""
        for _ in range(round(seconds / _STEP_SECONDS)):
            self._connect()
            self.reactor.advance(_STEP_SECONDS)
        self._connect()

    def lose_witness(self):
        """Let the other end close the witness."""
        self.idle.pop(0).connectionLost(Failure(ConnectionDone()))
        self._connect()

    def close(self, count=1):
        """Close answers, which began with the last one."""
        for _ in range(count):
            check = self.closes.lives_on(
                ADDRESS, self.began_at, self.paused_at, had_upload=False
            )
            Deferred.fromCoroutine(check).addCallback(self.results.append)

    def _connect(self):
        while self.is_reached and self.reactor.tried:
            connector = self.reactor.tried.pop(0)
            self.opened += 1
            if connector.state == 'connecting':
                self._open(connector)

    def _open(self, connector):
        factory = connector.factory
        if not self.is_listening:
            connector.failIfNotConnected(ConnectionRefusedError())
            return
        connector.end_trial('connected')
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(_Transport())
        if not isinstance(factory, ProbeFactory):
            self.idle.append(protocol)
