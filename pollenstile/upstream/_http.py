"""Calls over HTTP, by twisted.web's client."""

from twisted.internet import error
from twisted.internet.defer import CancelledError
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers

from pollenstile.ops.agents import agent_for
from pollenstile.ops.body import BytesProducer
from pollenstile.ops.numbers import whole_number
from pollenstile.upstream import wire
from pollenstile.upstream._bodies import StreamBody, WholeBody
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
    """One call's connection, from start to end or cancel."""

    __slots__ = ('body', 'cancelled', 'response', 'sink', 'text')

    def __init__(self, sink, text):
        self.sink = sink
        self.text = text
        self.body = None
        self.cancelled = False
        self.response = None

    def cancel(self):
        """Close the connection of a call that nobody waits for.

        Explanation
        ===========

        A connection whose call was cut may still bring the old answer. It is
        closed, never pooled again, so that no later call can read it.
        """
        self.cancelled = True
        if self.body is not None:
            self.body.abort()
            return
        if self.response is not None:
            self.response.cancel()

    def emit(self, event):
        """Hand an event to the sink, unless the call was cancelled."""
        if not self.cancelled:
            self.sink(event)

    def headers_came(self, response, kind):
        """Read the body, or the refusal."""
        if response.code != _OK:
            self.emit(_refusal(response))
            self._discard(response)
            return
        if kind == 'engine':
            self.body = StreamBody(self.emit, self.text)
        else:
            self.body = WholeBody(self.emit)
        response.deliverBody(self.body)
        if self.cancelled:
            self.body.abort()

    def failed(self, failure):
        """Tell a call that was not sent from one that may have run."""
        if failure.check(CancelledError) and self.cancelled:
            return
        if failure.check(*_NEVER_CONNECTED):
            self.emit(NotRun('no connection'))
            return
        self.emit(Lost(failure.type.__name__))

    def _discard(self, response):
        self.body = WholeBody(_drop_event)
        response.deliverBody(self.body)
        self.body.abort()


def _drop_event(event):
    """Take the event of a body that nobody reads."""


def _refusal(response):
    stated = response.headers.getRawHeaders(wire.OUTCOME_HEADER, [''])[0]
    attempt = response.headers.getRawHeaders(wire.ATTEMPT_HEADER, [''])[0]
    if response.code in _BUSY and stated == wire.NOT_RUN:
        waits = response.headers.getRawHeaders('retry-after', ['0'])[0]
        return NotRun(
            f'busy ({response.code})',
            whole_number(waits) or 0,
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


def _document(call):
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


def http_transport(reactor, connect_timeout=1.0, per_host=64):
    """Return a transport that makes calls over HTTP.

    Explanation
    ===========

    Idempotent calls share pooled connections. A non-idempotent call gets a
    connection of its own: a pooled one may have gone silent unnoticed, while
    a fresh handshake proves that the path is alive. The client's automatic
    retry is off, since it would send a call again without being asked.

    Parameters
    ==========

    reactor : IReactorTCP
        Makes the connections.
    connect_timeout : float
        In seconds.
    per_host : int
        Idle connections kept for each upstream.

    Returns
    =======

    function
        ``start(name, upstream, call, sink)``; see :mod:`pollenstile.upstream`.
    """
    kept = HTTPConnectionPool(reactor, persistent=True)
    kept.retryAutomatically = False
    kept.maxPersistentPerHost = per_host
    pooled = agent_for(reactor, kept, connect_timeout)
    fresh = agent_for(reactor, connect_timeout=connect_timeout)

    def start(name, upstream, call, sink):
        exchange = _Exchange(sink, call.text)
        agent = pooled if call.idempotent else fresh
        uri = f'http://{upstream.address}{_path(call)}'
        exchange.response = agent.request(
            b'POST',
            uri.encode(),
            _headers(call),
            BytesProducer(wire.encode_json(_document(call))),
        )
        exchange.response.addCallback(exchange.headers_came, call.kind)
        exchange.response.addErrback(exchange.failed)
        return exchange.cancel

    return start
