"""Builders of upstreams that send malformed answers, and of their callers."""

from dataclasses import dataclass

from features.builders.bodyends import closing_host
from features.builders.forwardhost import request
from features.builders.framing import split_answer
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
    head, body, is_complete = split_answer(connection.received)
    status = int(head.split(b' ', 2)[1]) if head else 0
    whole = body if is_complete else None
    return Received(status, head, whole, len(host.seen))


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
