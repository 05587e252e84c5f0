"""Builders of a proxied link of the live soak, its caller and its server."""

import fcntl
import struct
import termios

from twisted.internet import reactor
from twisted.internet.defer import maybeDeferred
from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from zope.interface import implementer

from features.builders.loop import result_of, run_reactor_until
from pollenstile.soak.live._loopback import LOOPBACK
from pollenstile.soak.live._proxy import Proxy

# Where tests of other processes listen.
_OTHERS_LOOPBACK = '127.0.0.1'


class _End(Protocol):
    """Keeps what was received and how the connection ended."""

    def __init__(self):
        self.received = b''
        self.ended = ''

    def dataReceived(self, received):
        self.received += received

    def connectionLost(self, reason):
        is_clean = reason.check(ConnectionDone) is not None
        self.ended = 'closed' if is_clean else 'reset'


@implementer(IHalfCloseableProtocol)
class _OpenEnd(_End):
    """Stays open when the other end has closed its sending side."""

    def readConnectionLost(self):
        self.ended = 'half closed'

    def writeConnectionLost(self):
        """Stay open for reading; called by twisted."""


class _ServerFactory(Factory):
    noisy = False

    def __init__(self):
        self.ends = []

    def buildProtocol(self, address):
        """Return the server's end; called by twisted."""
        end = _End()
        self.ends.append(end)
        return end


class _CallerFactory(ClientFactory):
    noisy = False

    def __init__(self, end):
        self.end = end

    def buildProtocol(self, address):
        """Return the caller's end; called by twisted."""
        return self.end


class Link:
    """A proxy of the live soak between a caller and a server.

    Attributes
    ==========

    caller : _End
        End of the caller that connected last.
    known_ends : int
        Times that the proxy has reported the end of the caller's connection.
    """

    def __init__(self):
        self.factory = _ServerFactory()
        self.server_port = reactor.listenTCP(0, self.factory, 5, LOOPBACK)
        self.proxy = Proxy(reactor)
        self.proxy.target = (LOOPBACK, self.server_port.getHost().port)
        self.caller = _End()
        self.known_ends = 0

    def connect(self, *, stays_open=False):
        """Connect a caller; return once it is connected."""
        self.caller = _OpenEnd() if stays_open else _End()
        reactor.connectTCP(*self.proxy.address, _CallerFactory(self.caller))
        run_reactor_until(lambda: self.caller.transport is not None)

    def send(self, content, *, stays_open=False):
        """Send bytes from the server to a new caller, which has got them.

        Parameters
        ==========

        stays_open : bool
            Whether the caller keeps its end open when the server has closed.
        """
        self.connect(stays_open=stays_open)
        run_reactor_until(lambda: self.factory.ends)
        server = self.factory.ends[-1]
        server.transport.write(content)
        run_reactor_until(lambda: self.caller.received == content)
        port = server.transport.getPeer().port
        self.proxy.connection_from(port).on_caller_ended = self._note_end

    def end_server(self):
        """Stop listening for connections of the proxy."""
        stopped = self.server_port.stopListening()
        if stopped is not None:
            result_of(stopped)

    def stop(self):
        """Close all connections and ports."""
        result_of(maybeDeferred(self.proxy.close))
        for end in (*self.factory.ends, self.caller):
            if end.transport is not None:
                end.transport.abortConnection()
        self.server_port.stopListening()

    def _note_end(self):
        self.known_ends += 1


def listen_for_others(port):
    """Return a port at which a run in another process would listen.

    Returns
    =======

    IListeningPort or None
        None if another process does listen there.
    """
    try:
        return reactor.listenTCP(
            port, _ServerFactory(), interface=_OTHERS_LOOPBACK
        )
    except CannotListenError:
        return None


def unread_bytes(sock):
    """Return the number of bytes that a process has not read from a socket."""
    count = fcntl.ioctl(sock, termios.FIONREAD, bytes(struct.calcsize('i')))
    return struct.unpack('i', count)[0]
