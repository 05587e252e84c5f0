"""A loopback proxy that delays, holds back, silences and resets."""

from collections import deque

from twisted.internet.protocol import ClientFactory, Factory, Protocol

LOOPBACK = '127.0.0.1'


class _Side(Protocol):
    """One end of a proxied connection; hands its bytes to the other end."""

    def __init__(self, pair, towards):
        self.pair = pair
        self.towards = towards

    def connectionMade(self):
        """Begin; called by twisted."""
        self.pair.opened(self)

    def dataReceived(self, data):
        """Take bytes; called by twisted."""
        self.pair.carry(self.towards, data)

    def connectionLost(self, reason):
        """End; called by twisted."""
        self.pair.ended(self)


class _Pair:
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
        self.caller = _Side(self, 'server')
        self.server = None
        self.silent = False
        self.over = False
        self.early = []
        self.held = []
        self.late = {'server': deque(), 'caller': deque()}
        self.closing = False

    def opened(self, side):
        """Connect on, or hand over what came meanwhile."""
        if side is self.caller:
            self.proxy.connect(self)
            return
        early = self.early
        self.early = []
        for data in early:
            side.transport.write(data)

    def carry(self, towards, data):
        """Carry bytes, as far as the faults of the link let them."""
        if self.silent or self.over:
            return
        if towards in self.proxy.cut:
            self.held.append((towards, data))
            return
        if not (self.proxy.delay or self.late[towards]):
            self._write(towards, data)
            return
        # One queue a direction: bytes never overtake each other, also when
        # the delay ends.
        self.late[towards].append(data)
        self.proxy.reactor.callLater(
            self.proxy.delay, self._write_late, towards
        )

    def _write_late(self, towards):
        self._write(towards, self.late[towards].popleft())
        if self.closing and not any(self.late.values()):
            self.close()

    def heal(self):
        """Deliver what a cut held back."""
        held = self.held
        self.held = []
        for towards, data in held:
            self.carry(towards, data)

    def ended(self, side):
        """Close the other end too, once its bytes are through."""
        if self.over or self.silent or self.held:
            return
        self.closing = True
        if not any(self.late.values()):
            self.close()

    def close(self, *, reset=False):
        """End both sides."""
        if self.over:
            return
        self.over = True
        self.proxy.pairs.discard(self)
        for side in (self.caller, self.server):
            if side is None or side.transport is None:
                continue
            if reset:
                side.transport.abortConnection()
            else:
                side.transport.loseConnection()

    def _write(self, towards, data):
        if self.over or self.silent:
            return
        side = self.server if towards == 'server' else self.caller
        if side is None or side.transport is None:
            self.early.append(data)
            return
        side.transport.write(data)


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, pair):
        self.pair = pair

    def buildProtocol(self, address):
        """Return the server's side; called by twisted."""
        self.pair.server = _Side(self.pair, 'caller')
        return self.pair.server

    def clientConnectionFailed(self, connector, reason):
        """Refuse the caller as well; called by twisted."""
        self.pair.close(reset=True)


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
        self.cut = set()
        self.pairs = set()
        self.port = reactor.listenTCP(0, self, 512, LOOPBACK)
        self.address = (LOOPBACK, self.port.getHost().port)

    def buildProtocol(self, address):
        """Return the caller's side; called by twisted."""
        pair = _Pair(self)
        self.pairs.add(pair)
        return pair.caller

    def connect(self, pair):
        """Connect a new connection on."""
        if self.target is None:
            pair.close(reset=True)
            return
        self.reactor.connectTCP(*self.target, _Connector(pair), timeout=2)

    def reset(self):
        """Reset all connections."""
        for pair in list(self.pairs):
            pair.close(reset=True)

    def silence(self):
        """Let all connections there are go silent for good."""
        for pair in list(self.pairs):
            pair.silent = True

    def hold(self, *directions):
        """Let nothing pass in some directions until healed."""
        self.cut.update(directions)

    def slow(self, seconds):
        """Delay bytes from now on."""
        self.delay = seconds

    def heal(self):
        """End delay and cut; connections that went silent stay so."""
        self.delay = 0.0
        self.cut.clear()
        for pair in list(self.pairs):
            pair.heal()

    def close(self):
        """End all; return a Deferred."""
        for pair in list(self.pairs):
            pair.close(reset=True)
        return self.port.stopListening()
