"""Fakes of both ends of a request: the upstream call and the caller."""

from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH


class Head:
    """Head of an upstream's answer.

    Parameters
    ==========

    code : int
        Status code.
    headers : dict
        Lists of values by header name.
    length : int or str
        Stated length of the body; a text, as in Twisted, without any.
    """

    def __init__(self, code, headers, length=UNKNOWN_LENGTH):
        self.code = code
        self.length = length
        self.phrase = b'phrase'
        self.headers = Headers(headers)


class StubCall:
    """One upstream call of a host, answered by the test or the simulation.

    Attributes
    ==========

    head : Deferred
        Fires with a :class:`Head`, or with the failure to get one.
    sent : bool
        Whether the request was sent to the upstream.
    cancelled : bool
        Whether the host has closed the connection.
    on_data, on_end : function or None
        Called with the data and the end of the body; None until the host
        requests the body.
    paused : bool
        Whether the host reads nothing for now, as its caller does not.
    check : function or None
        Set by the host; asked when the connection is open. Returns the outcome
        of a request that must not be sent any more, or None.
    framing : str
        Empty, as answers are not framed here.
    """

    framing = ''

    def __init__(self, address, headers):
        self.address = address
        self.headers = dict(headers)
        self.head = Deferred(lambda _: self.cancel())
        self.sent = False
        self.cancelled = False
        self.paused = False
        self.on_data = None
        self.on_end = None
        self.check = None

    def cancel(self):
        """Record that the host closed the connection."""
        self.cancelled = True

    def give_up(self):
        """Record that the host closed the connection."""
        self.cancel()

    def close(self):
        """Do nothing: no connection is open."""

    def deliver(self, response, on_data, on_end):
        """Store the callbacks for the body; return the producer."""
        self.on_data = on_data
        self.on_end = on_end
        return self

    def pauseProducing(self):
        """Record that the host stops reading; called by Twisted."""
        self.paused = True

    def resumeProducing(self):
        """Record that the host reads again; called by Twisted."""
        self.paused = False


class RecordedAnswer:
    """Answer as received by a caller.

    Attributes
    ==========

    end : str
        ``'whole'``, ``'broken'`` or ``'refused'``; empty before the end.
    producer : object or None
        What the caller stops and resumes by its reading.
    """

    def __init__(self):
        self.begun = False
        self.gone = False
        self.status = 0
        self.content = b''
        self.headers = []
        self.end = ''
        self.refusal = None
        self.producer = None

    def begin(self, status, phrase, headers):
        """Record the head."""
        self.begun = True
        self.status = status
        self.headers = headers

    def write(self, data):
        """Append a part of the body."""
        self.content += data

    def finish(self):
        """Record a complete answer."""
        self.end = 'whole'

    def abort(self):
        """Record a broken connection."""
        self.end = 'broken'

    def refuse(self, refusal):
        """Record a refusal by the host itself."""
        self.begun = True
        self.refusal = refusal
        self.status = refusal.status
        self.end = 'refused'

    def produce(self, producer):
        """Record the producer."""
        self.producer = producer

    def unproduce(self):
        """Record the end of production."""
        self.producer = None
