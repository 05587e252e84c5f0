"""A loopback proxy that delays, holds back, silences and resets."""

from collections import deque

from twisted.internet.protocol import ClientFactory, Factory, Protocol

LOOPBACK = '127.0.0.1'


class _ProxyEnd(Protocol):
    """One end of a proxied connection; hands its bytes to the other end."""

    def __init__(self, connection, direction):
        self.connection = connection
        self.direction = direction

    def connectionMade(self):
        """Begin; called by twisted."""
        self.connection.opened(self)

    def dataReceived(self, data):
        """Take bytes; called by twisted."""
        self.connection.forward(self.direction, data)

    def connectionLost(self, reason):
        """End; called by twisted."""
        self.connection.ended(self)


class _ProxiedConnection:
    """One proxied connection.

    Attributes
    ==========

    silent : bool
        Whether it swallows all bytes for good, as a path does that has lost
        track of a connection.
    held : list of tuple
        Direction and bytes that a cut holds back.
    late : dict
        Bytes that are delayed, by direction.
    closing : bool
        Whether one end has closed; the other follows when all is delivered.
    """

    def __init__(self, proxy):
        self.proxy = proxy
        self.caller = _ProxyEnd(self, 'server')
        self.server = None
        self.silent = False
        self.is_closed = False
        self.unsent = []
        self.held = []
        self.delayed = {'server': deque(), 'caller': deque()}
        self.closing = False

    def opened(self, side):
        """Connect on, or hand over what came meanwhile."""
        if side is self.caller:
            self.proxy.connect(self)
            return
        unsent = self.unsent
        self.unsent = []
        for data in unsent:
            side.transport.write(data)

    def forward(self, direction, data):
        """Carry bytes, as far as the faults of the link let them."""
        if self.silent or self.is_closed:
            return
        if direction in self.proxy.blocked:
            self.held.append((direction, data))
            return
        if not (self.proxy.delay or self.delayed[direction]):
            self._write(direction, data)
            return
        # One queue a direction: bytes never overtake each other, also when
        # the delay ends.
        self.delayed[direction].append(data)
        self.proxy.reactor.callLater(
            self.proxy.delay, self._write_delayed, direction
        )

    def _write_delayed(self, direction):
        self._write(direction, self.delayed[direction].popleft())
        if self.closing and not any(self.delayed.values()):
            self.close()

    def heal(self):
        """Deliver what a cut held back."""
        held = self.held
        self.held = []
        for direction, data in held:
            self.forward(direction, data)

    def ended(self, side):
        """Close the other end too, once its bytes are through."""
        if self.is_closed or self.silent or self.held:
            return
        self.closing = True
        if not any(self.delayed.values()):
            self.close()

    def close(self, *, reset=False):
        """End both sides."""
        if self.is_closed:
            return
        self.is_closed = True
        self.proxy.connections.discard(self)
        for side in (self.caller, self.server):
            if side is None or side.transport is None:
                continue
            if reset:
                side.transport.abortConnection()
            else:
                side.transport.loseConnection()

    def _write(self, direction, data):
        if self.is_closed or self.silent:
            return
        side = self.server if direction == 'server' else self.caller
        if side is None or side.transport is None:
            self.unsent.append(data)
            return
        side.transport.write(data)


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, address):
        """Return the server's side; called by twisted."""
        self.connection.server = _ProxyEnd(self.connection, 'caller')
        return self.connection.server

    def clientConnectionFailed(self, connector, reason):
        """Refuse the caller as well; called by twisted."""
        self.connection.close(reset=True)


class Proxy(Factory):
    """Listens, and passes connections on to a target that may change.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Of the soak.

    Attributes
    ==========

    target : tuple or None
        IP number and port; None refuses.
    delay : float
        Seconds for which bytes are held, each way.
    cut : set of str
        Directions, ``'server'`` and ``'caller'``, in which nothing passes.
    """

    noisy = False

    def __init__(self, reactor):
        self.reactor = reactor
        self.target = None
        self.delay = 0.0
        self.blocked = set()
        self.connections = set()
        self.port = reactor.listenTCP(0, self, 512, LOOPBACK)
        self.address = (LOOPBACK, self.port.getHost().port)

    def buildProtocol(self, address):
        """Return the caller's side; called by twisted."""
        connection = _ProxiedConnection(self)
        self.connections.add(connection)
        return connection.caller

    def connect(self, connection):
        """Connect a new connection on."""
        if self.target is None:
            connection.close(reset=True)
            return
        self.reactor.connectTCP(*self.target, _Connector(connection), timeout=2)

    def reset(self):
        """Reset all connections."""
        for connection in list(self.connections):
            connection.close(reset=True)

    def silence(self):
        """Let all connections there are go silent for good."""
        for connection in list(self.connections):
            connection.silent = True

    def block(self, *directions):
        """Let nothing pass in some directions until healed."""
        self.blocked.update(directions)

    def slow(self, seconds):
        """Delay bytes from now on."""
        self.delay = seconds

    def heal(self):
        """End delay and cut; connections that went silent stay so."""
        self.delay = 0.0
        self.blocked.clear()
        for connection in list(self.connections):
            connection.heal()

    def close(self):
        """End all; return a Deferred."""
        for connection in list(self.connections):
            connection.close(reset=True)
        return self.port.stopListening()
