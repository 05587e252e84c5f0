"""A caller's request on its connection, and the answer to it."""

from io import BytesIO

from twisted.web.http import Request

from pollenstile.ops.unsent import set_reset_at_exit

_BODY_TOO_LARGE = 413
# Reason phrases of the statuses with which a host itself answers.
PHRASES = {
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


class Answer(Request):
    """A caller's request on its connection, and the answer to it.

    Attributes
    ==========

    begun : bool
        Whether the head of an answer was set.
    gone : bool
        Whether the caller has closed its connection.
    ended : bool
        Whether nothing more can be written: the answer is complete, or the
        connection is over.
    refused : bool
        Whether the request was rejected before it was completely received.
    received_bytes : int
        Number of received bytes of the body.
    work : Deferred or None
        Serves the request; None until it was accepted.
    exchange : Exchange or None
        The accepted request.
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
        if self._ends_with_connection():
            set_reset_at_exit(self.channel.transport, is_on=True)

    def write(self, data):
        """Write a chunk of the body."""
        # An empty chunk sends the head of an answer without a body.
        if not self.ended and (data or not self.startedWriting):
            super().write(data)

    def finish(self):
        """End a complete answer."""
        if self.ended:
            return
        if self.begun and self._ends_with_connection():
            set_reset_at_exit(self.channel.transport, is_on=False)
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
        self.setResponseCode(refusal.status, PHRASES[refusal.status])
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

    def _ends_with_connection(self):
        """Return whether the caller knows the end of the answer by a close."""
        has_length = self.responseHeaders.hasHeader(b'content-length')
        return self.clientproto == b'HTTP/1.0' and not has_length

    def _announce_close(self):
        if self.channel.factory.leaving:
            self.responseHeaders.setRawHeaders(b'connection', [b'close'])

    def _reject(self, status):
        self.refused = True
        self.ended = True
        self.channel.reject(status)
