"""Builders of answers that an upstream ends or breaks off at any byte."""

from random import Random

from twisted.internet import reactor

from features.builders.forwardhost import ForwardHost, request
from features.builders.framing import LAST_CHUNK, split_answer
from features.builders.loop import result_of, run_reactor_until
from features.builders.stagework import group, pieces_of
from pollenstile.fleet import http_load_reader
from pollenstile.forward import HeaderNames, HttpClient, PlainCodec, Upstream
from pollenstile.forward._stagecalls import StageCalls
from pollenstile.permission import build_permissions
from pollenstile.stagework import Worker

LINE_ENDS = {'LF': b'\n', 'CRLF': b'\r\n', 'CR': b'\r'}
_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Proof: p\r\n'
# Far above the duration of a call on loopback.
_CALL_SECONDS = 30.0


def stream_event(number, line_end):
    """Return one event of a stream, with a comment before its fields."""
    lines = (b': %d' % number, b'id: %d' % number, b'data: {}', b'', b'')
    return line_end.join(lines)


def framed(body, framing):
    """Return a complete answer of some framing with a body."""
    if framing == 'chunks':
        chunk = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
        framing_header = b'Transfer-Encoding: chunked\r\n\r\n'
        return b''.join((_HEAD, framing_header, chunk, LAST_CHUNK))
    if framing == 'a length':
        return _HEAD + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    return b'%s\r\n%s' % (_HEAD, body)


def closing_host(upstreams=1):
    """Return a host whose upstream closes its connection after each answer."""
    host = ForwardHost(upstreams=upstreams)
    host.closes = True
    return host


def answer_through(host, route, upstream_answer, extra=b''):
    """Return the body that a caller gets, and whether it was ended as whole.

    Parameters
    ==========

    host : ForwardHost
        Forwards the request.
    route : str
        Name of the request's route.
    upstream_answer : bytes
        Bytes that the upstream sends before it ends the connection.
    extra : bytes
        Further header lines of the request.
    """
    host.reply = upstream_answer
    lines = b'Connection: close\r\n%s' % extra
    sent = request(b'/%s/x' % route.encode(), lines)
    connection = host.send(sent)
    run_reactor_until(lambda: connection.closed)
    return _read_body(connection.received)


def stage_call_through(host, upstream_answer, count=2):
    """Return the outcome of a stage call of pieces to a host's upstream."""
    host.reply = upstream_answer
    calls = stage_calls(reactor, host.factory.core.permissions)
    worker = Worker('i1', host.upstream_address, 'd')
    return result_of(
        calls.call(worker, pieces_of(group('a', count)), _CALL_SECONDS)
    )


def stage_calls(clock, permissions=None):
    """Return what sends stage calls, without an owner of the pieces."""
    return StageCalls(
        clock,
        HttpClient(reactor),
        PlainCodec(),
        HeaderNames(),
        permissions or build_permissions(clock, Random(1)),
    )


def load_poll(address):
    """Return a Deferred of the load that an upstream reports."""
    upstream = Upstream('i1', 'desk', address, 'd')
    return http_load_reader(reactor)('i1', upstream)


def _read_body(received):
    """Return the body of a success, and whether it is complete."""
    head, body, is_complete = split_answer(received)
    if not head.startswith(b'HTTP/1.1 200'):
        return None, False
    return body, is_complete
