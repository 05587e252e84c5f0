"""HTTP server of one page, such as a readiness endpoint.

Explanation
===========

The library's server of resources imports templates, authentication, remote
objects and XML, and serves files and trees of resources. One page needs none of
it.
"""

from twisted.logger import Logger
from twisted.web.http import HTTPFactory, Request

from pollenstile.ops.channels import Channels, CountedChannel
from pollenstile.ops.requestbody import BoundedBody

_LOG = Logger()
_FAILED = 500
# Bytes of the largest request body, which no page reads.
_MAX_BODY_BYTES = 262_144
# Seconds after which an idle connection is closed.
_IDLE_SECONDS = 60


class _PageRequest(BoundedBody, Request):
    """Request that is answered with the page, whatever its path."""

    def process(self):
        """Answer the request; called by twisted."""
        body = self._page()
        self.setHeader(b'content-length', b'%d' % len(body))
        self.write(body)
        self.finish()

    def _page(self):
        try:
            return self.channel.site.page(self)
        except Exception:
            _LOG.failure('a page has failed')
            self.setResponseCode(_FAILED)
            return b''


class PageFactory(HTTPFactory):
    """Factory of connections on which each request gets the same page.

    Parameters
    ==========

    page : function
        Takes the request and returns the body of its answer; it may set the
        status and headers.
    reactor : IReactorTime
        Clock for timeouts of connections.

    Attributes
    ==========

    channels : Channels
        The open connections.
    max_body_bytes : int
        Bytes of the largest body of a request.
    """

    protocol = CountedChannel

    def __init__(self, page, reactor):
        super().__init__(timeout=_IDLE_SECONDS, reactor=reactor)
        self.page = page
        self.channels = Channels()
        self.max_body_bytes = _MAX_BODY_BYTES

    def buildProtocol(self, address):
        """Return the protocol of a connection; called by twisted."""
        channel = super().buildProtocol(address)
        channel.site = self
        channel.requestFactory = _PageRequest
        return channel

    def log(self, request):
        """Write no access log; log events replace it."""
