"""Connections to upstreams, directly or through a peer."""

from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from pollenstile.ops.answers import (
    CLOSE_FRAMED,
    LENGTH_FRAMED,
    AnswerConnection,
)
from pollenstile.ops.timers import cancel_timer
from pollenstile.ops.unsent import EarlyCloseNoted, is_reset
from pollenstile.tunnel import EndedFrames, TunnelEnd

# Time for the rest of a head whose beginning may be the end of an answer.
_REST_SECONDS = 0.1


class Connection(EarlyCloseNoted, AnswerConnection):
    """Records how the connection ended.

    Attributes
    ==========

    is_lost : bool
        Whether the connection has ended.
    is_unconfirmed : bool
        Whether nothing shows that the upstream lived on after it had closed the
        connection, and so that it ended its answer by that.
    confirm : function or None
        See :class:`~pollenstile.forward._call.Call`; None while the end of the
        answer needs no confirmation.
    search : SecondAnswerSearch or None
        Searches the body; None before it, or if nothing does.
    rest : bytes
        Bytes received after the answer, before they were searched.
    rest_timer : IDelayedCall or None
        Ends the wait for bytes after the answer; None while there is none.
    """

    def __init__(self):
        super().__init__()
        self.is_lost = False
        self.is_unconfirmed = False
        self.confirm = None
        self.search = None
        self.rest = b''
        self.rest_timer = None

    def confirm_end(self, confirm):
        """Have the end of the answer confirmed if only a close shows it.

        Parameters
        ==========

        confirm : function
            See :class:`~pollenstile.forward._call.Call`.
        """
        if self.framing() == CLOSE_FRAMED:
            self.confirm = confirm
            self.prepare()

    def prepare(self):
        """Prepare for the close of an answer whose end it shows."""

    def closed(self):
        """End the connection once its close is understood."""
        if self.confirm is None or self.is_closed_early:
            self.end_closed()
            return
        confirmed = Deferred.fromCoroutine(self._end_confirmed())
        confirmed.addErrback(self._end_unconfirmed)

    def is_answered_twice(self):
        """Return whether the answer that has ended holds a second one."""
        if self.search is None:
            return False
        self.search.feed_rest(self.rest)
        self.rest = b''
        return self.search.is_found_by_end()

    def dataReceived(self, received):
        """Parse received bytes; called by Twisted."""
        if self.rest_timer is None:
            super().dataReceived(received)
            return
        self.search.feed_rest(received)
        if not self.search.may_follow():
            self._end_wait()

    def answer_ended(self, rest):
        """End the answer once it is clear whether its end is another answer.

        Explanation
        ===========

        A length may cut the head of a second answer before it shows.
        """
        if self.framing() != LENGTH_FRAMED:
            self.end_answer(rest)
            return
        self.rest = rest
        if self.is_answered_twice() or not self._may_follow():
            self.end_answer(rest)
            return
        self.rest_timer = self.transport.reactor.callLater(
            _REST_SECONDS, self._end_wait
        )

    def connectionLost(self, reason):
        """Record how the connection ended; called by Twisted."""
        cancel_timer(self.rest_timer)
        self.is_lost = True
        self.closed_cleanly = reason.check(ConnectionDone) is not None
        super().connectionLost(reason)

    async def witnessed(self, late_since, ident):
        """Return whether the upstream's process lives on, as a witness shows.

        Parameters
        ==========

        late_since : float or None
            From when on the close may have gone unread; None if it was read as
            it came.
        ident : str
            Identifier of the upstream.

        Returns
        =======

        bool or None
            None if no witness shows it.
        """
        raise NotImplementedError

    async def answers_anew(self, ident):
        """Return whether a process answers on a new connection."""
        raise NotImplementedError

    async def left_in_order(self, ident):
        """Return whether the upstream has left, as it stated before."""
        return False

    def note_proven(self):
        """Record that the upstream has lived on after the close."""

    def _end_unconfirmed(self, failure):
        """End after an error of this host, which Twisted logs."""
        if not self.is_lost:
            self.is_unconfirmed = True
            self.end_closed()
        return failure

    def _may_follow(self):
        return self.search is not None and self.search.may_follow()

    def _end_wait(self):
        cancel_timer(self.rest_timer)
        self.rest_timer = None
        self.end_answer(b'')

    async def _end_confirmed(self):
        is_confirmed = await self.confirm(self)
        if self.is_lost:
            # The host has given the attempt up, or the connection was reset.
            return
        self.is_unconfirmed = not is_confirmed
        self.is_closed_early = is_reset(self.transport)
        self.end_closed()


class DirectConnection(Connection):
    """Connection to an upstream.

    Parameters
    ==========

    closes : CloseChecks
        Tells whether the upstream lives on after a close.
    address : str
        ``IP:PORT`` of the upstream.

    Attributes
    ==========

    closed_state : Closed or None
        What is known of its close, once that is read.
    """

    def __init__(self, closes, address):
        super().__init__()
        self.closes = closes
        self.address = address
        self.closed_state = None

    def prepare(self):
        """Keep another connection open until the answer has ended."""
        self.closes.begin(self.address)

    def connectionLost(self, reason):
        """Record how the connection ended; called by Twisted."""
        if self.confirm is not None:
            self.closes.end(self.address)
        super().connectionLost(reason)

    async def witnessed(self, late_since, ident):
        """Return whether the upstream lives on, as a witness shows."""
        self.closed_state = self.closes.closed(self.address, late_since)
        closed = self.closed_state
        had_upload = self._currentRequest.bodyProducer is not None
        lives_on = await self.closes.witnessed(self.address, closed, ident)
        if had_upload:
            await self.closes.await_reset(closed)
        return lives_on

    async def answers_anew(self, ident):
        """Return whether a process answers on a new connection."""
        return await self.closes.answers_anew(self.address, ident)

    async def left_in_order(self, ident):
        """Return whether the upstream has left, as it stated before."""
        return await self.closes.left_in_order(
            self.address, self.closed_state, ident
        )

    def note_proven(self):
        """Record that the upstream has lived on after the close."""
        self.closes.note_proven(self.address, self.closed_state)


class TunnelConnection(Connection):
    """Connection through a peer, which passes on the upstream's bytes.

    Parameters
    ==========

    opened : OpenAnswer
        The peer's answer.
    """

    def __init__(self, opened):
        super().__init__()
        self.token = opened.token
        self.is_confirming = opened.confirms
        self.frames = EndedFrames()

    def connectionMade(self):
        """Pick up the connection to the upstream; called by Twisted."""
        self.transport.write(self.token)
        super().connectionMade()

    def dataReceived(self, received):
        """Pass on the upstream's bytes; called by Twisted."""
        content = self.frames.feed(received)
        if content:
            super().dataReceived(content)

    def connectionLost(self, reason):
        """End as the upstream's connection has ended; called by Twisted."""
        end = self.frames.end
        self.is_closed_early |= end is TunnelEnd.CLOSED_EARLY
        kind = ConnectionLost if end is TunnelEnd.NONE else ConnectionDone
        super().connectionLost(Failure(kind()))

    async def witnessed(self, late_since, ident):
        """Return whether the peer tells only of confirmed ends."""
        return self.is_confirming


class Connector(ClientFactory):
    """Gives a call the protocol of its connection, or reports the failure."""

    noisy = False

    def __init__(self, call, protocol):
        self.call = call
        self.call_protocol = protocol

    def buildProtocol(self, address):
        """Return the protocol of the connection; called by Twisted."""
        self.call_protocol.closed_cleanly = False
        self.call.attach(self.call_protocol)
        return self.call_protocol

    def clientConnectionFailed(self, connector, reason):
        """Report that no connection was made; called by Twisted."""
        self.call.fail_connection(reason.type.__name__)


class DirectConnector(Connector):
    """Opens the connection to the upstream itself, and notes whether it did."""

    def __init__(self, call, paths, domains, closes):
        super().__init__(call, DirectConnection(closes, call.address))
        self.paths = paths
        self.domains = domains

    def buildProtocol(self, address):
        """Return the protocol of the connection; called by Twisted."""
        self.paths.note_opened(self.call.address)
        self.domains.note_reached(self.call.address)
        return super().buildProtocol(address)

    def clientConnectionFailed(self, connector, reason):
        """Report that no connection was made; called by Twisted."""
        if not self.call.cancelled:
            self.paths.note_failed(self.call.address)
        if reason.check(ConnectTimeout):
            self.domains.note_timed_out(self.call.address)
        elif reason.check(ConnectionRefusedError):
            self.domains.note_reached(self.call.address)
        super().clientConnectionFailed(connector, reason)
