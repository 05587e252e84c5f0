"""HTTP client connections on which the heads of answers are bounded."""

from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import ResponseFailed

from pollenstile.ops.documents import TooLongError

# Bytes of the longest head of an answer, with the interim heads before it: four
# times the head that callers may send by default, of which an upstream repeats
# some.
MAX_HEAD_BYTES = 65536
# States of the library's parser before the end of a head.
_HEAD_STATES = ('STATUS', 'HEADER')


def _ignore_idle(connection):
    """Ignore a connection on which an answer has ended."""


class AnswerConnection(HTTP11ClientProtocol):
    """Ends an answer whose head is too long with :class:`TooLongError`.

    Parameters
    ==========

    on_idle : function
        Called with the connection when a further request may be sent on it.

    Attributes
    ==========

    head_bytes : int
        Bytes received of the head of the current answer.
    """

    def __init__(self, on_idle=_ignore_idle):
        super().__init__(on_idle)
        self.head_bytes = 0

    def request(self, request):
        """Send a request; called by Twisted."""
        self.head_bytes = 0
        answer = super().request(request)
        if self._transportProxy is not None:
            # Readers of bodies get this proxy, which can't abort by itself.
            self._transportProxy.abortConnection = (
                self.transport.abortConnection
            )
        return answer

    def dataReceived(self, data):
        """Parse received bytes; called by Twisted."""
        super().dataReceived(data)
        if self._parser is None or self._parser.state not in _HEAD_STATES:
            return
        # The parser bounds one line, but neither their number nor that of the
        # interim heads.
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.transport.abortConnection()
            self._disconnectParser(
                Failure(TooLongError(f'a head over {MAX_HEAD_BYTES} bytes'))
            )


def is_too_long(failure):
    """Return whether a request has failed since its answer is too long."""
    if failure.check(ResponseFailed):
        return any(
            reason.check(TooLongError) for reason in failure.value.reasons
        )
    return failure.check(TooLongError) is not None
