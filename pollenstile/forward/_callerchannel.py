"""Callers' connections, with limits on sizes and times."""

from twisted.web.http import HTTPChannel

from pollenstile.forward import events
from pollenstile.forward._answer import PHRASES, Answer
from pollenstile.forward._departure import LEAVING_REFUSAL
from pollenstile.forward._request_log import log_unread
from pollenstile.ops.timers import cancel_timer

_BAD_REQUEST = 400
_TIMED_OUT = 408
_HEADERS_TOO_LARGE = 431
# Time allowed for receiving a body after its headers: 4 MB at 1 Mbit/s.
_BODY_TIMEOUT_SECONDS = 32.0


class CallerChannel(HTTPChannel):
    """A caller's connection, with limits on sizes and times.

    Attributes
    ==========

    limits : Limits
        Limits that were in force when the latest request began.
    slow_timer : IDelayedCall or None
        Rejects a request that isn't completely received in time.
    rejected : bool
        Whether a request was rejected, so that the connection closes.
    last : Exchange or None
        The request that was answered last.
    """

    requestFactory = Answer

    def connectionMade(self):
        """Set the limits of the connection; called by Twisted."""
        self._renew_limits()
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
            self._renew_limits()
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
        # A request that waits behind the answer is parsed now.
        self._renew_limits()
        self._savedTimeOut = self.timeOut
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

    def _renew_limits(self):
        """Hold the next request to the limits that are in force now."""
        self.limits = self.factory.limits()
        self.totalHeadersSize = self.limits.header_bytes
        self.timeOut = self.limits.idle_seconds

    def _close_with(self, status):
        self.rejected = True
        self._stop_slow_timer()
        head = (
            b'HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
        )
        self.transport.write(head % (status, PHRASES[status]))
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
