"""HTTP resource for callers of pipelines."""

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.entry import events
from pollenstile.entry._caller import (
    authenticate_team,
    decode_input,
    find_pipeline,
    parse_deadline,
    parse_idempotency_key,
)
from pollenstile.ops.http import abort, answer_json, answer_problem
from pollenstile.ops.logs import silent_log
from pollenstile.outcomes import Answered, Failed, Refused, Unknown
from pollenstile.pipeline import Request, run_request

_STREAM = 'text/event-stream'
_PREFIX = b'/v1/pipelines/'
_STATUS = {'failed': 502, 'unknown': 502}
_GATEWAY_TIMEOUT = 504
_JSON_EVENT = b'event: %s\ndata: %s\n\n'
_TOKEN_EVENT = b'data: {"text":%s}\n\n'

_encode_json = msgspec.json.Encoder().encode


class _Exchange:
    """HTTP exchange with one caller: its request and the response."""

    __slots__ = ('finished', 'http', 'log', 'running', 'streaming', 'written')

    def __init__(self, http, log=silent_log, *, streaming):
        self.http = http
        self.log = log
        self.streaming = streaming
        self.written = False
        self.finished = False
        self.running = None

    def on_disconnect(self, failure, request):
        """Cancel the request of a disconnected caller if it is idempotent.

        Explanation
        ===========

        A non-idempotent request continues: its caller may retry with the same
        idempotency key and then gets the answer of this run.
        """
        if self.finished:
            # The host itself has closed the connection, or its answer.
            return
        self.finished = True
        self.log(
            events.CALLER_LEFT,
            request=request.ident,
            begun=self.written,
            goes_on=not request.pipeline.idempotent,
        )
        if request.pipeline.idempotent:
            self.running.cancel()

    def has_begun(self):
        """Return whether a part of the answer was sent."""
        return self.written

    def write_token(self, text):
        """Write a token to the event stream."""
        if self.finished or not self.streaming:
            return
        if not self.written:
            self.written = True
            self.http.setHeader(b'content-type', _STREAM.encode())
        self.http.write(_TOKEN_EVENT % _encode_json(text))

    def answer(self, outcome, request):
        """Write the final outcome to the response."""
        if self.finished:
            return
        self.finished = True
        if isinstance(outcome, Answered):
            self._write_answer(outcome, request)
            return
        if self.written:
            # The streamed tokens look like an answer. Only an aborted
            # connection shows the caller that the answer is incomplete.
            self._reset(outcome, request)
            return
        _refuse(self.http, outcome, request.ident)

    def _reset(self, outcome, request):
        self.log(
            events.ANSWER_RESET,
            level='warning',
            request=request.ident,
            outcome=outcome.tag,
            reason=outcome.reason,
        )
        abort(self.http)

    def _write_answer(self, outcome, request):
        document = {
            'request': request.ident,
            'output': outcome.output,
            'cost': outcome.cost,
            'version': request.snapshot.version,
        }
        if not self.streaming:
            answer_json(self.http, document)
            return
        if not self.written:
            self.http.setHeader(b'content-type', _STREAM.encode())
        encoded = msgspec.json.encode(document)
        self.http.write(_JSON_EVENT % (b'done', encoded))
        self.http.finish()


def _refuse(http, outcome, ident=''):
    status = getattr(outcome, 'status', None) or _STATUS[outcome.tag]
    if outcome.reason in {'timeout', 'deadline'}:
        status = _GATEWAY_TIMEOUT if outcome.tag != 'not-run' else status
    fields = {
        'request': ident,
        'step': outcome.step,
        'peer': outcome.peer,
    }
    retry_after = getattr(outcome, 'retry_after', 0)
    if retry_after:
        fields['retry_after'] = round(retry_after, 1)
    return answer_problem(
        http,
        status,
        outcome.reason,
        outcome.tag,
        **fields,
    )


def _header(http, name):
    """Return a header's value as text, empty if the header is missing.

    Bytes that are not UTF-8 become surrogates, which the checks of values
    refuse; the library's own decoding would raise an exception.
    """
    content = http.getHeader(name) or b''
    return content.decode(errors='surrogateescape')


class CallerResource(Resource):
    """``POST /v1/pipelines/NAME``.

    Parameters
    ==========

    node : Node
        State of the host.
    """

    isLeaf = True

    def __init__(self, node):
        super().__init__()
        self.node = node

    def render(self, request):
        """Serve one request; called by Twisted."""
        parsed = self._parse_request(request)
        if isinstance(parsed, Refused):
            self.node.core.log(
                events.CALLER_REFUSED,
                status=parsed.status,
                reason=parsed.reason,
                path=request.path.decode('latin-1')[:100],
            )
            return _refuse(request, parsed)
        streaming = _STREAM in (_header(request, b'accept'))
        exchange = _Exchange(request, self.node.core.log, streaming=streaming)
        request.channel.request = parsed.ident
        self._run(exchange, parsed)
        return NOT_DONE_YET

    def _run(self, exchange, request):
        exchange.running = Deferred.fromCoroutine(
            run_request(self.node.core, request, exchange.write_token),
        )
        disconnect = exchange.http.notifyFinish()
        disconnect.addErrback(exchange.on_disconnect, request)
        exchange.running.addCallback(exchange.answer, request)
        exchange.running.addErrback(self._on_crash, exchange, request)
        # Tracked after the answer's callbacks, so that a leaving host waits
        # until the answer is written.
        self.node.track(exchange.running, exchange.has_begun)

    def _on_crash(self, failure, exchange, request):
        self.node.core.count('request.crashed')
        self.node.core.log(
            events.CRASHED,
            level='error',
            request=request.ident,
            error=failure.getTraceback(),
        )
        # What was sent before the exception isn't known any more.
        kind = Failed if request.pipeline.idempotent else Unknown
        exchange.answer(
            kind('internal error', 'host', self.node.core.host), request
        )

    def _parse_request(self, http):
        if http.method != b'POST':
            return Refused(405, 'use POST', 'caller')
        if not http.path.startswith(_PREFIX):
            return Refused(404, 'no such path', 'caller')
        refusal = self.node.refusal()
        if refusal is not None:
            return refusal
        name = http.path[len(_PREFIX) :].decode('latin-1')
        return self._build_request(http, name, self.node.in_force.snapshot)

    def _build_request(self, http, name, snapshot):
        team = authenticate_team(snapshot, _header(http, b'authorization'))
        if isinstance(team, Refused):
            return team
        pipeline = find_pipeline(snapshot, name, team)
        if isinstance(pipeline, Refused):
            return pipeline
        budget = parse_deadline(_header(http, b'x-deadline-ms'), pipeline)
        key = parse_idempotency_key(_header(http, b'idempotency-key'))
        content = decode_input(http.content.read())
        for value in (budget, key, content):
            if isinstance(value, Refused):
                return value
        return Request(
            ident=self.node.next_ident(),
            name=name,
            snapshot=snapshot,
            team=team,
            content=content,
            deadline=self.node.core.clock.seconds() + budget,
            key=key,
        )
