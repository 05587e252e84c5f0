"""A body of a call, from bytes."""

from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesProducer:
    """Writes bytes as the body of a request."""

    __slots__ = ('body', 'length')

    def __init__(self, body):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer):
        """Write it all; return a fired Deferred."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self):
        """Do nothing; all is written at once."""

    def resumeProducing(self):
        """Do nothing; all is written at once."""

    def stopProducing(self):
        """Do nothing; all is written at once."""
