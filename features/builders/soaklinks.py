"""Builders of a proxied link of the live soak, its caller and its server."""

from twisted.internet import reactor
from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.internet.protocol import ClientFactory, Factory, Protocol

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

    def connect(self):
        """Connect a caller; return once it is connected."""
        self.caller = _End()
        reactor.connectTCP(*self.proxy.address, _CallerFactory(self.caller))
        run_reactor_until(lambda: self.caller.transport is not None)

    def send(self, content):
        """Send bytes from the server to a new caller, which has got them."""
        self.connect()
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
        result_of(self.proxy.close())
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
