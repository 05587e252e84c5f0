"""One request in flight at an upstream, and the body of its response."""

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Protocol
from twisted.web._newclient import ResponseDone
from twisted.web.client import ResponseFailed
from twisted.web.http import PotentialDataLoss

from pollenstile.forward._bounds import ENDLESS_HEAD
from pollenstile.forward._types import BodyEnd, Lost, NotRun
from pollenstile.ops.answers import MalformedAnswerError, reading_error


class _Body(Protocol):
    """Passes on the bytes of a response body and how the body ended."""

    def __init__(self, call, on_data, on_end):
        self.call = call
        self.on_data = on_data
        self.on_end = on_end
        self.is_ended = False

    def dataReceived(self, data):
        """Pass on received bytes; called by Twisted."""
        if self.call.cancelled or self.is_ended:
            return
        if self._has_second_answer(data):
            self._end(BodyEnd.REPEATED)
            return
        self.on_data(data)

    def connectionLost(self, reason):
        """Report the end of the body; called by Twisted."""
        if not self.call.cancelled and not self.is_ended:
            self._end(self._body_end(reason))

    def _has_second_answer(self, data):
        search = self.call.search
        if search is None:
            return False
        search.feed(data)
        return search.is_found

    def _end(self, body_end):
        self.is_ended = True
        self.call.close()
        self.on_end(body_end)

    def _body_end(self, reason):
        if self.call.protocol.is_answered_twice():
            return BodyEnd.REPEATED
        if reason.check(ResponseDone):
            return BodyEnd.COMPLETE
        if isinstance(reading_error(reason), MalformedAnswerError):
            return BodyEnd.MISFRAMED
        # The parser gives the same reason for an unframed body whose connection
        # was reset.
        protocol = self.call.protocol
        if not reason.check(PotentialDataLoss) or not protocol.closed_cleanly:
            return BodyEnd.BROKEN
        if protocol.is_unconfirmed:
            return BodyEnd.UNCONFIRMED
        return BodyEnd.EARLY if protocol.is_closed_early else BodyEnd.CLOSED


class Call:
    """One request in flight.

    Attributes
    ==========

    head : Deferred
        Fires with Twisted's response once the headers are received, or with
        :class:`NotRun` or :class:`Lost`.
    check : function
        Asked when the connection is open. Returns a :class:`NotRun` if the
        request must not be sent any more, or None.
    verify : function or None
        Called when the connection is open, before ``check``. Returns a Deferred
        of a :class:`NotRun` if the request must not be sent on it, or of None.
    confirm : function or None
        Asked when the upstream has closed the connection and nothing else shows
        the end of its answer; see ``end_check``. Takes the connection; returns
        a coroutine of whether the answer has ended.
    search : SecondAnswerSearch or None
        Searches the body for a second answer to the request.
    on_unreached : function
        Called with the address if it is given up before it was sent.
    cancelled : bool
        Whether nothing more is to be delivered.
    sent : bool
        Whether the request was sent on its connection.
    protocol : Connection or None
        The connection, once there is one.
    connector : IConnector or None
        Opens the connection; None while a peer opens a path.
    """

    __slots__ = (
        'address',
        'cancelled',
        'check',
        'confirm',
        'connector',
        'head',
        'on_unreached',
        'protocol',
        'request',
        'search',
        'sent',
        'verify',
    )

    def __init__(self, request, address, on_unreached):
        self.request = request
        self.on_unreached = on_unreached
        self.address = address
        self.head = Deferred(lambda _: self.cancel())
        self.protocol = None
        self.connector = None
        self.cancelled = False
        self.check = _permit
        self.verify = None
        self.confirm = None
        self.search = None
        self.sent = False

    @property
    def framing(self):
        """By what the end of the answer's body is known; see the connection."""
        return self.protocol.framing()

    def attach(self, protocol):
        """Send the request once the protocol is connected."""
        self.protocol = protocol
        connection_made = protocol.connectionMade

        def connected():
            connection_made()
            protocol.transport.setTcpNoDelay(True)
            if self.cancelled:
                protocol.transport.abortConnection()
                return
            if self.verify is None:
                self._send(None)
                return
            self.verify().addCallbacks(self._send, self._on_unverified)

        protocol.connectionMade = connected

    def fail_connection(self, reason):
        """Report that no connection was made and nothing was sent."""
        if not self.head.called and not self.cancelled:
            self.head.callback(NotRun(reason, self.address, arrived=False))

    def deliver(self, response, on_data, on_end):
        """Deliver the response body; return its producer.

        Parameters
        ==========

        on_data : function
            Called with each received part of the body.
        on_end : function
            Called last, with a :class:`BodyEnd`.
        """
        self.protocol.search = self.search
        if self.confirm is not None:
            self.protocol.confirm_end(self.confirm)
        body = _Body(self, on_data, on_end)
        response.deliverBody(body)
        return body.transport

    def cancel(self):
        """Close the connection at once and deliver nothing more."""
        self.cancelled = True
        self.close()

    def give_up(self):
        """Cancel the call, as the upstream has not answered in time."""
        if not self.sent:
            self.on_unreached(self.address)
        self.cancel()

    def close(self):
        """Close the connection, which is never reused."""
        transport = self.protocol.transport if self.protocol else None
        if transport is not None:
            transport.abortConnection()
        elif self.connector and self.connector.state == 'connecting':
            self.connector.stopConnecting()

    def _on_unverified(self, failure):
        """Send nothing on a connection whose check ended with an error."""
        if not self.head.called:
            self._send(NotRun(repr(failure.value), arrived=False))

    def _send(self, refusal):
        """Send the request unless it is refused or its connection is lost."""
        if self.cancelled or self.head.called:
            return
        if self.protocol.is_lost:
            self.fail_connection('connection lost')
            return
        refusal = refusal or self.check()
        if refusal is not None:
            self.protocol.transport.abortConnection()
            self.head.callback(refusal)
            return
        self.sent = True
        response = self.protocol.request(self.request)
        response.addCallbacks(self._on_response, self._on_failure)

    def _on_response(self, response):
        if not self.cancelled and not self.head.called:
            self.head.callback(response)

    def _on_failure(self, failure):
        self.close()
        if self.cancelled or self.head.called:
            return
        self.head.callback(_lost(failure, self.address))


def _permit():
    """Return None: nothing keeps a request from being sent."""


def _lost(failure, address):
    """Return the outcome of a call that has failed without a head."""
    error = reading_error(failure)
    if error is None:
        return Lost(_reason(failure), address, broken=True)
    if isinstance(error, MalformedAnswerError):
        return Lost(str(error), address, broken=True)
    return Lost(ENDLESS_HEAD, address, endless=True)


def _reason(failure):
    if failure.check(ResponseFailed):
        reasons = failure.value.reasons
        return reasons[0].type.__name__ if reasons else 'no answer'
    if failure.check(CancelledError):
        return 'cancelled'
    return failure.type.__name__
