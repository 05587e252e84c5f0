"""HTTP server for callers: receives requests and writes answers."""

from io import BytesIO

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from pollenstile.forward import events
from pollenstile.forward._departure import LEAVING_REFUSAL
from pollenstile.forward._parse import parse_exchange
from pollenstile.forward._request_log import log_unread
from pollenstile.forward._run import is_cancelled_on_disconnect, serve
from pollenstile.forward._types import Refusal
from pollenstile.ops.timers import cancel_timer
from pollenstile.routes import Limits

_HEADERS_TOO_LARGE = 431
_BODY_TOO_LARGE = 413
_TIMED_OUT = 408
_BAD_REQUEST = 400
_PHRASES = {
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
# Time allowed for receiving a body after its headers: 4 MB at 1 Mbit/s.
_BODY_TIMEOUT_SECONDS = 32.0
_DEFAULT_LIMITS = Limits()


class Answer(Request):
    """A caller's request on its connection, and the answer to it.

    Attributes
    ==========

    begun : bool
        Whether the head of an answer was set.
    gone : bool
        Whether the caller has closed its connection.
    """

    def __init__(self, channel, queued=None):
        super().__init__(channel, queued)
        self.begun = False
        self.gone = False
        self.ended = False
        self.refused = False
        self.received_bytes = 0
        self.work = None
        self.exchange = None

    def parseCookies(self):
        """Skip the parsing of cookies; called by Twisted."""

    def gotLength(self, length):
        """Prepare for a body of the declared length; called by Twisted.

        Explanation
        ===========

        Bodies are kept in memory, as Twisted would store large bodies in files
        and hosts have no disks.
        """
        self.content = BytesIO()
        self.channel.on_head_received()
        if length is not None and length > self.channel.limits.body_bytes:
            self._reject(_BODY_TOO_LARGE)

    def handleContentChunk(self, data):
        """Append a chunk to the body; called by Twisted."""
        self.received_bytes += len(data)
        if self.refused:
            return
        if self.received_bytes > self.channel.limits.body_bytes:
            self._reject(_BODY_TOO_LARGE)
            return
        self.content.write(data)

    def requestReceived(self, command, path, version):
        """Serve a completely received request; called by Twisted."""
        self.channel.on_request_received()
        if self.refused:
            return
        self.method = command
        self.uri = path
        self.clientproto = version
        self.channel.factory.serve_request(self)

    def connectionLost(self, reason):
        """Record that the caller has disconnected; called by Twisted."""
        factory = self.channel.factory
        super().connectionLost(reason)
        if self.ended:
            return
        self.gone = True
        self.ended = True
        factory.on_caller_left(self)

    def begin(self, status, phrase, headers):
        """Set the head of the answer, which is sent with the body."""
        self.begun = True
        if self.ended:
            return
        self._announce_close()
        self.setResponseCode(status, phrase)
        for name, content in headers:
            self.responseHeaders.addRawHeader(name, content)

    def write(self, data):
        """Write a chunk of the body."""
        # An empty chunk sends the head of an answer without a body.
        if not self.ended and (data or not self.startedWriting):
            super().write(data)

    def finish(self):
        """End a complete answer."""
        if self.ended:
            return
        super().finish()
        self.ended = True

    def abort(self):
        """Abort the connection, as the sent answer is incomplete."""
        if self.ended:
            return
        self.ended = True
        self.channel.transport.abortConnection()

    def refuse(self, refusal):
        """Send a refusal as the final answer."""
        if self.ended:
            return
        self.begun = True
        self._announce_close()
        self.setResponseCode(refusal.status, _PHRASES[refusal.status])
        body = f'{refusal.reason}\n'.encode()
        headers = self.responseHeaders
        headers.setRawHeaders(b'content-type', [b'text/plain'])
        headers.setRawHeaders(b'content-length', [b'%d' % len(body)])
        if refusal.retry_after:
            wait = f'{refusal.retry_after:.2f}'.encode()
            headers.setRawHeaders(b'retry-after', [wait])
        self.write(body)
        self.finish()

    def produce(self, producer):
        """Register the upstream's producer, for flow control by the caller."""
        if not self.ended:
            self.registerProducer(producer, True)

    def unproduce(self):
        """Unregister the producer of an upstream whose answer has ended."""
        if not self.ended:
            self.unregisterProducer()

    def announces_close(self):
        """Return whether the head says that the connection will be closed."""
        tokens = self.responseHeaders.getRawHeaders(b'connection', ())
        return b'close' in tokens

    def _announce_close(self):
        if self.channel.factory.leaving:
            self.responseHeaders.setRawHeaders(b'connection', [b'close'])

    def _reject(self, status):
        self.refused = True
        self.ended = True
        self.channel.reject(status)


class CallerChannel(HTTPChannel):
    """A caller's connection, with limits on sizes and times.

    Attributes
    ==========

    last : Exchange or None
        The request that was answered last.
    """

    requestFactory = Answer

    def connectionMade(self):
        """Set the limits of the connection; called by Twisted."""
        self.limits = self.factory.limits()
        self.totalHeadersSize = self.limits.header_bytes
        self.timeOut = self.limits.idle_seconds
        self.slow_timer = None
        self.rejected = False
        self.last = None
        self.factory.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason):
        """Release the resources of the connection; called by Twisted."""
        self._stop_slow_timer()
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data):
        """Parse received bytes within the time limit; called by Twisted."""
        if self.rejected:
            return
        if self.slow_timer is None and not self._handlingRequest:
            self._start_slow_timer(self.limits.header_seconds)
        super().dataReceived(data)

    def lineLengthExceeded(self, line):
        """Reject a line that is too long; called by Twisted."""
        self.reject(_HEADERS_TOO_LARGE)

    def on_head_received(self):
        """Start the time limit for the body."""
        self._start_slow_timer(_BODY_TIMEOUT_SECONDS)

    def on_request_received(self):
        """Stop the time limit of a completely received request."""
        self._stop_slow_timer()

    def requestDone(self, request):
        """Go on after an answer; called by Twisted.

        Explanation
        ===========

        A leaving host closes the connection. Only if the answer had begun
        before, and so didn't announce that, a request that waits behind it is
        answered first.
        """
        self.last = request.exchange
        if self.factory.leaving:
            waits = bool(self._dataBuffer) and not request.announces_close()
            self.persistent = self.persistent and waits
        super().requestDone(request)

    def is_closing(self):
        """Return whether the connection closes once its caller has read."""
        return self.transport.disconnecting

    def refuse_incomplete(self):
        """Refuse a request that isn't completely received, as not run."""
        if self.rejected or not self.requests:
            return
        if self.requests[-1].work is not None:
            return
        self.factory.log_refused(self.requests[-1], LEAVING_REFUSAL)
        self._close_with(LEAVING_REFUSAL.status)

    def cut_off(self):
        """Reset the connection, as its caller doesn't read the answer."""
        if self.last is not None:
            log_unread(self.factory.core, self.last)
        self.transport.abortConnection()

    def checkPersistence(self, request, version):
        """Return whether to keep the connection open; called by Twisted."""
        values = request.requestHeaders.getRawHeaders(b'connection', ())
        tokens = {
            token.strip().lower()
            for line in values
            for token in line.split(b',')
        }
        if version != b'HTTP/1.1' or b'close' in tokens or self.factory.leaving:
            request.responseHeaders.setRawHeaders(b'connection', [b'close'])
            return False
        return True

    def reject(self, status):
        """Answer an unacceptable request and close the connection."""
        if self.rejected:
            return
        self.factory.core.log(
            events.REQUEST_MALFORMED,
            status=status,
            peer=self.transport.getPeer().host,
        )
        self._close_with(status)

    def _close_with(self, status):
        self.rejected = True
        self._stop_slow_timer()
        head = (
            b'HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
        )
        self.transport.write(head % (status, _PHRASES[status]))
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self):
        over = self._receivedHeaderSize > self.totalHeadersSize
        self.reject(_HEADERS_TOO_LARGE if over else _BAD_REQUEST)

    def _start_slow_timer(self, seconds):
        self._stop_slow_timer()
        self.slow_timer = self.callLater(seconds, self._on_timeout)

    def _stop_slow_timer(self):
        cancel_timer(self.slow_timer)
        self.slow_timer = None

    def _on_timeout(self):
        # Without a limit, an incomplete request would occupy its connection
        # indefinitely.
        self.slow_timer = None
        self.reject(_TIMED_OUT)


class CallerFactory(HTTPFactory):
    """Callers' connections and the requests in flight.

    Parameters
    ==========

    core : ForwardCore
        Serves the requests.
    gate : ConnectionGate or None
        Decides which new connections are accepted; None accepts all.
    """

    protocol = CallerChannel
    noisy = False

    def __init__(self, core, reactor, gate=None):
        super().__init__(reactor=reactor)
        self.core = core
        self.gate = gate
        self.leaving = False
        self.refusing = False
        self.channels = set()
        self.in_flight = 0
        self.on_idle = None

    def buildProtocol(self, address):
        """Return a new connection, or None to close it; called by Twisted."""
        if self.gate is not None and not self.gate.accepts(len(self.channels)):
            return None
        return super().buildProtocol(address)

    def log(self, request):
        """Write no access log, as events replace it."""

    def limits(self):
        """Return the limits on callers' requests."""
        table = self.core.configuration.table
        return table.limits if table else _DEFAULT_LIMITS

    def serve_request(self, answer):
        """Serve a completely received request."""
        if self.leaving:
            answer.channel.persistent = False
            answer.responseHeaders.setRawHeaders(b'connection', [b'close'])
        exchange = LEAVING_REFUSAL
        if not self.refusing:
            exchange = parse_exchange(self.core, answer)
        if isinstance(exchange, Refusal):
            self.log_refused(answer, exchange)
            answer.refuse(exchange)
            return
        answer.exchange = exchange
        self.in_flight += 1
        answer.work = serve(self.core, exchange, answer)
        answer.work.addBoth(self._on_finished)

    def log_refused(self, answer, refusal):
        """Log the refusal of a request that was not accepted."""
        self.core.log(
            events.FORWARD_ENDED,
            request=header(answer, self.core.names.attempt),
            outcome='refused',
            status=refusal.status,
            reason=refusal.reason,
            step='entry',
            proof_ms=self.core.configuration.age_ms(),
        )

    def on_caller_left(self, answer):
        """Cancel the request of a disconnected caller, if permitted."""
        if answer.work is None or answer.exchange is None:
            return
        self.core.log(
            events.CALLER_LEFT,
            request=answer.exchange.ident,
            route=answer.exchange.route.name,
        )
        if is_cancelled_on_disconnect(answer.exchange):
            answer.work.cancel()

    def leave(self):
        """Close each connection after its next answer."""
        self.leaving = True

    def close_idle(self):
        """Close connections without a request in flight."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def is_closing(self):
        """Return whether connections close once their callers have read."""
        return any(channel.is_closing() for channel in self.channels)

    def refuse_incomplete(self):
        """Refuse the requests that are not completely received."""
        for channel in list(self.channels):
            channel.refuse_incomplete()

    def cut_off_unread(self):
        """Reset the connections whose callers have not read their answers."""
        for channel in list(self.channels):
            if channel.is_closing():
                channel.cut_off()

    def _on_finished(self, ignored):
        self.in_flight -= 1
        if not self.in_flight and self.on_idle is not None:
            self.on_idle()


def header(answer, name):
    """Return the value of a header, or an empty text if it is missing."""
    content = answer.getHeader(name) or b''
    return content.decode('latin-1')
