"""HTTP server utilities shared by all frontends and stand-ins."""

import msgspec
from twisted.web.server import NOT_DONE_YET, Request, Site

from pollenstile.ops.channels import Channels, CountedChannel
from pollenstile.ops.problems import problem_body
from pollenstile.ops.requestbody import BoundedBody

_JSON = b'application/json'
_PROBLEM = b'application/problem+json'


class BoundedRequest(BoundedBody, Request):
    """A request whose body is held in memory and limited in size."""


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
