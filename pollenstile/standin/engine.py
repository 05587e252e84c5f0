"""Fake model engine that streams completions over HTTP."""

import xxhash
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.ops.http import abort, answer_json, answer_problem
from pollenstile.standin._slots import Slots
from pollenstile.standin.faults import Faults, set_attempt_header
from pollenstile.upstream import wire

_MS_PER_SECOND = 1000


def token(prompt, offset):
    """Return the token at an offset, which is the same for all engines.

    Examples
    ========

    >>> from pollenstile.standin.engine import token
    >>> token(b'leak', 0) == token(b'leak', 0) != token(b'leak', 1)
    True
    """
    return f'{xxhash.xxh32(prompt, seed=offset).hexdigest()} '


class Engine:
    """State of one fake engine.

    Parameters
    ==========

    clock : IReactorTime
        Real or virtual clock.
    name : str
        Name of the engine and its incarnation in load reports.
    first_token_seconds : float
        Time to the first token, in seconds.
    token_gap_seconds : float
        Time between tokens, in seconds.
    max_running : int
        Maximum number of concurrent calls.

    Attributes
    ==========

    runs : list of str
        Attempts that started to run.
    cancelled : list of str
        Attempts whose caller disconnected before their end.
    """

    __slots__ = (
        'cancelled',
        'clock',
        'faults',
        'first_token_seconds',
        'name',
        'runs',
        'slots',
        'token_gap_seconds',
    )

    def __init__(
        self,
        clock,
        name,
        first_token_seconds=0.05,
        token_gap_seconds=0.01,
        max_running=8,
    ):
        self.clock = clock
        self.name = name
        self.first_token_seconds = first_token_seconds
        self.token_gap_seconds = token_gap_seconds
        self.slots = Slots(max_running, name)
        self.faults = Faults()
        self.runs = []
        self.cancelled = []

    def load(self):
        """Return the current load report."""
        return self.slots.report(leaving=self.faults.leaving)


class EngineResource(Resource):
    """``POST /v1/completions`` and ``GET /v1/load`` of an engine."""

    isLeaf = True

    def __init__(self, engine):
        super().__init__()
        self.engine = engine

    def render_GET(self, request):
        """Answer with the load report; called by Twisted."""
        return answer_json(request, self.engine.load())

    def render_POST(self, request):
        """Stream one completion; called by Twisted."""
        set_attempt_header(request, self.engine.faults)
        if self.engine.faults.refusing:
            return answer_problem(request, 503, 'refusing', wire.NOT_RUN)
        try:
            call = wire.decode_completion_call(request.content.read())
        except wire.DECODE_ERRORS as error:
            return answer_problem(request, 400, str(error), wire.NOT_RUN)
        _Stream(self.engine, request, call).begin()
        return NOT_DONE_YET


class _Stream:
    """One completion, from the queue to its last token."""

    __slots__ = (
        'attempt',
        'call',
        'ended',
        'engine',
        'http',
        'offset',
        'prompt',
        'sent',
        'started',
        'timer',
    )

    def __init__(self, engine, http, call):
        self.engine = engine
        self.http = http
        self.call = call
        self.attempt = (http.getHeader(wire.ATTEMPT_HEADER) or '').strip()
        self.prompt = wire.encode_json(call.prompt)
        self.offset = call.resume_offset
        self.sent = 0
        self.started = 0.0
        self.timer = None
        self.ended = False

    def begin(self):
        """Start when a slot is free."""
        self.http.notifyFinish().addErrback(self.on_disconnect)
        self.engine.slots.acquire(self.work)

    def work(self):
        """Start to generate tokens."""
        self.engine.runs.append(self.attempt)
        self.started = self.engine.clock.seconds()
        self.attempt = self.engine.faults.attempt_to_name(self.attempt)
        self.http.setHeader(b'content-type', b'text/event-stream')
        if not self.engine.faults.frozen:
            self.schedule(self.engine.first_token_seconds)

    def schedule(self, seconds):
        """Schedule the next token."""
        clock = self.engine.clock
        self.timer = clock.callLater(
            seconds * self.engine.faults.slow,
            self.advance,
        )

    def advance(self):
        """Send the next token, or end the stream."""
        self.timer = None
        if self.engine.faults.frozen:
            return
        if self.sent == self.engine.faults.cut_after:
            self.stop()
            abort(self.http)
            return
        if self.offset >= self.call.max_tokens:
            self.finish()
            return
        text = token(self.prompt, self.offset)
        self.write(
            wire.CompletionEvent(
                self.attempt,
                [wire.Choice(text)],
                self.offset,
            )
        )
        self.offset += 1
        self.sent += 1
        self.schedule(self.engine.token_gap_seconds)

    def write(self, event):
        """Send one event."""
        self.http.write(b'data: %s\n\n' % wire.encode_json(event))

    def finish(self):
        """Send usage, load and the end marker."""
        self.stop()
        busy = (self.engine.clock.seconds() - self.started) * _MS_PER_SECOND
        self.write(
            wire.CompletionEvent(
                self.attempt,
                [wire.Choice('', 'length')],
                self.offset,
                wire.Usage(self.offset, busy),
                self.engine.load(),
            )
        )
        self.http.write(b'data: %s\n\n' % wire.DONE)
        self.http.finish()

    def stop(self):
        """Release the slot unless already done."""
        if self.ended:
            return
        self.ended = True
        self.engine.slots.release()

    def on_disconnect(self, failure):
        """Stop a completion whose caller disconnected."""
        if self.ended:
            return
        self.engine.cancelled.append(self.attempt)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.engine.slots.remove_waiting(self.work):
            self.ended = True
            return
        self.stop()
