"""Calls to upstreams over HTTP, with the client of twisted.web."""

from functools import partial

from twisted.internet import error
from twisted.internet.defer import CancelledError
from twisted.web.http_headers import Headers

from pollenstile.ops.agents import agent_for
from pollenstile.ops.answers import MalformedAnswerError, reading_error
from pollenstile.ops.body import BytesProducer
from pollenstile.statements import parse_rest, read_statements
from pollenstile.upstream import wire
from pollenstile.upstream._bodies import ReplyBody, StreamBody
from pollenstile.upstream._pools import ConnectionPools
from pollenstile.upstream._types import Lost, NotRun, Rejected

_OK = 200
_BUSY = (429, 503)
_CLIENT_ERRORS = range(400, 500)
_NEVER_CONNECTED = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.TimeoutError,
)


class _Exchange:
    """HTTP exchange of one call, from its start to its end or cancellation."""

    __slots__ = ('body', 'cancelled', 'response', 'sink', 'text')

    def __init__(self, sink, text):
        self.sink = sink
        self.text = text
        self.body = None
        self.cancelled = False
        self.response = None

    def cancel(self):
        """Cancel the call and close its connection.

        Explanation
        ===========

        The connection of a cancelled call may still deliver the answer to
        that call. It is closed and not returned to the pool, so that no later
        call can read that answer.
        """
        self.cancelled = True
        if self.body is not None:
            self.body.abort()
            return
        if self.response is not None:
            self.response.cancel()

    def emit(self, event):
        """Pass an event to the sink, unless the call was cancelled."""
        if not self.cancelled:
            self.sink(event)

    def handle_headers(self, response, kind, note_statements):
        """Read the body of a success, or report the error status."""
        is_success = response.code == _OK
        stated = read_statements(
            response, wire.STATEMENT_HEADERS, is_proof=is_success
        )
        note_statements(stated)
        if not is_success:
            self.emit(_classify_error(response, stated))
            self._discard(response)
            return
        if kind == 'engine':
            self.body = StreamBody(self.emit, self.text)
        else:
            self.body = ReplyBody(self.emit)
        response.deliverBody(self.body)
        if self.cancelled:
            self.body.abort()

    def handle_failure(self, failure):
        """Report a failed call as not run if it never connected, else lost."""
        if failure.check(CancelledError) and self.cancelled:
            return
        if failure.check(*_NEVER_CONNECTED):
            self.emit(NotRun('no connection'))
            return
        self.emit(Lost(_reason(failure)))

    def _discard(self, response):
        self.body = ReplyBody(_drop_event)
        response.deliverBody(self.body)
        self.body.abort()


def _reason(failure):
    """Return why a call was lost that may have been sent."""
    error = reading_error(failure)
    if error is None:
        return failure.type.__name__
    if isinstance(error, MalformedAnswerError):
        return str(error)
    return 'head too long'


def _drop_event(event):
    """Ignore the event of a discarded body."""


def _classify_error(response, stated):
    outcome = response.headers.getRawHeaders(wire.OUTCOME_HEADER, [''])[0]
    attempt = response.headers.getRawHeaders(wire.ATTEMPT_HEADER, [''])[0]
    if response.code in _BUSY and outcome == wire.NOT_RUN:
        return NotRun(
            f'busy ({response.code})',
            parse_rest(stated.rests, stated.date) or 0.0,
            attempt=attempt,
        )
    if response.code in _CLIENT_ERRORS and response.code not in _BUSY:
        return Rejected(f'rejected ({response.code})', attempt)
    return Lost(f'status {response.code}')


def _headers(call):
    headers = Headers(
        {
            'content-type': ['application/json'],
            wire.ATTEMPT_HEADER: [call.attempt],
            wire.DEADLINE_HEADER: [str(call.timeout_ms)],
        }
    )
    if call.key:
        headers.addRawHeader(wire.KEY_HEADER, call.key)
    return headers


def _request_document(call):
    if call.kind == 'engine':
        return wire.CompletionCall(
            model=call.model,
            prompt=call.content,
            max_tokens=call.max_tokens,
            priority=call.urgency,
            resume_offset=call.offset,
            resume_text=call.text,
        )
    return wire.PlainCall(call.attempt, call.step, call.content, call.team)


def _path(call):
    return wire.COMPLETIONS_PATH if call.kind == 'engine' else wire.CALL_PATH


def _ignore_answer(name, statements):
    """Ignore statements; the default of a transport without permissions."""


def http_transport(
    reactor, connect_timeout=1.0, pools=None, note_answer=_ignore_answer
):
    """Return a transport that makes calls over HTTP.

    Explanation
    ===========

    Idempotent calls use pooled connections, unless they need a new one. Each
    non-idempotent call opens a new connection: a pooled one may have failed
    silently, while a completed TCP handshake proves that the path works. The
    automatic retry of the client is disabled because it would repeat calls
    without a decision of the pipeline.

    Parameters
    ==========

    reactor : IReactorTCP
        Opens the connections.
    connect_timeout : float
        Connection timeout in seconds.
    pools : ConnectionPools or None
        Pooled connections; None creates pools of the transport alone.
    note_answer : function
        Called with the name of an upstream that answered, and the
        :class:`~pollenstile.statements.Statements` of its answer.

    Returns
    =======

    function
        ``start(name, upstream, call, sink)``; see :mod:`pollenstile.upstream`.
    """
    pools = pools or ConnectionPools(reactor, connect_timeout)
    unpooled = agent_for(reactor, connect_timeout=connect_timeout)

    def start(name, upstream, call, sink):
        exchange = _Exchange(sink, call.text)
        is_pooled = call.idempotent and not call.fresh
        agent = pools.agent(upstream) if is_pooled else unpooled
        uri = f'http://{upstream.address}{_path(call)}'
        exchange.response = agent.request(
            b'POST',
            uri.encode(),
            _headers(call),
            BytesProducer(wire.encode_json(_request_document(call))),
        )
        exchange.response.addCallback(
            exchange.handle_headers, call.kind, partial(note_answer, name)
        )
        exchange.response.addErrback(exchange.handle_failure)
        return exchange.cancel

    return start
