"""Opens connections to upstreams for peers, and passes bytes on."""

import secrets

from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionRefusedError,
)
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from pollenstile.closes import CloseChecks, ReadPauses
from pollenstile.ops.logs import silent_log
from pollenstile.ops.timers import cancel_timer
from pollenstile.ops.unsent import EarlyCloseNoted, is_reset
from pollenstile.tunnel import events
from pollenstile.tunnel._frames import encode_data, encode_end
from pollenstile.tunnel._heads import HeadWatch
from pollenstile.tunnel._messages import (
    OpenAnswer,
    OpenResult,
    decode_ask,
    encode_answer,
)

TUNNEL_SUBJECT = 'tunnel'
# Timeout of the TCP handshake with an upstream, as for a host's own requests.
_CONNECT_SECONDS = 0.35
# Time in which the asking host picks up a connection.
_PICK_UP_SECONDS = 1.0
_TOKEN_BYTES = 16
# Number of connections that a host keeps for peers; each takes two descriptors
# and buffers on both sides.
_MAX_TUNNELS = 256
# Number of connections from strangers that may wait for their first bytes.
_MAX_STRANGERS = 256
_BACKLOG = 512


class TunnelServer:
    """Answers peers that ask for connections to upstreams.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens connections and provides timers.
    is_upstream : function
        Takes an address; returns whether an upstream is registered there.
    is_lost : function
        Takes an address; returns whether this host has no path to it.
    log : function
        Writes events.

    Attributes
    ==========

    address : str
        ``IP:PORT`` at which peers pick up connections; empty before
        :meth:`listen`.
    waiting : dict
        Upstream ends that were not picked up yet, by token.
    open_ends : set
        All upstream ends.
    closes : CloseChecks
        Tells whether upstreams live on after they have closed a connection.
    strangers : set
        Connections whose token has not arrived.
    """

    __slots__ = (
        'address',
        'closes',
        'is_lost',
        'is_upstream',
        'log',
        'open_ends',
        'reactor',
        'strangers',
        'waiting',
    )

    def __init__(self, reactor, is_upstream, is_lost, log=silent_log):
        self.reactor = reactor
        self.is_upstream = is_upstream
        self.is_lost = is_lost
        self.log = log
        self.address = ''
        self.waiting = {}
        self.open_ends = set()
        self.closes = CloseChecks(reactor, log)
        self.strangers = set()

    def listen(self, host, port):
        """Listen for peers that pick up connections; return the port."""
        return self.reactor.listenTCP(
            port, _HostEndFactory(self), _BACKLOG, interface=host
        )

    def leave(self):
        """Open no more connections; those that are open go on."""
        self.address = ''

    def answer(self, peer, body):
        """Answer a peer; return the encoded answer or a Deferred of it."""
        ask = decode_ask(body)
        result = self._refusal(ask)
        if result is not None:
            return encode_answer(OpenAnswer(result))
        factory = _UpstreamEndFactory(self, ask)
        host, _, port = ask.address.rpartition(':')
        self.reactor.connectTCP(
            host, int(port), factory, timeout=_CONNECT_SECONDS
        )
        return factory.done.addCallback(self._encode, peer, ask)

    def pick_up(self, token):
        """Return the upstream end with a token, or None."""
        return self.waiting.pop(token, None)

    def _refusal(self, ask):
        """Return why no connection is opened, or None."""
        if not self.is_upstream(ask.address):
            return OpenResult.UNREACHABLE
        if self.is_lost(ask.address):
            return OpenResult.CUT_OFF
        if not ask.keep:
            return None
        if not self.address or len(self.open_ends) >= _MAX_TUNNELS:
            return OpenResult.FULL
        return None

    def _encode(self, opened, peer, ask):
        answer = OpenAnswer(opened)
        if isinstance(opened, _UpstreamEnd):
            answer = self._keep(opened)
        self.log(
            events.TUNNEL_SERVED,
            peer=peer,
            address=ask.address,
            keep=ask.keep,
            result=answer.result.value,
            open=len(self.open_ends),
        )
        return encode_answer(answer)

    def _keep(self, upstream_end):
        token = secrets.token_bytes(_TOKEN_BYTES)
        self.waiting[token] = upstream_end
        self.reactor.callLater(_PICK_UP_SECONDS, self._expire, token)
        return OpenAnswer(OpenResult.OPENED, self.address, token, confirms=True)

    def _expire(self, token):
        upstream_end = self.pick_up(token)
        if upstream_end is not None:
            upstream_end.transport.abortConnection()


class _UpstreamEnd(EarlyCloseNoted, Protocol):
    """The connection to an upstream."""

    def __init__(self, factory):
        super().__init__()
        self.server = factory.server
        self.ask = factory.ask
        self.done = factory.done
        self.host_end = None
        self.is_unconfirmed = False
        self.pauses = ReadPauses(self.server.reactor)
        self.head = HeadWatch()
        self.is_watched = False

    def connectionMade(self):
        """Report the open connection; called by Twisted."""
        if not self.ask.keep:
            self.transport.abortConnection()
            self.done.callback(OpenResult.OPENED)
            return
        self.transport.setTcpNoDelay(True)
        self.transport.pauseProducing()
        self.server.open_ends.add(self)
        self.done.callback(self)

    def dataReceived(self, received):
        """Pass on what the upstream sent; called by Twisted."""
        self.head.feed(received)
        if self.head.is_unframed and not self.is_watched:
            self.is_watched = True
            self.server.closes.begin(self.ask.address)
        self.host_end.transport.write(encode_data(received))

    def pauseProducing(self):
        """Stop reading, as the host does; called by Twisted."""
        self.pauses.note_paused()
        self.transport.pauseProducing()

    def resumeProducing(self):
        """Read again; called by Twisted."""
        self.pauses.note_resumed()
        self.transport.resumeProducing()

    def stopProducing(self):
        """Close the connection; called by Twisted."""
        self.transport.stopProducing()

    def closed(self):
        """End the connection once its close is understood."""
        if not self.is_watched:
            # The framing tells the end of the answer.
            self.is_unconfirmed = True
            self.end_closed()
            return
        understood = Deferred.fromCoroutine(self._end_understood())
        understood.addErrback(self._end_unconfirmed)

    def connectionLost(self, reason):
        """Pass on how the connection ended; called by Twisted."""
        if self not in self.server.open_ends:
            return
        self.server.open_ends.discard(self)
        if self.is_watched:
            self.server.closes.end(self.ask.address)
        if self.host_end is not None:
            is_closed = bool(reason.check(ConnectionDone))
            self.host_end.end(self._last_frame(), is_closed=is_closed)

    def _last_frame(self):
        """Return the frame that tells of a close in order."""
        if self.is_unconfirmed:
            return b''
        return encode_end(is_early=self.is_closed_early)

    def _end_unconfirmed(self, failure):
        """End after an error of this host, which Twisted logs."""
        if self in self.server.open_ends:
            self.is_unconfirmed = True
            self.end_closed()
        return failure

    async def _end_understood(self):
        """Pass the close on if the upstream's process lives on after it."""
        closes = self.server.closes
        address = self.ask.address
        closed = closes.closed(address, self.pauses.late_since())
        lives_on = await closes.witnessed(address, closed)
        if lives_on is None:
            lives_on = await closes.answers_anew(address)
        await closes.await_reset(closed)
        if self not in self.server.open_ends:
            # The host has closed its connection, or this one was reset.
            return
        if lives_on:
            closes.note_proven(address, closed)
        else:
            lives_on = await closes.left_in_order(address, closed)
        if self not in self.server.open_ends:
            return
        self.is_unconfirmed = not lives_on
        self.is_closed_early = self.is_closed_early or is_reset(self.transport)
        self.end_closed()


class _UpstreamEndFactory(ClientFactory):
    """Opens one connection; ``done`` fires with its end or the result."""

    noisy = False

    def __init__(self, server, ask):
        self.server = server
        self.ask = ask
        self.done = Deferred()

    def buildProtocol(self, address):
        """Return the upstream end; called by Twisted."""
        return _UpstreamEnd(self)

    def clientConnectionFailed(self, connector, reason):
        """Report why no connection was made; called by Twisted."""
        refused = reason.check(ConnectionRefusedError)
        self.done.callback(
            OpenResult.REFUSED if refused else OpenResult.UNREACHABLE
        )


class _HostEnd(Protocol):
    """The connection of the host that asked."""

    def __init__(self, server):
        self.server = server
        self.upstream_end = None
        self.received = b''
        self.timer = None

    def connectionMade(self):
        """Wait for the token; called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.server.strangers.add(self)
        self.timer = self.server.reactor.callLater(
            _PICK_UP_SECONDS, self.transport.abortConnection
        )

    def dataReceived(self, received):
        """Pass on what the host sent; called by Twisted."""
        if self.upstream_end is not None:
            self.upstream_end.transport.write(received)
            return
        self.received += received
        if len(self.received) >= _TOKEN_BYTES:
            self._join(self.received[:_TOKEN_BYTES])

    def connectionLost(self, reason):
        """Close the upstream's connection at once; called by Twisted."""
        self._stop_waiting()
        if self.upstream_end is not None:
            self.upstream_end.host_end = None
            self.upstream_end.transport.abortConnection()

    def end(self, last_frame, *, is_closed):
        """End the connection as that of the upstream has ended.

        Explanation
        ===========

        What the upstream sent is passed on also where nothing shows that it
        ended its answer: an answer that states its length may be whole.

        Parameters
        ==========

        last_frame : bytes
            Tells how the upstream has closed; empty if it may have ended.
        is_closed : bool
            Whether it closed without a reset.
        """
        self.upstream_end = None
        self.transport.unregisterProducer()
        if not is_closed:
            self.transport.abortConnection()
            return
        self.transport.write(last_frame)
        self.transport.loseConnection()

    def _join(self, token):
        self._stop_waiting()
        upstream_end = self.server.pick_up(token)
        if upstream_end is None or upstream_end not in self.server.open_ends:
            self.transport.abortConnection()
            return
        self.upstream_end = upstream_end
        upstream_end.host_end = self
        # Each side is read only as fast as the other one takes it.
        self.transport.registerProducer(upstream_end, True)
        upstream_end.transport.registerProducer(self.transport, True)
        upstream_end.transport.resumeProducing()
        rest = self.received[_TOKEN_BYTES:]
        self.received = b''
        if rest:
            upstream_end.transport.write(rest)

    def _stop_waiting(self):
        self.server.strangers.discard(self)
        cancel_timer(self.timer)


class _HostEndFactory(Factory):
    noisy = False

    def __init__(self, server):
        self.server = server

    def buildProtocol(self, address):
        """Return a host end, or None above the limit; called by Twisted."""
        if len(self.server.strangers) >= _MAX_STRANGERS:
            return None
        return _HostEnd(self.server)
