"""Connections on which a process is asked for any sign of life."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from pollenstile.closes._signs import Sign
from pollenstile.ops.unsent import EarlyCloseNoted, is_reset, unsent_bytes

# Time in which a process answers. One that is busy may not, but the system has
# closed the connections of one that has ended by then.
ANSWER_SECONDS = 0.35
# Time in which the system of a process that has ended resets a connection on
# which a question crosses the close.
_CROSSING_SECONDS = 0.005
# Bytes up to the end of a status: ``HTTP/1.1 200``.
_STATUS_BYTES = 12
_MISDIRECTED = b'421'


@dataclass(slots=True, frozen=True)
class Question:
    """A request that any process answers, and that none takes for work.

    Parameters
    ==========

    target : bytes
        Its target.
    headers : list of tuple
        Names and values; with the identifier of the process, if it has one, so
        that any other process answers 421.
    """

    target: bytes
    headers: list

    def sent(self):
        """Return its bytes."""
        lines = [b'%s: %s' % header for header in self.headers]
        head = (b'GET %s HTTP/1.1' % self.target, *lines, b'Connection: close')
        return b'\r\n'.join((*head, b'', b''))


class AskingConnection(EarlyCloseNoted, Protocol):
    """A connection that is idle until a question is sent on it.

    Parameters
    ==========

    reactor : IReactorTime
        Provides the time.
    on_lost : function
        Called with the connection when the other end has ended it before a
        question.

    Attributes
    ==========

    opened_at, lost_at : float or None
        When it was opened, and when the other end has ended it.
    was_closed : bool
        Whether the other end closed it, without a reset.
    """

    def __init__(self, reactor, on_lost):
        super().__init__()
        self.reactor = reactor
        self.on_lost = on_lost
        self.opened_at = None
        self.lost_at = None
        self.was_closed = False
        self.received = b''
        self.sign = None

    def connectionMade(self):
        """Record the time; called by Twisted."""
        self.opened_at = self.reactor.seconds()

    def ask(self, question):
        """Send a question; return a Deferred of a :class:`Sign`."""
        self.sign = Deferred()
        self.transport.write(question.sent())
        self.sign.addTimeout(ANSWER_SECONDS, self.reactor, self._silent_sign)
        return self.sign.addBoth(self._end)

    def dataReceived(self, received):
        """Read a status; called by Twisted."""
        if self.sign is None:
            return
        self.received += received
        if len(self.received) >= _STATUS_BYTES:
            self._show(_sign_of(self.received))

    def closed(self):
        """End the connection, after a question once it may be reset."""
        if self.sign is None:
            self.end_closed()
            return
        self.reactor.callLater(_CROSSING_SECONDS, self._show_closed)

    def connectionLost(self, reason):
        """Record how the other end has ended it; called by Twisted."""
        self.lost_at = self.reactor.seconds()
        self.was_closed = reason.check(ConnectionDone) is not None
        if self.sign is None:
            self.on_lost(self)
            return
        self._show(Sign.RESET)

    def _show_closed(self):
        if not self.sign.called:
            is_lost = is_reset(self.transport)
            self._show(Sign.RESET if is_lost else Sign.CLOSED)

    def _silent_sign(self, failure, seconds):
        """Return the sign of a connection on which nothing has come."""
        is_received = not unsent_bytes(self.transport)
        return Sign.OPEN if is_received else Sign.UNREACHED

    def _show(self, sign):
        if not self.sign.called:
            self.sign.callback(sign)

    def _end(self, sign):
        self.transport.abortConnection()
        return sign


class AskingFactory(ClientFactory):
    """Makes one connection; ``done`` fires with it, or with a failure."""

    noisy = False

    def __init__(self, reactor, on_lost):
        self.connection = AskingConnection(reactor, on_lost)
        self.done = Deferred()

    def buildProtocol(self, address):
        """Return the connection; called by Twisted."""
        self.connection.factory = self
        self.done.callback(self.connection)
        return self.connection

    def clientConnectionFailed(self, connector, reason):
        """Report why no connection was made; called by Twisted."""
        self.done.errback(reason)


def _sign_of(received):
    is_other = received[:_STATUS_BYTES].endswith(_MISDIRECTED)
    return Sign.OTHER if is_other else Sign.ANSWERED
