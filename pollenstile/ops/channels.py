"""Open caller connections, closed gracefully after their last answer."""

from twisted.internet.defer import Deferred, succeed
from twisted.web.http import HTTPChannel

from pollenstile.ops.timers import cancel_timer

# Seconds in which a request has to arrive, head and body: 256 kB at 64 kbit/s.
_ARRIVAL_SECONDS = 32.0
_TOO_SLOW = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class Channels:
    """Tracks the open connections of one site.

    Attributes
    ==========

    open : set of CountedChannel
        Open connections.
    closing : bool
        Whether each connection closes after its current answer.
    waiters : list of Deferred
        Fire when no connection is open.
    """

    __slots__ = ('closing', 'open', 'waiters')

    def __init__(self):
        self.open = set()
        self.closing = False
        self.waiters = []

    def connection_closed(self, channel):
        """Remove a closed connection; fire the waiters after the last one."""
        self.open.discard(channel)
        if self.open:
            return
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def close_gracefully(self):
        """Close connections gracefully; return a Deferred that fires when done.

        Explanation
        ===========

        An entry host counts a request as ended when its answer is in the
        connection's write buffer; a slow caller has not received it by then.
        If the process exited at that moment, bytes that were not yet written
        to the kernel would be lost. A connection with a request is therefore
        closed only after its last byte is written; an idle connection is
        closed at once.
        """
        self.closing = True
        for channel in list(self.open):
            if channel.requests:
                channel.persistent = False
                continue
            channel.loseConnection()
        if not self.open:
            return succeed(None)
        waiter = Deferred()
        self.waiters.append(waiter)
        return waiter

    def abort(self):
        """Close all connections at once and return their number.

        Explanation
        ===========

        Their :attr:`CountedChannel.request` tells what they were about.
        """
        channels = list(self.open)
        for channel in channels:
            channel.forceAbortClient()
        return len(channels)


class CountedChannel(HTTPChannel):
    """An HTTP connection registered with its site's :class:`Channels`.

    Attributes
    ==========

    request : str
        Identifier of its last request; empty if that has none.
    """

    request = ''

    def connectionMade(self):
        """Register the new connection; called by twisted."""
        self.factory.channels.open.add(self)
        self.arrival_timer = None
        super().connectionMade()

    def dataReceived(self, data):
        """Parse bytes, in the time of a request; called by twisted."""
        if self.arrival_timer is None and not self._handlingRequest:
            self.arrival_timer = self.callLater(
                _ARRIVAL_SECONDS, self._on_too_slow
            )
        super().dataReceived(data)

    def allContentReceived(self):
        """Handle a complete request; called by twisted."""
        self._stop_arrival_timer()
        super().allContentReceived()

    def connectionLost(self, reason):
        """Remove the closed connection; called by twisted."""
        self._stop_arrival_timer()
        super().connectionLost(reason)
        self.factory.channels.connection_closed(self)

    def checkPersistence(self, request, version):
        """Return whether to keep the connection open; called by twisted.

        Explanation
        ===========

        While the host shuts down, an answer on a persistent connection
        carries ``Connection: close``, so that the caller does not send a
        request into a connection that is being closed.
        """
        if self.factory.channels.closing:
            request.responseHeaders.setRawHeaders(b'connection', [b'close'])
            return False
        return super().checkPersistence(request, version)

    def _stop_arrival_timer(self):
        cancel_timer(self.arrival_timer)
        self.arrival_timer = None

    def _on_too_slow(self):
        # Bytes alone keep a connection from being idle.
        self.arrival_timer = None
        if self.transport.disconnecting:
            # The request was refused, and the caller doesn't read that.
            self.forceAbortClient()
            return
        self.transport.write(_TOO_SLOW)
        self.loseConnection()
