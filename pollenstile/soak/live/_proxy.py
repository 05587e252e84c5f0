"""Loopback TCP proxy that can delay, block, drop and reset connections."""

from collections import deque

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from pollenstile.soak.live._loopback import LOOPBACK

# Seconds for the bytes that were received before a reset.
_SEND_SECONDS = 0.02


class _ProxyEnd(Protocol):
    """One end of a proxied connection, which forwards bytes to the other."""

    def __init__(self, connection, direction):
        self.connection = connection
        self.direction = direction

    def connectionMade(self):
        """Report that this end is open; called by twisted."""
        self.connection.opened(self)

    def dataReceived(self, data):
        """Forward received bytes; called by twisted."""
        self.connection.forward(self.direction, data)

    def connectionLost(self, reason):
        """Report that this end is closed; called by twisted."""
        is_reset = reason.check(ConnectionDone) is None
        self.connection.ended(self, is_reset=is_reset)


class _Flow:
    """Lets the server's end read no faster than the caller reads.

    Parameters
    ==========

    end : _ProxyEnd
        The server's end.
    """

    def __init__(self, end):
        self.end = end

    def pauseProducing(self):
        """Read nothing until it is resumed; called by twisted."""
        self.end.transport.pauseProducing()

    def resumeProducing(self):
        """Read on; called by twisted."""
        self.end.transport.resumeProducing()

    def stopProducing(self):
        """Leave the end as it is: the faults decide when it closes."""


class _ProxiedConnection:
    """One proxied connection.

    Attributes
    ==========

    silent : bool
        Whether all further bytes are dropped, as by a middlebox that lost the
        state of a connection.
    is_closed : bool
        Whether both ends are closed.
    server_port : int
        Port from which the server got the connection; 0 while it has none.
    unsent : list of bytes
        Bytes that were received before the server's end was connected.
    held : list of tuple
        Direction and bytes that are held back while a direction is blocked.
    delayed : dict
        Delayed bytes by direction.
    closing : bool
        Whether one end has closed; the other one closes when all held and
        delayed bytes are delivered.
    is_reset : bool
        Whether that end was reset.
    is_caller_open : bool
        Whether the caller's end is open.
    on_caller_ended : function
        Called when the caller's end is closed, also while the connection is
        silent or bytes are held back.
    """

    def __init__(self, proxy):
        self.proxy = proxy
        self.caller = _ProxyEnd(self, 'server')
        self.server = None
        self.server_port = 0
        self.silent = False
        self.is_closed = False
        self.unsent = []
        self.held = []
        self.delayed = {'server': deque(), 'caller': deque()}
        self.closing = False
        self.is_reset = False
        self.is_caller_open = True
        self.on_caller_ended = _ignore

    def opened(self, side):
        """Connect to the target, or send the bytes received meanwhile."""
        if side is self.caller:
            self.proxy.connect(self)
            return
        self.server_port = side.transport.getHost().port
        self.caller.transport.registerProducer(_Flow(side), streaming=True)
        unsent = self.unsent
        self.unsent = []
        for data in unsent:
            side.transport.write(data)

    def forward(self, direction, data):
        """Forward bytes subject to the faults of the link."""
        if self.is_closed:
            return
        if direction == 'server' and self.proxy.on_sent is not None:
            self.proxy.on_sent(data, is_lost=self.silent)
        if self.silent:
            return
        if self.proxy.is_blocked(direction):
            self.held.append((direction, data))
            return
        if not (self.proxy.delay or self.delayed[direction]):
            self._write(direction, data)
            return
        # One queue per direction keeps the order of bytes, also when the
        # delay ends.
        self.delayed[direction].append(data)
        self.proxy.reactor.callLater(
            self.proxy.delay, self._write_delayed, direction
        )

    def _write_delayed(self, direction):
        self._write(direction, self.delayed[direction].popleft())
        self._close_if_delivered()

    def heal(self):
        """Forward the bytes that were held back."""
        held = self.held
        self.held = []
        for direction, data in held:
            self.forward(direction, data)
        self._close_if_delivered()

    def ended(self, side, *, is_reset):
        """Close or reset the other end too, once all bytes are delivered."""
        if side is self.caller:
            self.is_caller_open = False
            self.on_caller_ended()
        else:
            self.server_port = 0
        if self.is_closed or self.silent:
            return
        self.closing = True
        self.is_reset = is_reset
        self._close_if_delivered()

    def close(self, *, reset=False):
        """Close or reset both ends."""
        if self.is_closed:
            return
        self.is_closed = True
        self.proxy.connections.discard(self)
        self.caller.transport.unregisterProducer()
        for side in (self.caller, self.server):
            if side is None or side.transport is None:
                continue
            if reset:
                side.transport.abortConnection()
            else:
                side.transport.loseConnection()

    def _close_if_delivered(self):
        is_waiting = self.held or any(self.delayed.values())
        if is_waiting or not self.closing:
            return
        if self.is_reset:
            # A reset drops what its transport has not sent yet.
            self.proxy.reactor.callLater(_SEND_SECONDS, self.close, reset=True)
        else:
            self.close()

    def _write(self, direction, data):
        if self.is_closed or self.silent:
            return
        side = self.server if direction == 'server' else self.caller
        if side is None or side.transport is None:
            self.unsent.append(data)
            return
        side.transport.write(data)


def _ignore():
    """Do nothing when the caller's end is closed."""


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, address):
        """Return the server's end; called by twisted."""
        self.connection.server = _ProxyEnd(self.connection, 'caller')
        return self.connection.server

    def clientConnectionFailed(self, connector, reason):
        """Reset the caller's connection; called by twisted."""
        self.connection.proxy.refuse(self.connection)


class Proxy(Factory):
    """Forwards connections to a target that may change.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Reactor of the run.

    Attributes
    ==========

    target : tuple or None
        IP number and port; with None, connections are reset.
    delay : float
        Delay of bytes in each direction, in seconds.
    blocked : set of str
        Blocked directions: ``'server'`` and ``'caller'``.
    still : bool
        Whether the server stands still: it reads nothing until it goes on.
    on_sent : function or None
        Takes bytes for the server, and ``is_lost``: whether they are dropped.
    may_refuse : bool
        Whether the server was told to stop, and may refuse connections.
    refused : set of int
        Ports of callers whose latest connection found no server, as there was
        none or it was told to stop.
    """

    noisy = False

    def __init__(self, reactor):
        self.reactor = reactor
        self.target = None
        self.delay = 0.0
        self.blocked = set()
        self.still = False
        self.on_sent = None
        self.connections = set()
        self.may_refuse = False
        self.refused = set()
        self.port = reactor.listenTCP(0, self, 512, LOOPBACK)
        self.address = (LOOPBACK, self.port.getHost().port)

    def buildProtocol(self, address):
        """Return the caller's end; called by twisted."""
        connection = _ProxiedConnection(self)
        self.connections.add(connection)
        return connection.caller

    def connect(self, connection):
        """Connect a new connection to the target."""
        self.refused.discard(connection.caller.transport.getPeer().port)
        if self.target is None:
            self.refuse(connection)
            return
        self.reactor.connectTCP(*self.target, _Connector(connection), timeout=2)

    def refuse(self, connection):
        """Reset a connection for which no server was found."""
        if not connection.is_closed and (
            self.target is None or self.may_refuse
        ):
            self.refused.add(connection.caller.transport.getPeer().port)
        connection.close(reset=True)

    def connection_from(self, port):
        """Return the connection whose server's end has a port; None if closed.

        Parameters
        ==========

        port : int
            Port from which the server got the connection.
        """
        for connection in self.connections:
            if connection.server_port == port:
                return connection
        return None

    def reset(self):
        """Reset all connections."""
        for connection in list(self.connections):
            connection.close(reset=True)

    def silence(self):
        """Drop all further bytes of the current connections."""
        for connection in list(self.connections):
            connection.silent = True

    def is_blocked(self, direction):
        """Return whether bytes in a direction are held back."""
        return direction in self.blocked or (
            self.still and direction == 'server'
        )

    def go_on(self):
        """Let the server read what it has not read while it stood still."""
        self.still = False
        for connection in list(self.connections):
            connection.heal()

    def block(self, *directions):
        """Hold bytes back in some directions until :meth:`heal`."""
        self.blocked.update(directions)

    def slow(self, seconds):
        """Delay bytes until :meth:`heal`."""
        self.delay = seconds

    def heal(self):
        """End delays and blocks; silenced connections stay silent."""
        self.delay = 0.0
        self.blocked.clear()
        for connection in list(self.connections):
            connection.heal()

    def close(self):
        """Reset all connections and stop listening; return a Deferred."""
        for connection in list(self.connections):
            connection.close(reset=True)
        return self.port.stopListening()
