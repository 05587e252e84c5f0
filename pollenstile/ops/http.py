"""HTTP server utilities shared by all frontends and stand-ins."""

from io import BytesIO

import msgspec
from twisted.web.server import NOT_DONE_YET, Request, Site

from pollenstile.ops.channels import Channels, CountedChannel

_JSON = b'application/json'
_PROBLEM = b'application/problem+json'
_TOO_LARGE = 413


class BoundedRequest(Request):
    """A request whose body is held in memory and limited in size.

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


def site_for(resource, reactor, max_body_bytes=262144, timeout=60):
    """Return a Site that limits request bodies and uses a given clock.

    Explanation
    ===========

    Its ``channels`` attribute is a
    :class:`~pollenstile.ops.channels.Channels`.

    Parameters
    ==========

    resource : twisted.web.resource.Resource
        Handles all requests.
    reactor : IReactorTime
        Clock for timeouts of idle connections.
    max_body_bytes : int
        Maximum body size in bytes.
    timeout : float
        Seconds after which an idle connection is closed.
    """
    site = Site(
        resource,
        requestFactory=BoundedRequest,
        timeout=timeout,
        reactor=reactor,
    )
    site.protocol = CountedChannel
    site.channels = Channels()
    site.max_body_bytes = max_body_bytes
    site.displayTracebacks = False
    return disable_access_log(site)


def disable_access_log(site):
    """Disable the access log of a site and return it."""
    site.log = _log_nothing
    return site


def _log_nothing(request):
    """Write no access log; log events replace it."""


def problem_body(status, title, outcome, **members):
    """Return a problem document (RFC 9457)."""
    document = {'status': status, 'title': title, 'outcome': outcome}
    document.update(members)
    return msgspec.json.encode(document)


def answer_json(request, document, status=200):
    """Send a JSON document and finish the request."""
    body = msgspec.json.encode(document)
    request.setResponseCode(status)
    request.setHeader(b'content-type', _JSON)
    request.setHeader(b'content-length', str(len(body)).encode())
    request.write(body)
    request.finish()
    return NOT_DONE_YET


def answer_problem(http, status, title, outcome, **members):
    """Send a problem document and finish the request.

    Parameters
    ==========

    members : dict
        Additional members; ``retry_after`` in seconds is also sent as a
        header.
    """
    body = problem_body(status, title, outcome, **members)
    http.setResponseCode(status)
    http.setHeader(b'content-type', _PROBLEM)
    http.setHeader(b'x-outcome', outcome.encode())
    http.setHeader(b'content-length', str(len(body)).encode())
    retry_after = members.get('retry_after')
    if retry_after:
        http.setHeader(b'retry-after', str(max(1, round(retry_after))).encode())
    http.write(body)
    http.finish()
    return NOT_DONE_YET


def abort(request):
    """Close a request's connection at once, in the middle of its answer.

    Explanation
    ===========

    A stream that cannot be completed must not look complete. Its caller sees
    the connection close before the last chunk of the body.
    """
    request.channel.forceAbortClient()
