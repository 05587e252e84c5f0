"""Callers' connections: requests in, answers out."""

from io import BytesIO

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from pollenstile.forward import events
from pollenstile.forward._parse import parsed_exchange
from pollenstile.forward._run import is_cancelled_on_disconnect, serve
from pollenstile.forward._types import Refusal
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
# Seconds that a body may take beyond its header's time: 4 MB at 1 Mbit/s.
_BODY_SECONDS = 32.0
_DEFAULT_LIMITS = Limits()
# Seconds until another host takes the connections of one that leaves.
_LEAVING = Refusal(503, 'leaving', 'entry', '', 0.1)


class Answer(Request):
    """One caller's request on its connection, and the answer to it.

    Attributes
    ==========

    begun : bool
        Whether the head of an answer went out.
    gone : bool
        Whether the caller has closed its connection.
    """

    def __init__(self, channel, queued=None):
        super().__init__(channel, queued)
        self.begun = False
        self.gone = False
        self.ended = False
        self.refused = False
        self.received = 0
        self.work = None
        self.exchange = None

    def parseCookies(self):
        """Parse nothing; called by twisted."""

    def gotLength(self, length):
        """Prepare for a body of a stated length; called by twisted.

        Explanation
        ===========

        The library keeps large bodies in files; hosts have no disks.
        """
        self.content = BytesIO()
        self.channel.head_is_in()
        if length is not None and length > self.channel.limits.body_bytes:
            self._reject(_BODY_TOO_LARGE)

    def handleContentChunk(self, data):
        """Keep a part of the body; called by twisted."""
        self.received += len(data)
        if self.refused:
            return
        if self.received > self.channel.limits.body_bytes:
            self._reject(_BODY_TOO_LARGE)
            return
        self.content.write(data)

    def requestReceived(self, command, path, version):
        """Serve a request that is whole; called by twisted."""
        self.channel.body_is_in()
        if self.refused:
            return
        self.method = command
        self.uri = path
        self.clientproto = version
        self.channel.factory.served(self)

    def connectionLost(self, reason):
        """Note that the caller has left; called by twisted."""
        factory = self.channel.factory
        super().connectionLost(reason)
        if self.ended:
            return
        self.gone = True
        self.ended = True
        factory.left(self)

    def begin(self, status, phrase, headers):
        """Take the head of an upstream's answer; it goes with the body."""
        self.begun = True
        if self.ended:
            return
        self.setResponseCode(status, phrase)
        for name, content in headers:
            self.responseHeaders.addRawHeader(name, content)

    def write(self, data):
        """Write a part of the body."""
        # An empty part brings the head of an answer without a body out.
        if not self.ended and (data or not self.startedWriting):
            super().write(data)

    def finish(self):
        """End a whole answer."""
        if self.ended:
            return
        super().finish()
        self.ended = True

    def abort(self):
        """Break the connection: what went out is not whole."""
        if self.ended:
            return
        self.ended = True
        self.channel.transport.abortConnection()

    def refuse(self, refusal):
        """Give a final answer of the system's own."""
        if self.ended:
            return
        self.begun = True
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
        """Let a caller that reads slowly slow its upstream down."""
        if not self.ended:
            self.registerProducer(producer, True)

    def unproduce(self):
        """Forget the upstream whose answer has ended."""
        if not self.ended:
            self.unregisterProducer()

    def _reject(self, status):
        self.refused = True
        self.ended = True
        self.channel.reject(status)


class CallerChannel(HTTPChannel):
    """One caller's connection, with bounds on size and time."""

    requestFactory = Answer

    def connectionMade(self):
        """Begin; called by twisted."""
        self.limits = self.factory.limits()
        self.totalHeadersSize = self.limits.header_bytes
        self.timeOut = self.limits.idle_seconds
        self.slow_timer = None
        self.rejected = False
        self.factory.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason):
        """End; called by twisted."""
        self._stop_slow_timer()
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data):
        """Take bytes; called by twisted."""
        if self.rejected:
            return
        if self.slow_timer is None and not self._handlingRequest:
            self._time(self.limits.header_seconds)
        super().dataReceived(data)

    def lineLengthExceeded(self, line):
        """Refuse a line that is too long; called by twisted."""
        self.reject(_HEADERS_TOO_LARGE)

    def head_is_in(self):
        """Note that a request's head is whole."""
        self._time(_BODY_SECONDS)

    def body_is_in(self):
        """Note that a request is whole."""
        self._stop_slow_timer()

    def checkPersistence(self, request, version):
        """Return whether to keep the connection; called by twisted."""
        stated = request.requestHeaders.getRawHeaders(b'connection', ())
        tokens = {
            token.strip().lower()
            for line in stated
            for token in line.split(b',')
        }
        if version != b'HTTP/1.1' or b'close' in tokens or self.factory.leaving:
            request.responseHeaders.setRawHeaders(b'connection', [b'close'])
            return False
        return True

    def reject(self, status):
        """Refuse bytes that are no acceptable request, and close."""
        if self.rejected:
            return
        self.rejected = True
        self._stop_slow_timer()
        self.factory.core.log(
            events.REQUEST_MALFORMED,
            status=status,
            peer=self.transport.getPeer().host,
        )
        head = (
            b'HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
        )
        self.transport.write(head % (status, _PHRASES[status]))
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self):
        over = self._receivedHeaderSize > self.totalHeadersSize
        self.reject(_HEADERS_TOO_LARGE if over else _BAD_REQUEST)

    def _time(self, seconds):
        self._stop_slow_timer()
        self.slow_timer = self.callLater(seconds, self._too_slow)

    def _stop_slow_timer(self):
        if self.slow_timer is not None and self.slow_timer.active():
            self.slow_timer.cancel()
        self.slow_timer = None

    def _too_slow(self):
        # A request that never becomes whole holds a connection for good.
        self.slow_timer = None
        self.reject(_TIMED_OUT)


class CallerFactory(HTTPFactory):
    """Callers' connections, and what is in flight.

    Parameters
    ==========

    core : ForwardCore
        Serves the requests.
    """

    protocol = CallerChannel
    noisy = False

    def __init__(self, core, reactor):
        super().__init__(reactor=reactor)
        self.core = core
        self.leaving = False
        self.refusing = False
        self.channels = set()
        self.in_flight = 0
        self.on_idle = None

    def log(self, request):
        """Write no access log: events take its place."""

    def limits(self):
        """Return what callers may send."""
        table = self.core.configuration.table
        return table.limits if table else _DEFAULT_LIMITS

    def served(self, answer):
        """Serve a request that is whole."""
        if self.leaving:
            answer.channel.persistent = False
            answer.responseHeaders.setRawHeaders(b'connection', [b'close'])
        exchange = _LEAVING
        if not self.refusing:
            exchange = parsed_exchange(self.core, answer)
        if isinstance(exchange, Refusal):
            self.core.log(
                events.FORWARD_ENDED,
                request=header(answer, self.core.names.attempt),
                outcome='refused',
                status=exchange.status,
                reason=exchange.reason,
                step='entry',
                proof_ms=self.core.configuration.age_ms(),
            )
            answer.refuse(exchange)
            return
        answer.exchange = exchange
        self.in_flight += 1
        answer.work = serve(self.core, exchange, answer)
        answer.work.addBoth(self._over)

    def left(self, answer):
        """Stop the work of a caller that is gone, if it may be stopped."""
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
        """Close connections with their next answers from now on."""
        self.leaving = True
        for channel in list(self.channels):
            if channel.requests:
                channel.persistent = False

    def close_idle(self):
        """Close connections on which nothing is under way."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def _over(self, ignored):
        self.in_flight -= 1
        if not self.in_flight and self.on_idle is not None:
            self.on_idle()


def header(answer, name):
    """Return a header's text, empty for none."""
    content = answer.getHeader(name) or b''
    return content.decode('latin-1')
