"""Connections of callers, and closing them without cutting an answer off."""

from twisted.internet.defer import Deferred, succeed
from twisted.web.http import HTTPChannel


class Channels:
    """Open connections of one site.

    Attributes
    ==========

    open : set of CountedChannel
        Connections that are open.
    closing : bool
        Whether each connection closes after the answer it is at.
    waiters : list of Deferred
        Fire when none is open.
    """

    __slots__ = ('closing', 'open', 'waiters')

    def __init__(self):
        self.open = set()
        self.closing = False
        self.waiters = []

    def ended(self, channel):
        """Note that a connection is closed."""
        self.open.discard(channel)
        if self.open:
            return
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def close_gracefully(self):
        """Return a Deferred that fires when all connections are closed.

        Explanation
        ===========

        A request has ended for the entry host when its answer was handed to
        the connection; a slow caller has not received it by then. If the
        process ended at that moment, the kernel would drop what it had not
        been given. Such a connection is closed only after the last byte is
        written; an idle one at once.
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
        """Close all connections at once; return how many there were."""
        channels = list(self.open)
        for channel in channels:
            channel.forceAbortClient()
        return len(channels)


class CountedChannel(HTTPChannel):
    """An HTTP connection that its site's :class:`Channels` knows of."""

    def connectionMade(self):
        """Begin; called by twisted."""
        self.factory.channels.open.add(self)
        super().connectionMade()

    def connectionLost(self, reason):
        """End; called by twisted."""
        super().connectionLost(reason)
        self.factory.channels.ended(self)

    def checkPersistence(self, request, version):
        """Return whether to keep the connection; called by twisted.

        Explanation
        ===========

        Callers that keep a connection to a leaving host are told to close it
        with their next answer, so that none sends a request into a connection
        that is being closed.
        """
        if self.factory.channels.closing:
            request.responseHeaders.setRawHeaders(b'connection', [b'close'])
            return False
        return super().checkPersistence(request, version)
