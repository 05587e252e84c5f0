"""Builders of all that reads answers over HTTP, and of servers that answer."""

from dataclasses import dataclass

import msgspec
from twisted.internet import reactor
from twisted.internet.protocol import Protocol
from twisted.web._newclient import Response

from features.builders.bodyends import load_poll, stage_calls
from features.builders.loop import collect_result, result_of, run_reactor_until
from features.builders.platform import http_client, http_store
from features.builders.requests_http import Caller, find_header, serving
from features.builders.stagework import group, pieces_of
from features.builders.tunnels import TunnelStory
from pollenstile.forward import HttpClient, PlainCodec, UpstreamView
from pollenstile.forward._processes import Process, Processes
from pollenstile.ops.client import pipeline_client
from pollenstile.origins import SoftwareHistory, VersionDoubts
from pollenstile.platform import (
    Change,
    Changes,
    Found,
    HostEntry,
    HostList,
    Listing,
    Ticket,
    Written,
    read_host_list,
    request_ticket,
)
from pollenstile.stagework import Worker
from pollenstile.upstream import Load, Reply, wire

# Far above the duration of a call on loopback.
_CALL_SECONDS = 30.0
# Time in which a part of an answer is received.
_RESET_SECONDS = 0.01
_BORN = 7
_FOUND = Found('config', 'm', 4, [1])


class _AnsweringProtocol(Protocol):
    """Answers each complete request with what its server has set."""

    def connectionMade(self):
        """Wait for a request; called by Twisted."""
        self.received = b''
        self.factory.server.open += 1

    def dataReceived(self, data):
        """Answer a request once it is complete; called by Twisted."""
        self.received += data
        head, found, body = self.received.partition(b'\r\n\r\n')
        if not found:
            return
        stated = find_header(head.decode(), 'content-length')
        if len(body) < int(stated or 0):
            return
        self.received = b''
        self.factory.server.answer(self.transport, head.decode())

    def connectionLost(self, reason):
        """Count the closed connection; called by Twisted."""
        self.factory.server.open -= 1


class AnsweringServer:
    """A server on loopback that keeps its connections open.

    Attributes
    ==========

    line : bytes
        Status line of its answers.
    lines : tuple of bytes
        Further lines of their heads.
    first_lines : list of bytes
        Status lines of the first answers, which have no further lines.
    body_for : function
        Takes the head of a request; returns the body of the answer.
    part : float
        Share of the body that is sent without its length, before the
        connection is reset; 0 to send all of it.
    open : int
        Open connections.
    """

    def __init__(self):
        self.line = b''
        self.lines = ()
        self.first_lines = []
        self.body_for = None
        self.part = 0.0
        self.open = 0
        self.port = serving(_AnsweringProtocol, self)

    @property
    def address(self):
        """Address of the server, ``IP:PORT``."""
        return f'127.0.0.1:{self.port.getHost().port}'

    def answer(self, transport, request_head):
        """Write an answer."""
        body = self.body_for(request_head)
        length = b'Content-Length: %d' % len(body)
        lines = (self.line, *self.lines)
        if self.first_lines:
            lines = (self.first_lines.pop(0),)
        if self.part:
            sent = body[: int(len(body) * self.part)]
            transport.write(b'%s\r\n\r\n%s' % (self.line, sent))
            reactor.callLater(_RESET_SECONDS, transport.abortConnection)
            return
        head = b'\r\n'.join((*lines, length))
        transport.write(b'%s\r\n\r\n%s' % (head, body))

    def stop(self):
        """Stop listening."""
        result_of(self.port.stopListening())


class _StallingProtocol(Protocol):
    """Answers at the first bytes of a request, and reads nothing more."""

    def dataReceived(self, data):
        """Answer the first bytes; called by Twisted."""
        server = self.factory.server
        if not server.received_bytes:
            server.transport = self.transport
            self.transport.write(server.reply)
            self.transport.pauseProducing()
        server.received_bytes += len(data)

    def connectionLost(self, reason):
        """Note the end of the connection; called by Twisted."""
        self.factory.server.is_closed = True


class StallingServer:
    """A server on loopback that answers a request before it has read it.

    Attributes
    ==========

    reply : bytes
        Its answer.
    received_bytes : int
        Bytes of the request that it has read.
    transport : ITransport or None
        The connection, once there is one.
    is_closed : bool
        Whether the connection has ended.
    """

    def __init__(self, reply):
        self.reply = reply
        self.received_bytes = 0
        self.transport = None
        self.is_closed = False
        self.port = serving(_StallingProtocol, self)

    def stop(self):
        """Stop listening."""
        result_of(self.port.stopListening())


@dataclass(slots=True, frozen=True)
class Reader:
    """A part that sends requests and reads the answers.

    Parameters
    ==========

    read : function
        Takes a server; returns the outcome of one request to it.
    body_for : function
        Takes the head of a request; returns the body of a proper answer.
    is_taken : function
        Takes an outcome; returns whether the answer was taken.
    """

    read: object
    body_for: object
    is_taken: object

    def outcome_of(self, server, line, lines):
        """Return the outcome of a request that is answered with a head.

        Parameters
        ==========

        line : bytes
            Status line of the answer.
        lines : tuple of bytes
            Further lines of its head.
        """
        server.line = line
        server.lines = lines
        server.body_for = self.body_for
        return self.read(server)


def _is_a(kind):
    return lambda outcome: isinstance(outcome, kind)


def _always(document):
    body = msgspec.json.encode(document)
    return lambda head: body


def _attempt_of(head):
    return find_header(head, wire.ATTEMPT_HEADER)


def _reply_body(head):
    return wire.encode_json(wire.PlainReply(_attempt_of(head), {'a': 1}))


def _stream_body(head):
    attempt = _attempt_of(head)
    events = (
        wire.CompletionEvent(attempt, [wire.Choice('w')], 0),
        wire.CompletionEvent(attempt, [], 1, wire.Usage(1)),
    )
    encoded = (*map(wire.encode_json, events), wire.DONE)
    return b''.join(b'data: %s\n\n' % event for event in encoded)


def _outcome_of(work):
    outcomes = collect_result(work)
    run_reactor_until(lambda: outcomes)
    return outcomes[0]


def _stage_call(server):
    worker = Worker('i1', server.address, 'd')
    pieces = pieces_of(group('a', 2))
    return _outcome_of(stage_calls(reactor).call(worker, pieces, _CALL_SECONDS))


def _release(server):
    return _outcome_of(stage_calls(reactor).release(server.address, ['a/1']))


def _report(server):
    processes = Processes(
        reactor,
        HttpClient(reactor),
        PlainCodec(),
        VersionDoubts(reactor, SoftwareHistory(reactor, lambda: True)),
    )
    view = UpstreamView('u', server.address, 'd', born=_BORN)
    return _outcome_of(processes.ask(view))


def _peers_call(server):
    """Return what a host gets through a peer, as far as its head."""
    story = TunnelStory(server.address)
    call = story.send()
    head = _outcome_of(call.head)
    call.cancel()
    story.stop()
    return head


def _pipeline_call(**options):
    def call(server):
        return Caller(server.port).call_and_wait(**options)[1]

    return call


def _pooled_call(server):
    """Return the outcome of a call on a connection that was used before."""
    caller = Caller(server.port)
    server.first_lines.append(b'HTTP/1.1 200 OK')
    assert isinstance(caller.call_and_wait()[1], Reply)
    connections = server.open
    outcome = caller.call_and_wait()[1]
    assert server.open <= connections, 'the connection was not used again'
    return outcome


def _store_call(call):
    return lambda server: _outcome_of(call(http_store(server.port)))


def _client_call(call):
    return lambda server: _outcome_of(call(http_client(server.port)))


def _callers_request(**options):
    def read(server):
        call = pipeline_client(reactor)
        base = f'http://{server.address}'
        return _outcome_of(call(base, 'find', 'key', 'leak', **options))

    return read


def _callers_stream(head):
    return b'data: {"text":"w"}\n\nevent: done\ndata: {"tokens":1}\n\n'


def _is_answered(answer):
    return answer.status == 200


READERS = {
    'a stage call': Reader(_stage_call, _always(['a/1', 'a/2']), _is_a(list)),
    'a release of results': Reader(
        _release, _always([]), lambda outcome: outcome is True
    ),
    'a request for a report': Reader(
        _report,
        _always({'born': _BORN}),
        lambda outcome: outcome is Process.LISTED,
    ),
    'a request through a peer': Reader(
        _peers_call, _always([]), _is_a(Response)
    ),
    'a load poll': Reader(
        lambda server: _outcome_of(load_poll(server.address)),
        _always(Load()),
        _is_a(Load),
    ),
    'a call of a pipeline': Reader(_pipeline_call(), _reply_body, _is_a(Reply)),
    'a call on a used connection': Reader(
        _pooled_call, _reply_body, _is_a(Reply)
    ),
    'a call that may run once': Reader(
        _pipeline_call(idempotent=False), _reply_body, _is_a(Reply)
    ),
    'a call of an engine': Reader(
        _pipeline_call(kind='engine'), _stream_body, _is_a(Reply)
    ),
    'a read of the store': Reader(
        _store_call(lambda store: store.get('config', 'm')),
        _always(_FOUND),
        _is_a(Found),
    ),
    'a list of the store': Reader(
        _store_call(lambda store: store.listed('config')),
        _always(Listing((_FOUND,), 4)),
        _is_a(Listing),
    ),
    'a watch of the store': Reader(
        _store_call(lambda store: store.watched('config', 1)),
        _always(Changes(4, (Change('config', 'm', 4, [1], 4),))),
        _is_a(Changes),
    ),
    'a write to the store': Reader(
        _store_call(lambda store: store.put('config', 'm', [1])),
        _always(Written(4)),
        _is_a(Written),
    ),
    'a read of the host list': Reader(
        _client_call(read_host_list),
        _always([HostEntry('a', '127.0.0.1:1', 'd', 1, 'live')]),
        _is_a(HostList),
    ),
    'a request for weights': Reader(
        _client_call(lambda client: request_ticket(client, 'm', '1')),
        _always({}),
        _is_a(Ticket),
    ),
    'a request of a caller': Reader(
        _callers_request(), _always({}), _is_answered
    ),
    'a stream of a caller': Reader(
        _callers_request(stream=True), _callers_stream, _is_answered
    ),
}
