"""Bodies of received requests, held in memory up to a size."""

from io import BytesIO

from pollenstile.ops.problems import problem_body

_TOO_LARGE = 413


class BoundedBody:
    """Mixin of requests whose body is held in memory and limited in size.

    Explanation
    ===========

    The library stores large bodies in files, but hosts have no disks. A body
    whose stated or received length exceeds ``site.max_body_bytes`` bytes is
    rejected with 413 and its connection closed, before it is read
    completely.
    """

    def gotLength(self, length):
        """Prepare for a body with an optional length; called by twisted."""
        self.too_large = False
        self.received = 0
        self.content = BytesIO()
        if length is not None and length > self.channel.site.max_body_bytes:
            self._refuse()

    def handleContentChunk(self, data):
        """Append a part of the body; called by twisted."""
        self.received += len(data)
        if self.received > self.channel.site.max_body_bytes:
            self._refuse()
            return
        self.content.write(data)

    def requestReceived(self, command, path, version):
        """Handle a complete request; called by twisted."""
        if self.too_large:
            return
        super().requestReceived(command, path, version)

    def _refuse(self):
        if self.too_large:
            return
        self.too_large = True
        transport = self.channel.transport
        body = problem_body(_TOO_LARGE, 'the body is too large', 'not-run')
        head = (
            b'HTTP/1.1 413 Request Entity Too Large\r\n'
            b'Connection: close\r\n'
            b'Content-Type: application/problem+json\r\n'
            b'Content-Length: %d\r\n\r\n'
        )
        transport.write(head % len(body) + body)
        transport.loseConnection()
