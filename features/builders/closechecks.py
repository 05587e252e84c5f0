"""Builders of close checks on a reactor whose connections the test makes."""

from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    UserError,
)
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pollenstile.closes import CloseChecks
from pollenstile.ops.timers import cancel_timer

ADDRESS = '127.0.0.1:9'
# Length of the steps in which the virtual clock advances.
_STEP_SECONDS = 0.01
# No open file has it, so the system knows no bytes that wait there.
_NO_DESCRIPTOR = 1_000_000


class _Transport(StringTransport):
    """A transport whose other end answers as the story says."""

    # What the host has not sent, as Twisted's transports tell it.
    dataBuffer = b''
    offset = 0
    socket = _NO_DESCRIPTOR

    def __init__(self, story):
        super().__init__()
        self.story = story
        self._tempDataLen = 0

    def write(self, data):
        """Answer a question."""
        story = self.story
        if not story.is_reached:
            self._tempDataLen += len(data)
        elif story.answer:
            story.reactor.callLater(0, self.protocol.dataReceived, story.answer)
        elif story.answer is None:
            lost = Failure(ConnectionLost())
            story.reactor.callLater(0, self.protocol.connectionLost, lost)

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
        Whether new connections and questions get any answer.
    answer : bytes or None
        Answer to each question; empty for none, and None for a reset.
    opened : int
        Number of connections that were tried.
    idle : list
        Protocols of the connections that were opened.
    late_since : float or None
        From when on a close may have gone unread.
    results : list of bool
        Whether the upstream counts as alive, for each close.
    """

    def __init__(self):
        self.reactor = _Reactor()
        self.closes = CloseChecks(self.reactor)
        self.is_listening = True
        self.is_reached = True
        self.answer = b'HTTP/1.1 404 Not Found'
        self.opened = 0
        self.idle = []
        self.late_since = None
        self.results = []

    def begin(self):
        """Begin an answer that ends with its connection."""
        self.closes.begin(ADDRESS)
        self.advance(_STEP_SECONDS)

    def advance(self, seconds):
        """Let time pass; connect what is tried meanwhile."""
        for _ in range(round(seconds / _STEP_SECONDS)):
            self._connect()
            self.reactor.advance(_STEP_SECONDS)
        self._connect()

    def lose_witness(self, error=ConnectionDone):
        """Let the other end end the witness."""
        self.idle.pop(0).connectionLost(Failure(error()))
        self._connect()

    def close(self, count=1):
        """Close a number of answers."""
        for _ in range(count):
            checked = Deferred.fromCoroutine(self._check())
            checked.addCallback(self.results.append)

    async def _check(self):
        closed = self.closes.closed(ADDRESS, self.late_since)
        lives_on = await self.closes.witnessed(ADDRESS, closed)
        if lives_on is None:
            lives_on = await self.closes.answers_anew(ADDRESS)
        return lives_on

    def _connect(self):
        while self.is_reached and self.reactor.tried:
            connector = self.reactor.tried.pop(0)
            self.opened += 1
            if connector.state == 'connecting':
                self._open(connector)

    def _open(self, connector):
        if not self.is_listening:
            connector.failIfNotConnected(ConnectionRefusedError())
            return
        connector.end_trial('connected')
        protocol = connector.factory.buildProtocol(None)
        transport = _Transport(self)
        transport.protocol = protocol
        protocol.makeConnection(transport)
        self.idle.append(protocol)
