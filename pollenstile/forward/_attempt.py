"""One attempt of a request: a send to one upstream and its answer."""

from functools import partial

from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from pollenstile.forward._learning import (
    learn_failure,
    learn_load,
    learn_success,
    learn_unavailable,
)
from pollenstile.forward._request_headers import request_headers
from pollenstile.forward._request_log import log_silence, log_stream_end
from pollenstile.forward._selection import own_tokens
from pollenstile.forward._silence import SilenceTimer
from pollenstile.forward._software import note_event, send_refusal
from pollenstile.forward._sse import EventSplitter
from pollenstile.forward._types import BodyEnd, Lost, NotRun
from pollenstile.routes import Kind
from pollenstile.statements import read_statements

_MISDIRECTED_STATUS = 421
_CONFLICT_STATUS = 409
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_SUCCESS_STATUSES = range(200, 300)
# Statuses that are passed on only with the upstream's stamp.
_STATUSES_NEEDING_STAMP = frozenset((*_SUCCESS_STATUSES, *_NOT_RUN_STATUSES))
# Answers up to this size are buffered until they are complete, so that the
# request can be retried after an incomplete one. Larger ones are streamed.
_MAX_BUFFERED_BYTES = 65536

# Seconds after its first bytes at which an answer shows that its upstream bears
# the parts of the prompt: one that crashes on a part does so as it begins, and
# the first bytes may have left it by then.
_PROOF_SECONDS = 0.1

# Ends of a body after which its upstream may have sent all of it.
_ENDED = frozenset((BodyEnd.COMPLETE, BodyEnd.CLOSED))

# An upstream found that a stage result has expired; the request did not run.
RESULTS_GONE = NotRun('results gone')


class Delivered:
    """The complete answer was sent to the caller."""

    __slots__ = ()


class UpstreamFailure:
    """A complete answer that reports a failure of the upstream.

    Parameters
    ==========

    status : int
        Status code of the answer.
    phrase : bytes
        Reason phrase of the answer.
    headers : list of tuple
        Names and values of the answer's headers.
    body : bytes
        Body of the answer.
    """

    __slots__ = ('body', 'headers', 'phrase', 'status')

    def __init__(self, status, phrase, headers, body):
        self.status = status
        self.phrase = phrase
        self.headers = headers
        self.body = body


class Attempt:
    """Sends a request to an upstream and passes the answer to the caller.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    exchange : Exchange
        The request.
    view : UpstreamView
        The upstream.
    answer : Answer
        Writes to the caller.
    input_release : InputRelease
        Releases the stage results once the upstream has read them.

    Attributes
    ==========

    splitter : EventSplitter
        Keeps the last complete event that was passed on.
    arrived : bool
        Whether the request may have reached the upstream.
    head_at : float
        Time on the clock at which the head of an answer arrived.
    first_at : float
        Time on the clock at which the first bytes of a stream arrived.
    longest_pause : float
        Seconds of the longest silence after the first bytes.
    has_gone_on : bool
        Whether more followed some time after the first bytes.
    """

    __slots__ = (
        'answer',
        'arrived',
        'buffered',
        'call',
        'core',
        'exchange',
        'first_at',
        'has_first_bytes',
        'has_gone_on',
        'head_at',
        'input_release',
        'longest_pause',
        'splitter',
        'started',
        'view',
    )

    def __init__(self, core, exchange, view, answer, input_release):
        self.core = core
        self.exchange = exchange
        self.view = view
        self.answer = answer
        self.input_release = input_release
        self.splitter = EventSplitter()
        self.buffered = []
        self.has_first_bytes = False
        self.has_gone_on = False
        self.head_at = 0.0
        self.first_at = 0.0
        self.longest_pause = 0.0
        self.arrived = False
        self.call = None
        self.started = core.clock.seconds()

    @property
    def streaming(self):
        """Whether the answer is a stream of events."""
        return self.exchange.route.kind is Kind.STREAM

    def ran_seconds(self):
        """Return the upper bound of the upstream's run time in seconds."""
        began = self.head_at or self.started
        return self.core.clock.seconds() - began

    async def outcome(self, silence_limits, last_event):
        """Send the request to the upstream; return how the attempt ended.

        Parameters
        ==========

        silence_limits : SilenceLimits
            Silence after which the attempt counts as lost.
        last_event : str
            Event after which a stream continues; empty to start at the
            beginning.

        Returns
        =======

        Delivered, UpstreamFailure, NotRun or Lost
        """
        tokens = sum(size for _, size in self.exchange.prompt)
        self.view.in_flight += 1
        self.view.in_flight_tokens += tokens
        try:
            outcome = await self._send(silence_limits, last_event)
        except CancelledError:
            if self.call is not None:
                self.call.cancel()
            raise
        finally:
            self._release_counts(tokens)
        self._learn(outcome)
        return outcome

    def _release_counts(self, tokens):
        self.input_release.stop()
        self.view.in_flight -= 1
        self.view.in_flight_tokens -= tokens
        if self.core.brittle.is_brittle(self.exchange.service):
            self.core.tokens.wake(self.exchange.service)

    async def _send(self, silence_limits, last_event):
        exchange = self.exchange
        self.call = self.core.client.send(
            self.view.address,
            exchange.method,
            exchange.target,
            request_headers(self.core, self.exchange, self.view, last_event),
            exchange.body,
        )
        self.call.check = partial(send_refusal, self.core, exchange, self.view)
        self.input_release.start(self.core.clock)
        head = await self._head_within(self.call.head, silence_limits.first)
        self.arrived = self.call.sent
        if isinstance(head, (NotRun, Lost)):
            return head
        rejection = self._rejection(head)
        if rejection is not None:
            self.call.cancel()
            return rejection
        self.head_at = self.core.clock.seconds()
        self.view.heard_at = self.head_at
        self.core.quarantine.note_answer(self.view.incarnation, self.started)
        if head.code not in _SUCCESS_STATUSES:
            return await self._read_failure(head, silence_limits.between)
        if self.streaming:
            return await self._relay_stream(head, silence_limits)
        return await self._relay_answer(head, silence_limits.between)

    async def _head_within(self, deferred, seconds):
        if seconds is None:
            return await deferred
        deferred.addTimeout(seconds, self.core.clock)
        try:
            return await deferred
        except TimeoutError:
            elapsed = self.core.clock.seconds() - self.started
            log_silence(self, seconds, elapsed - seconds)
            self.call.give_up()
            if not self.call.sent:
                return NotRun('no connection', self.view.ident, arrived=False)
            return Lost('silent', self.view.ident)

    def _rejection(self, head):
        """Return ``NotRun`` or ``Lost`` if a head is not a valid answer."""
        names = self.core.names
        ident = self.view.ident
        load = _text(head, names.load)
        if load:
            learn_load(self.view, load, self.core.clock.seconds())
        echoed = _text(head, names.attempt)
        if echoed and echoed != self.exchange.ident:
            # This is a late duplicate answer to another request. If it were
            # passed on, the caller would get what another caller asked for.
            return Lost('foreign answer', ident)
        if head.code == _MISDIRECTED_STATUS:
            self.core.registry.drop(ident, self.view.born)
            return NotRun('another incarnation', ident)
        is_stamped = bool(_text(head, names.stamp) and echoed)
        self.core.permissions.note_answer(
            self.view.incarnation,
            self.exchange.service,
            read_statements(
                head,
                names,
                is_proof=is_stamped,
                request=self.exchange.ident,
            ),
        )
        if _text(head, names.not_run):
            gone = head.code == _CONFLICT_STATUS
            return (
                RESULTS_GONE if gone else NotRun(f'status {head.code}', ident)
            )
        if is_stamped or head.code not in _STATUSES_NEEDING_STAMP:
            return None
        # Without the stamp, a success may come from another server, and a
        # status that promises 'not run' may be wrong.
        return Lost(f'status {head.code} without proof', ident)

    async def _read_failure(self, head, silence_limit):
        parts = []
        end = await self._relay_body(head, parts.append, silence_limit)
        if end not in _ENDED:
            return self._incomplete('torn failure', end)
        return UpstreamFailure(
            head.code,
            head.phrase,
            _header_pairs(head),
            b''.join(parts),
        )

    async def _relay_answer(self, head, silence_limit):
        def pass_on(data):
            if self.answer.begun:
                self.answer.write(data)
                return
            self.buffered.append(data)
            if sum(map(len, self.buffered)) > _MAX_BUFFERED_BYTES:
                self._begin_answer(head)
                self._write_buffered()

        end = await self._relay_body(head, pass_on, silence_limit)
        if end not in _ENDED:
            return self._incomplete('torn answer', end)
        if not self.answer.begun:
            self._begin_answer(head)
            self._write_buffered()
        self.answer.finish()
        return Delivered()

    async def _relay_stream(self, head, silence_limits):
        end = await self._relay_body(
            head,
            partial(self._pass_on_events, head),
            silence_limits.first,
            silence_limits.between,
        )
        log_stream_end(self, end)
        if end not in _ENDED:
            return self._incomplete('torn stream', end)
        if self.splitter.is_broken_off(is_framed=end is BodyEnd.COMPLETE):
            return self._incomplete('torn stream', BodyEnd.BROKEN)
        if not self.answer.begun:
            self._begin_answer(head)
        if self.splitter.rest:
            self.answer.write(self.splitter.rest)
        self.answer.finish()
        return Delivered()

    def _pass_on_events(self, head, data):
        """Write the complete events of a stream to the caller."""
        if not self.has_first_bytes:
            self.has_first_bytes = True
            self.first_at = self.core.clock.seconds()
            self._learn_first_bytes()
        elif not self.has_gone_on:
            _note_going_on(self)
        had_events = self.splitter.has_events
        received = self.splitter.feed(data)
        if not received:
            return
        if not self.answer.begun:
            self._begin_answer(head)
        if self.splitter.has_events and not had_events:
            note_event(self.core, self.exchange, self.view)
        self.answer.write(received)

    def _incomplete(self, reason, end):
        broken = end is BodyEnd.BROKEN
        return Lost(reason, self.view.ident, broken=broken)

    def _begin_answer(self, head):
        self.answer.begin(head.code, head.phrase, _header_pairs(head))

    def _write_buffered(self):
        for data in self.buffered:
            self.answer.write(data)
        self.buffered = []

    async def _relay_body(self, head, pass_on, silence_limit, between=None):
        """Pass a body's data to a function; return its :class:`BodyEnd`.

        Parameters
        ==========

        head : Response
            Head of the answer.
        pass_on : function
            Called with each part of the body.
        silence_limit : float or None
            Seconds of silence after which the body counts as lost.
        between : float or None
            Limit after the first part, if it differs.
        """
        ended = Deferred(lambda _: self.call.cancel())
        silence = SilenceTimer(self.core.clock, silence_limit)

        def end(body_end):
            silence.stop()
            self.longest_pause = silence.longest_silence
            if not ended.called:
                ended.callback(body_end)

        def on_silence():
            log_silence(self, silence.limit, silence.lateness())
            self.call.cancel()
            end(BodyEnd.SILENT)

        def on_data(data):
            silence.note_received(between)
            self.view.heard_at = self.core.clock.seconds()
            pass_on(data)

        silence.start(on_silence)
        self.answer.produce(self.call.deliver(head, on_data, end))
        try:
            return await ended
        finally:
            silence.stop()
            self.answer.unproduce()

    def _learn_first_bytes(self):
        self.input_release.release()
        self.core.copies.note_begun(self.exchange.fingerprint)
        first_seconds = self.first_at - self.started
        learn_success(self.view, first_seconds)
        exchange = self.exchange
        if exchange.prompt and not self.splitter.last:
            tokens = own_tokens(exchange.prompt)
            self.core.first_tokens.learn(
                exchange.service, tokens, first_seconds
            )
        if exchange.handles:
            self.core.fetching.note_fetched(exchange.service)

    def _learn(self, outcome):
        now = self.core.clock.seconds()
        if outcome is RESULTS_GONE:
            self.core.fetching.note_failed_fetch(self.exchange.service)
            return
        if isinstance(outcome, NotRun):
            # An upstream that states when it wants requests again is believed.
            # With a back-off besides, it would be idle after that time.
            if self.core.permissions.withdrawn(self.view.incarnation) is None:
                learn_unavailable(self.view, now, arrived=outcome.arrived)
        elif isinstance(outcome, (Lost, UpstreamFailure)):
            learn_failure(self.view)
        elif not self.streaming:
            learn_success(self.view, now - self.started)


def _note_going_on(attempt):
    """Record that the upstream lives on after the answer has begun."""
    core = attempt.core
    if core.clock.seconds() - attempt.first_at < _PROOF_SECONDS:
        return
    attempt.has_gone_on = True
    core.quarantine.note_sound_parts(
        attempt.exchange.service, attempt.exchange.parts
    )


def _text(head, name):
    values = head.headers.getRawHeaders(name)
    return values[0].decode('latin-1') if values else ''


def _header_pairs(head):
    return [
        (name, value)
        for name, values in head.headers.getAllRawHeaders()
        for value in values
    ]
