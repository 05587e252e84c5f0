"""Callers' HTTP face."""

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.entry import events
from pollenstile.entry._caller import (
    decode_input,
    parse_deadline,
    parse_idempotency_key,
    find_pipeline,
    authenticate_team,
)
from pollenstile.ops.http import abort, answer_json, answer_problem
from pollenstile.outcomes import Answered, Refused
from pollenstile.pipeline import Request, run_request

_STREAM = 'text/event-stream'
_PREFIX = b'/v1/pipelines/'
_STATUS = {'failed': 502, 'unknown': 502}
_GATEWAY_TIMEOUT = 504
_JSON_EVENT = b'event: %s\ndata: %s\n\n'
_TOKEN_EVENT = b'data: {"text":%s}\n\n'

_encoded = msgspec.json.Encoder().encode


class _Exchange:
    """One caller's request and what was written to it."""

    __slots__ = ('finished', 'http', 'running', 'streaming', 'written')

    def __init__(self, http, *, streaming):
        self.http = http
        self.streaming = streaming
        self.written = False
        self.finished = False
        self.running = None

    def disconnected(self, failure, request):
        """Stop the work of a caller that is gone, if that is safe.

        Explanation
        ===========

        A non-idempotent request runs on: its caller may ask again with the
        same key, and then gets the answer that this run has.
        """
        self.finished = True
        if request.pipeline.idempotent:
            self.running.cancel()

    def token(self, text):
        """Stream a token."""
        if self.finished or not self.streaming:
            return
        if not self.written:
            self.written = True
            self.http.setHeader(b'content-type', _STREAM.encode())
        self.http.write(_TOKEN_EVENT % _encoded(text))

    def answer(self, outcome, request):
        """Write the final outcome."""
        if self.finished:
            return
        self.finished = True
        if isinstance(outcome, Answered):
            self._answer_whole(outcome, request)
            return
        if self.written:
            # What was streamed looks like an answer. Only a broken
            # connection tells the caller that it is not whole.
            abort(self.http)
            return
        _refuse(self.http, outcome, request.ident)

    def _answer_whole(self, outcome, request):
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
    members = {
        'request': ident,
        'step': outcome.step,
        'peer': outcome.peer,
    }
    retry_after = getattr(outcome, 'retry_after', 0)
    if retry_after:
        members['retry_after'] = round(retry_after, 1)
    return answer_problem(
        http,
        status,
        outcome.reason,
        outcome.tag,
        **members,
    )


def _header(http, name):
    """Return a header's text, empty for none.

    Bytes that are no text stay odd characters, which the checks refuse; the
    library's own decoding would raise.
    """
    content = http.getHeader(name) or b''
    return content.decode(errors='surrogateescape')


class CallerResource(Resource):
    """``POST /v1/pipelines/NAME``.

    Parameters
    ==========

    node : Node
        The host that serves.
    """

    isLeaf = True

    def __init__(self, node):
        super().__init__()
        self.node = node

    def render(self, request):
        """Serve one request; called by twisted."""
        parsed = self._parsed(request)
        if isinstance(parsed, Refused):
            self.node.core.log(
                events.CALLER_REFUSED,
                status=parsed.status,
                reason=parsed.reason,
                path=request.path.decode('latin-1')[:100],
            )
            return _refuse(request, parsed)
        streaming = _STREAM in (_header(request, b'accept'))
        exchange = _Exchange(request, streaming=streaming)
        self._run(exchange, parsed)
        return NOT_DONE_YET

    def _run(self, exchange, request):
        exchange.running = Deferred.fromCoroutine(
            run_request(self.node.core, request, exchange.token),
        )
        gone = exchange.http.notifyFinish()
        gone.addErrback(exchange.disconnected, request)
        exchange.running.addCallback(exchange.answer, request)
        exchange.running.addErrback(self._crashed, exchange)
        # Counted to its end only when its answer was written: a host that
        # leaves waits for that.
        self.node.track(exchange.running)

    def _crashed(self, failure, exchange):
        if failure.check(CancelledError):
            return
        self.node.core.count('request.crashed')
        self.node.core.log(
            events.CRASHED,
            level='error',
            error=failure.getTraceback(),
        )
        if not exchange.finished:
            exchange.finished = True
            abort(exchange.http)

    def _parsed(self, http):
        if http.method != b'POST':
            return Refused(405, 'use POST', 'caller')
        if not http.path.startswith(_PREFIX):
            return Refused(404, 'no such path', 'caller')
        refusal = self.node.refusal()
        if refusal is not None:
            return refusal
        name = http.path[len(_PREFIX) :].decode('latin-1')
        return self._request(http, name, self.node.in_force.snapshot)

    def _request(self, http, name, snapshot):
        team = authenticate_team(snapshot, _header(http, b'authorization'))
        if isinstance(team, Refused):
            return team
        pipeline = find_pipeline(snapshot, name, team)
        if isinstance(pipeline, Refused):
            return pipeline
        budget = parse_deadline(_header(http, b'x-deadline-ms'), pipeline)
        key = parse_idempotency_key(_header(http, b'idempotency-key'))
        content = decode_input(http.content.read())
        for part in (budget, key, content):
            if isinstance(part, Refused):
                return part
        return Request(
            ident=self.node.next_ident(),
            name=name,
            snapshot=snapshot,
            team=team,
            content=content,
            deadline=self.node.core.clock.seconds() + budget,
            key=key,
        )
