"""Request bodies that are held in memory."""

from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a small body in one piece."""

    __slots__ = ('content', 'length')

    def __init__(self, content):
        self.content = content
        self.length = len(content)

    def startProducing(self, consumer):
        """Write the complete body; called by twisted."""
        consumer.write(self.content)
        return succeed(None)

    def pauseProducing(self):
        """Do nothing: all is written."""

    def resumeProducing(self):
        """Do nothing: all is written."""

    def stopProducing(self):
        """Do nothing: all is written."""
