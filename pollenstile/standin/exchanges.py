"""Stand-ins for both sides of a request: an upstream's call, its caller."""

from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers


class Head:
    """The head of an upstream's answer.

    Parameters
    ==========

    code : int
        Status.
    headers : dict
        Lists of values by name.
    """

    def __init__(self, code, headers):
        self.code = code
        self.phrase = b'phrase'
        self.headers = Headers(headers)


class StubCall:
    """One send of a host, which whoever plays the upstream answers.

    Attributes
    ==========

    head : Deferred
        Of a :class:`Head`, or of what comes in its place.
    sent : bool
        Whether the request was handed to the upstream.
    cancelled : bool
        Whether the host has closed the connection.
    on_data, on_end : function or None
        Take the body; None until the host asks for it.
    """

    def __init__(self, address, headers):
        self.address = address
        self.headers = dict(headers)
        self.head = Deferred(lambda _: self.cancel())
        self.sent = False
        self.cancelled = False
        self.on_data = None
        self.on_end = None

    def cancel(self):
        """Note that the connection was closed."""
        self.cancelled = True

    def deliver(self, response, on_data, on_end):
        """Keep the functions that take the body; return no producer."""
        self.on_data = on_data
        self.on_end = on_end


class RecordedAnswer:
    """A caller's side: what reached it.

    Attributes
    ==========

    end : str
        ``'whole'``, ``'broken'`` or ``'refused'``; empty before its end.
    """

    def __init__(self):
        self.begun = False
        self.gone = False
        self.status = 0
        self.content = b''
        self.headers = []
        self.end = ''
        self.refusal = None

    def begin(self, status, phrase, headers):
        """Take the head."""
        self.begun = True
        self.status = status
        self.headers = headers

    def write(self, data):
        """Take a part of the body."""
        self.content += data

    def finish(self):
        """Note a whole answer."""
        self.end = 'whole'

    def abort(self):
        """Note a broken connection."""
        self.end = 'broken'

    def refuse(self, refusal):
        """Take an answer of the system's own."""
        self.begun = True
        self.refusal = refusal
        self.status = refusal.status
        self.end = 'refused'

    def produce(self, producer):
        """Take the producer."""

    def unproduce(self):
        """Forget the producer."""
