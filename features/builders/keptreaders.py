"""Builders of readers that send several requests, and of a server that repeats.

Explanation
===========

Each answer holds the number of its request, by which a second answer to one
request shows where it is taken for the answer to another one.
"""

from dataclasses import dataclass

import msgspec
from twisted.internet import reactor

from features.builders.answerreaders import AnsweringServer
from features.builders.bodyends import stage_calls
from features.builders.loop import collect_result, run_reactor_until
from features.builders.platform import http_client, http_store
from features.builders.requests_http import Caller, find_header
from features.builders.stagework import group, pieces_of
from pollenstile.fleet import http_load_reader
from pollenstile.forward import HttpClient, PlainCodec, Upstream, UpstreamView
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
    Written,
    read_host_list,
)
from pollenstile.stagework import Worker
from pollenstile.upstream import Load, Reply, wire

_LINE = b'HTTP/1.1 200 OK'
# Time in which a second answer is received, or a connection closed.
_SETTLE_SECONDS = 0.02
_CALL_SECONDS = 30.0
# When a server sends the second answer to its first request.
MOMENTS = (
    'at once',
    'in part at once',
    'while the connection is idle',
    'before the next answer',
)


class RepeatingServer(AnsweringServer):
    """A server that answers its first request twice.

    Attributes
    ==========

    moment : str
        One of :data:`MOMENTS`.
    document_for : function
        Takes the number of a request and its head; returns the document of the
        answer.
    requests : int
        Number of requests.
    repeated : bytes
        What is still to be sent of a second answer.
    first_transport : ITransport or None
        Connection of the first request.
    is_due : bool
        Whether a second answer is still to come on the idle connection.
    """

    def __init__(self, moment, document_for):
        super().__init__()
        self.moment = moment
        self.document_for = document_for
        self.requests = 0
        self.repeated = b''
        self.first_transport = None
        self.is_due = False

    def answer(self, transport, request_head):
        """Write an answer, and the second one when it is due."""
        self.requests += 1
        body = self.document_for(self.requests, request_head)
        answer = b'%s\r\nContent-Length: %d\r\n\r\n%s' % (
            _LINE,
            len(body),
            body,
        )
        if self.first_transport is None:
            self.first_transport = transport
            self._answer_first(answer)
            return
        if transport is self.first_transport:
            answer = self.repeated + answer
            self.repeated = b''
        transport.write(answer)

    def _answer_first(self, answer):
        write = self.first_transport.write
        at_once = {'at once': len(answer), 'in part at once': len(answer) // 2}
        sent = at_once.get(self.moment, 0)
        write(answer + answer[:sent])
        self.repeated = answer[sent:]
        if self.moment == 'while the connection is idle':
            self.repeated = b''
            self.is_due = True
            reactor.callLater(_SETTLE_SECONDS / 4, self._repeat, answer)

    def _repeat(self, answer):
        self.first_transport.write(answer)
        self.is_due = False


@dataclass(slots=True, frozen=True)
class KeptReader:
    """A part that sends several requests to one server.

    Parameters
    ==========

    build : function
        Takes a server; returns a function that sends the request of a number
        and returns its outcome.
    document_for : function
        Takes the number of a request and its head; returns the document of the
        answer.
    number_of : function
        Takes an outcome; returns the number in the answer that was taken, 0
        without one.
    """

    build: object
    document_for: object
    number_of: object

    def numbers_taken(self, moment, count=3):
        """Return the numbers in the answers that requests in a row get.

        Parameters
        ==========

        moment : str
            One of :data:`MOMENTS`.
        """
        server = RepeatingServer(moment, self.document_for)
        ask = self.build(server)
        numbers = []
        for number in range(1, count + 1):
            numbers.append(self.number_of(ask(number)))
            _settle(server)
        server.stop()
        return numbers


def _settle(server):
    # A process that stalls would run the timers of both at the same moment, and
    # send its next request before it has read what came while it was idle.
    run_reactor_until(lambda: not server.is_due)
    settled = []
    reactor.callLater(_SETTLE_SECONDS, settled.append, True)
    run_reactor_until(lambda: settled)


def _outcome_of(work):
    outcomes = collect_result(work)
    run_reactor_until(lambda: outcomes)
    return outcomes[0]


def _encoding(document_of):
    def document_for(number, head):
        return msgspec.json.encode(document_of(number))

    return document_for


def _taken(kind, number):
    """Return a function of the number in an outcome of some class."""

    def number_of(outcome):
        return number(outcome) if isinstance(outcome, kind) else 0

    return number_of


def _calls(**options):
    def build(server):
        caller = Caller(server.port)
        return lambda number: caller.call_and_wait(**options)

    return build


def _number_of_call(made):
    """Return the number in a reply, 0 if it names another attempt."""
    attempt, event = made
    if not isinstance(event, Reply) or event.attempt != attempt:
        return 0
    return int(event.output)


def _reply(number, head):
    attempt = find_header(head, wire.ATTEMPT_HEADER)
    return wire.encode_json(wire.PlainReply(attempt, number))


def _stream(number, head):
    attempt = find_header(head, wire.ATTEMPT_HEADER)
    events = (
        wire.CompletionEvent(attempt, [wire.Choice(f'{number}')], 0),
        wire.CompletionEvent(attempt, [], 1, wire.Usage(1)),
    )
    encoded = (*map(wire.encode_json, events), wire.DONE)
    return b''.join(b'data: %s\n\n' % event for event in encoded)


def _polls(server):
    read = http_load_reader(reactor)
    upstream = Upstream('i1', 'desk', server.address, 'd')
    return lambda number: _outcome_of(read('i1', upstream))


def _stage_calls(server):
    calls = stage_calls(reactor)
    worker = Worker('i1', server.address, 'd')

    def ask(number):
        pieces = pieces_of(group('a', 1))
        return _outcome_of(calls.call(worker, pieces, _CALL_SECONDS))

    return ask


def _reports(server):
    processes = Processes(
        reactor,
        HttpClient(reactor),
        PlainCodec(),
        VersionDoubts(reactor, SoftwareHistory(reactor, lambda: True)),
    )

    def ask(number):
        view = UpstreamView('u', server.address, 'd', born=number)
        is_listed = _outcome_of(processes.ask(view)) is Process.LISTED
        return number if is_listed else 0

    return ask


def _store_calls(call):
    def build(server):
        store = http_store(server.port)
        return lambda number: _outcome_of(call(store, f'm{number}'))

    return build


def _host_lists(server):
    client = http_client(server.port)
    return lambda number: _outcome_of(read_host_list(client))


def _callers_requests(server):
    call = pipeline_client(reactor)
    base = f'http://{server.address}'
    return lambda number: _outcome_of(call(base, 'find', 'key', 'leak'))


def _found(number):
    return Found('config', f'm{number}', number, [number])


KEPT_READERS = {
    'a stage call': KeptReader(
        _stage_calls,
        _encoding(lambda number: [f'a/{number}']),
        _taken(list, lambda results: int(results[0].handle.rpartition('/')[2])),
    ),
    'a request for a report': KeptReader(
        _reports, _encoding(lambda number: {'born': number}), int
    ),
    'a load poll': KeptReader(
        _polls,
        _encoding(Load),
        _taken(Load, lambda load: load.running),
    ),
    'a call of a pipeline': KeptReader(_calls(), _reply, _number_of_call),
    'a call that may run once': KeptReader(
        _calls(idempotent=False), _reply, _number_of_call
    ),
    'a call of an engine': KeptReader(
        _calls(kind='engine'), _stream, _number_of_call
    ),
    'a read of the store': KeptReader(
        _store_calls(lambda store, name: store.get('config', name)),
        _encoding(_found),
        _taken(Found, lambda found: found.version),
    ),
    'a list of the store': KeptReader(
        _store_calls(lambda store, name: store.listed('config')),
        _encoding(lambda number: Listing((_found(number),), number)),
        _taken(Listing, lambda listing: listing.revision),
    ),
    'a watch of the store': KeptReader(
        _store_calls(lambda store, name: store.watched('config', 1)),
        _encoding(
            lambda number: Changes(
                number, (Change('config', 'm', number, [1], number),)
            )
        ),
        _taken(Changes, lambda changes: changes.revision),
    ),
    'a write to the store': KeptReader(
        _store_calls(lambda store, name: store.put('config', name, [1])),
        _encoding(Written),
        _taken(Written, lambda written: written.version),
    ),
    'a read of the host list': KeptReader(
        _host_lists,
        _encoding(
            lambda number: [HostEntry('a', '127.0.0.1:1', 'd', number, 'live')]
        ),
        _taken(HostList, lambda found: found.hosts[0].incarnation),
    ),
    'a request of a caller': KeptReader(
        _callers_requests,
        _encoding(lambda number: {'number': number}),
        lambda answer: answer.document.get('number', 0),
    ),
}
