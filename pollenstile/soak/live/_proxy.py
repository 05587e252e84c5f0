"""Loopback TCP proxy that can delay, block, drop and reset connections."""

import enum
import socket
from collections import deque
from contextlib import suppress

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from pollenstile.ops.unsent import is_reset
from pollenstile.soak.live._loopback import LOOPBACK

# Seconds for the bytes that were received before a reset.
_SEND_SECONDS = 0.02
# Seconds between two looks for a reset that follows a close in order.
_LOOK_SECONDS = 0.003


class _Ending(enum.Enum):
    """How one end has ended its connection; passed on behind its bytes."""

    # The end sends no more; it may go on reading.
    CLOSED = 'closed'
    # Closed before it has read all: its system resets the connection at once.
    UNREAD = 'unread'
    RESET = 'reset'


_RESETS = frozenset((_Ending.RESET, _Ending.UNREAD))


@implementer(IHalfCloseableProtocol)
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

    def readConnectionLost(self):
        """Report that the other end sends no more; called by twisted."""
        if is_reset(self.transport):
            self.connection.ended(self, _Ending.UNREAD)
            return
        self.connection.ended(self, _Ending.CLOSED)
        self._look_later()

    def writeConnectionLost(self):
        """Read on when this end sends no more; called by twisted."""

    def connectionLost(self, reason):
        """Report that this end has ended; called by twisted."""
        is_closed = reason.check(ConnectionDone) is not None
        ending = _Ending.CLOSED if is_closed else _Ending.RESET
        self.connection.ended(self, ending)

    def _look_for_reset(self):
        """Report a reset of a closed end, which twisted does not watch."""
        if self.connection.is_closed or not self.transport.connected:
            return
        if is_reset(self.transport):
            self.connection.ended(self, _Ending.RESET)
            return
        self._look_later()

    def _look_later(self):
        self.connection.proxy.reactor.callLater(
            _LOOK_SECONDS, self._look_for_reset
        )


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
    unsent : list
        Bytes, or how the caller's end has ended, that were received before the
        server's end was connected.
    held : list of tuple
        Direction and what is held back while a direction is blocked.
    delayed : dict
        What is delayed, by direction.
    closing : set of str
        Directions in which no more will come.
    closed : set of str
        Directions in which a close in order was passed on.
    is_killed : bool
        Whether the server's process was killed.
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
        self.closing = set()
        self.closed = set()
        self.is_killed = False
        self.is_caller_open = True
        self.on_caller_ended = _ignore

    def opened(self, side):
        """Connect to the target, or send the bytes received meanwhile."""
        if side is self.caller:
            self.proxy.connect(self)
            return
        if self.is_killed:
            side.transport.abortConnection()
            return
        self.server_port = side.transport.getHost().port
        self.caller.transport.registerProducer(_Flow(side), streaming=True)
        unsent = self.unsent
        self.unsent = []
        for part in unsent:
            self._write('server', part)

    def forward(self, direction, part):
        """Forward bytes, or how their end has ended, subject to the faults."""
        if self.is_closed:
            return
        is_sent = direction == 'server' and isinstance(part, bytes)
        if is_sent and self.is_killed:
            self.close(reset=True)
            return
        if is_sent and self.proxy.on_sent is not None:
            self.proxy.on_sent(part, is_lost=self.silent)
        if self.silent:
            return
        if self.proxy.is_blocked(direction):
            self.held.append((direction, part))
            return
        if not (self.proxy.delay or self.delayed[direction]):
            self._write(direction, part)
            return
        # One queue per direction keeps the order of bytes, also when the
        # delay ends.
        self.delayed[direction].append(part)
        self.proxy.reactor.callLater(
            self.proxy.delay, self._write_delayed, direction
        )

    def heal(self):
        """Forward what was held back."""
        held = self.held
        self.held = []
        for direction, part in held:
            self.forward(direction, part)

    def ended(self, side, ending):
        """Pass on how an end has ended, behind all of its bytes."""
        direction = side.direction
        if side is not self.caller:
            self.server_port = 0
        elif self.is_caller_open:
            self.is_caller_open = False
            self.on_caller_ended()
        if ending is _Ending.CLOSED and direction in self.closing:
            return
        self.closing.add(direction)
        self.forward(direction, ending)

    def kill_server(self):
        """End the server's end as the system of a killed process does."""
        if self.silent:
            self.close(reset=True)
            return
        self.is_killed = True
        self.closing.add('caller')
        self.forward('caller', _Ending.CLOSED)
        if self.server is not None and self.server.transport is not None:
            self.server.transport.loseConnection()

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

    def _write_delayed(self, direction):
        self._write(direction, self.delayed[direction].popleft())

    def _side(self, direction):
        return self.server if direction == 'server' else self.caller

    def _write(self, direction, part):
        if self.is_closed or self.silent:
            return
        side = self._side(direction)
        if part in _RESETS:
            self._pass_reset_on(direction, part)
        elif side is None or side.transport is None:
            self.unsent.append(part)
        elif part is _Ending.CLOSED:
            self._pass_close_on(direction, side)
        else:
            side.transport.write(part)

    def _pass_close_on(self, direction, side):
        self.closed.add(direction)
        if side.transport.connected:
            side.transport.loseWriteConnection()
        if len(self.closed) == len(self.delayed):
            self.close()

    def _pass_reset_on(self, direction, ending):
        if direction in self.closed:
            self.close(reset=True)
            return
        # A reset drops what its transport has not sent yet.
        self.proxy.reactor.callLater(
            _SEND_SECONDS, self._reset, direction, ending
        )

    def _reset(self, direction, ending):
        side = self._side(direction)
        if ending is _Ending.UNREAD and side and side.transport.connected:
            _close_unread(side.transport)
        self.close(reset=True)


def _close_unread(transport):
    """Close a connection, and reset it before anything else can be done."""
    with suppress(OSError):
        # The other end may have reset it meanwhile.
        transport.socket.shutdown(socket.SHUT_WR)
    transport.connectionLost(Failure(ConnectionAborted()))


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
    port : int
        Port to listen on; 0 for a free one.

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

    def __init__(self, reactor, port=0):
        self.reactor = reactor
        self.target = None
        self.delay = 0.0
        self.blocked = set()
        self.still = False
        self.on_sent = None
        self.connections = set()
        self.may_refuse = False
        self.refused = set()
        self.port = reactor.listenTCP(port, self, 512, LOOPBACK)
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

    def kill_server(self):
        """End all connections as the system does when the server is killed.

        Returns
        =======

        Deferred
            Fires when the port is free.
        """
        self.target = None
        for connection in list(self.connections):
            connection.kill_server()
        return self.port.stopListening()

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
