"""Peers' connections over TCP, by twisted."""

from twisted.internet.protocol import ClientFactory, Factory, Protocol

_CONNECT_SECONDS = 2.0
# Connections that strangers may hold open at one time.
_MOST_ACCEPTED = 2000


class _Connection(Protocol):
    """Hands bytes to a receiver."""

    noisy = False

    def __init__(self, receiver):
        self.receiver = receiver

    def connectionMade(self):
        """Open; called by twisted."""
        self.transport.setTcpNoDelay(True)
        self.receiver.opened(self)

    def dataReceived(self, content):
        """Take bytes; called by twisted."""
        self.receiver.received(content)

    def connectionLost(self, reason):
        """End; called by twisted."""
        self.receiver.lost()

    def write(self, content):
        """Send bytes."""
        self.transport.write(content)

    def close(self):
        """Close at once: what a silent path holds is never sent."""
        self.transport.abortConnection()


class _Dialer(ClientFactory):
    noisy = False

    def __init__(self, receiver):
        self.receiver = receiver

    def buildProtocol(self, address):
        """Return the connection; called by twisted."""
        return _Connection(self.receiver)

    def clientConnectionFailed(self, connector, reason):
        """Note that nothing answers; called by twisted."""
        self.receiver.lost()


class _Acceptor(Factory):
    noisy = False

    def __init__(self, hub):
        self.hub = hub

    def buildProtocol(self, address):
        """Return a connection or refuse one more; called by twisted."""
        if len(self.hub.others) >= _MOST_ACCEPTED:
            return None
        return _Connection(_Accepted(self.hub, f'{address.host}'))


class _Accepted:
    """Meets the hub once the connection stands."""

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
    """Return a hub's ``connect`` over TCP."""

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
    """Return a listening port that hands connections to a hub.

    Parameters
    ==========

    address : tuple
        IP number and port.
    """
    host, port = address
    return reactor.listenTCP(port, _Acceptor(hub), interface=host)
