"""Connections to peers over TCP, with Twisted."""

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Factory, Protocol

_CONNECT_SECONDS = 2.0
# Limit on connections in their handshake, which strangers can open too.
_MAX_HANDSHAKES = 2000


class _Connection(Protocol):
    """Passes the events of a connection to a receiver."""

    noisy = False

    def __init__(self, receiver):
        self.receiver = receiver

    def connectionMade(self):
        """Notify the receiver of the open connection; called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.receiver.opened(self)

    def dataReceived(self, content):
        """Pass received bytes on; called by Twisted."""
        self.receiver.received(content)

    def connectionLost(self, reason):
        """Notify the receiver of the end; called by Twisted."""
        self.receiver.lost()

    def write(self, content):
        """Send bytes."""
        self.transport.write(content)

    def close(self):
        """Abort the connection; unsent data on a silent path is dropped."""
        self.transport.abortConnection()


class _Dialer(ClientFactory):
    noisy = False

    def __init__(self, receiver):
        self.receiver = receiver

    def buildProtocol(self, address):
        """Return the protocol of the connection; called by Twisted."""
        return _Connection(self.receiver)

    def clientConnectionFailed(self, connector, reason):
        """Notify the receiver of the failure; called by Twisted."""
        if reason.check(ConnectionRefusedError):
            self.receiver.refused()
        self.receiver.lost()


class _Acceptor(Factory):
    noisy = False

    def __init__(self, hub):
        self.hub = hub

    def buildProtocol(self, address):
        """Return a protocol, or None above the limit; called by Twisted."""
        if len(self.hub.handshaking) >= _MAX_HANDSHAKES:
            return None
        return _Connection(_PendingReceiver(self.hub, f'{address.host}'))


class _PendingReceiver:
    """Obtains a receiver from the hub when the connection is open."""

    __slots__ = ('address', 'hub', 'receiver')

    def __init__(self, hub, address):
        self.hub = hub
        self.address = address
        self.receiver = None

    def opened(self, wire):
        self.receiver = self.hub.accept(wire, self.address)

    def received(self, content):
        self.receiver.received(content)

    def lost(self):
        self.receiver.lost()


def tcp_connect(reactor):
    """Return the ``connect`` function of a hub for TCP."""

    def connect(address, receiver):
        host, _, port = address.rpartition(':')
        reactor.connectTCP(
            host.strip('[]'),
            int(port),
            _Dialer(receiver),
            timeout=_CONNECT_SECONDS,
        )

    return connect


def tcp_listen(reactor, address, hub):
    """Return a listening port that passes connections to a hub.

    Parameters
    ==========

    address : tuple
        IP number and port.
    """
    host, port = address
    return reactor.listenTCP(port, _Acceptor(hub), interface=host)
