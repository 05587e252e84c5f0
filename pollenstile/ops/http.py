"""HTTP plumbing that all faces and stand-ins share."""

from io import BytesIO

import msgspec
from twisted.web.server import NOT_DONE_YET, Request, Site

from pollenstile.ops.channels import Channels, CountedChannel

_JSON = b'application/json'
_PROBLEM = b'application/problem+json'
_TOO_LARGE = 413


class BoundedRequest(Request):
    """A request whose body is kept in memory and bounded.

    Explanation
    ===========

    The library keeps large bodies in files; hosts have no disks. A body that
    states or reaches more than ``site.max_body_bytes`` bytes is refused with 413
    and its connection closed, before it is read whole.
    """

    def gotLength(self, length):
        """Prepare for a body of a stated length; called by twisted."""
        self.too_large = False
        self.received = 0
        self.content = BytesIO()
        if length is not None and length > self.channel.site.max_body_bytes:
            self._refuse()

    def handleContentChunk(self, data):
        """Keep a part of the body; called by twisted."""
        self.received += len(data)
        if self.received > self.channel.site.max_body_bytes:
            self._refuse()
            return
        self.content.write(data)

    def requestReceived(self, command, path, version):
        """Handle a request that is whole; called by twisted."""
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
    """Return a Site that bounds bodies, and takes its clock as an argument.

    Explanation
    ===========

    Its ``channels`` are a :class:`~pollenstile.ops.channels.Channels`.

    Parameters
    ==========

    resource : twisted.web.resource.Resource
        Serves all requests.
    reactor : IReactorTime
        For idle connections' timeouts.
    most_body : int
        Largest body, in bytes.
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
    """Return a site that writes no access log."""
    site.log = _log_nothing
    return site


def _log_nothing(request):
    """Write no access log: events take its place."""


def problem_body(status, title, outcome, **members):
    """Return a problem document (RFC 9457)."""
    document = {'status': status, 'title': title, 'outcome': outcome}
    document.update(members)
    return msgspec.json.encode(document)


def answer_json(request, document, status=200):
    """Answer with a JSON document and finish."""
    body = msgspec.json.encode(document)
    request.setResponseCode(status)
    request.setHeader(b'content-type', _JSON)
    request.setHeader(b'content-length', str(len(body)).encode())
    request.write(body)
    request.finish()
    return NOT_DONE_YET


def answer_problem(http, status, title, outcome, **members):
    """Answer with a problem document and finish.

    Parameters
    ==========

    members : dict
        Further members; ``retry_after`` in seconds becomes a header as well.
    """
    body = problem_body(status, title, outcome, **members)
    http.setResponseCode(status)
    http.setHeader(b'content-type', _PROBLEM)
    http.setHeader(b'x-outcome', outcome.encode())
    http.setHeader(b'content-length', str(len(body)).encode())
    wait = members.get('retry_after')
    if wait:
        http.setHeader(b'retry-after', str(max(1, round(wait))).encode())
    http.write(body)
    http.finish()
    return NOT_DONE_YET


def abort(request):
    """Close a request's connection at once, in mid-answer.

    Explanation
    ===========

    A stream that can't be finished must not look whole. Its caller sees the
    connection break before the last chunk of the body.
    """
    request.channel.forceAbortClient()
