"""Builders of upstreams that send malformed answers, and of their callers."""

from dataclasses import dataclass

from features.builders.bodyends import closing_host, joined_chunks
from features.builders.forwardhost import request
from features.builders.loop import run_reactor_until

# Routes of the host, by the kind of their requests.
ROUTES = {
    'idempotent': b'lookup',
    'once': b'a',
    'stream': b'stream',
    'resumable': b'resumable',
}


@dataclass(slots=True, frozen=True)
class Received:
    """What a caller got.

    Parameters
    ==========

    status : int
        Status of the answer; 0 without one.
    head : bytes
        All lines of its head.
    body : bytes or None
        Its body; None if it is not complete.
    runs : int
        Number of times that the upstream got the request.
    """

    status: int
    head: bytes
    body: object
    runs: int


def received_through(host, route, method=b'POST', body=b''):
    """Return what a caller gets of the upstream's answer.

    Parameters
    ==========

    host : ForwardHost
        Forwards the request.
    route : bytes
        Name of the request's route.
    method, body : bytes
        Method and body of the request.
    """
    host.seen.clear()
    lines = b'Connection: close\r\n'
    sent = request(b'/%s/x' % route, lines, body=body)
    connection = host.send(sent.replace(b'POST', method, 1))
    run_reactor_until(lambda: connection.closed)
    head, found, rest = connection.received.partition(b'\r\n\r\n')
    status = int(head.split(b' ', 2)[1]) if found else 0
    return Received(status, head, _whole_body(head, rest), len(host.seen))


def received_on_all(forms):
    """Return tuples of form, kind of request and what its caller got."""
    results = []
    for kind, route in ROUTES.items():
        host = closing_host(upstreams=2)
        for form in forms:
            host.reply = form.sent()
            results.append((form, kind, received_through(host, route)))
        host.stop()
    return results


def _whole_body(head, rest):
    """Return a body by the framing that the head states, None if it is cut."""
    if not head:
        return None
    fields = head.lower()
    if b'transfer-encoding: chunked' in fields:
        body, is_complete = joined_chunks(rest)
        return body if is_complete else None
    _, _, after = fields.partition(b'content-length: ')
    length = int(after.partition(b'\r\n')[0] or 0)
    return rest if len(rest) == length else None
