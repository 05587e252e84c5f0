"""One attempt of a request: a send to one upstream and its answer."""

from functools import partial

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.forward._attempt_learning import (
    learn_first_bytes,
    learn_outcome,
    note_going_on,
    note_heard,
)
from pollenstile.forward._learning import learn_failure, learn_silence
from pollenstile.forward._outcomes import Delivered, UpstreamFailure
from pollenstile.forward._rejection import rejection
from pollenstile.forward._request_headers import request_headers
from pollenstile.forward._request_log import (
    log_heard,
    log_silence,
    log_stream_end,
)
from pollenstile.forward._silence import Backpressure, SilenceWatch
from pollenstile.forward._software import note_event, send_refusal
from pollenstile.forward._sse import EventSplitter
from pollenstile.forward._types import BodyEnd, Lost, NotRun
from pollenstile.routes import Kind

_SUCCESS_STATUSES = range(200, 300)
# Answers up to this size are buffered until they are complete, so that the
# request can be retried after an incomplete one. Larger ones are streamed.
_MAX_BUFFERED_BYTES = 65536

# Ends of a body after which its upstream may have sent all of it.
_ENDED = frozenset((BodyEnd.COMPLETE, BodyEnd.CLOSED))


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
    contest : Contest
        The request's attempts in flight; has the answer to the caller.
    limits : SilenceLimits
        Silence after which ``on_silent`` is called.
    input_release : InputRelease
        Releases the stage results once the upstream has read them.
    on_silent, on_heard : function
        Called with the attempt when its upstream has been silent for the limit,
        and when it goes on after that.

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
    silence : SilenceWatch
        Watches for silence of the upstream, which does not end the attempt.
    has_gone_on : bool
        Whether more followed some time after the first bytes.
    """

    __slots__ = (
        'answer',
        'arrived',
        'buffered',
        'call',
        'contest',
        'core',
        'exchange',
        'first_at',
        'has_first_bytes',
        'has_gone_on',
        'head_at',
        'input_release',
        'limits',
        'on_heard',
        'on_silent',
        'pending',
        'silence',
        'splitter',
        'started',
        'view',
    )

    def __init__(self, core, exchange, view, contest, limits, input_release):
        self.core = core
        self.exchange = exchange
        self.view = view
        self.contest = contest
        self.answer = contest.answer
        self.limits = limits
        self.input_release = input_release
        self.silence = SilenceWatch(
            core.clock, limits.first, self._handle_silence, self._handle_heard
        )
        self.on_silent = _ignore
        self.on_heard = _ignore
        self.splitter = EventSplitter()
        self.pending = b''
        self.buffered = []
        self.has_first_bytes = False
        self.has_gone_on = False
        self.head_at = 0.0
        self.first_at = 0.0
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

    @property
    def longest_pause(self):
        """Seconds of the longest silence after the first bytes."""
        return self.silence.longest_silence

    def may_have_run(self):
        """Return whether the request was sent."""
        return self.call is not None and self.call.sent

    async def outcome(self, last_event):
        """Send the request to the upstream; return how the attempt ended.

        Parameters
        ==========

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
            outcome = await self._send(last_event)
        except CancelledError:
            if self.call is not None:
                self.call.cancel()
            if self.silence.is_silent:
                learn_failure(self.view)
            raise
        finally:
            self._release_counts(tokens)
        learn_outcome(self, outcome)
        return outcome

    def _release_counts(self, tokens):
        self.silence.stop()
        self.input_release.stop()
        self.view.in_flight -= 1
        self.view.in_flight_tokens -= tokens
        if self.core.brittle.is_brittle(self.exchange.service):
            self.core.tokens.wake(self.exchange.service)

    async def _send(self, last_event):
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
        self.silence.start()
        head = await self.call.head
        self.arrived = self.call.sent
        if isinstance(head, (NotRun, Lost)):
            return head
        rejected = rejection(self, head)
        if rejected is not None:
            self.call.cancel()
            return rejected
        self.head_at = self.core.clock.seconds()
        note_heard(self)
        self.silence.note_head()
        self.core.quarantine.note_answer(self.view.incarnation, self.started)
        if head.code not in _SUCCESS_STATUSES:
            return await self._read_failure(head)
        if self.streaming:
            return await self._relay_stream(head)
        return await self._relay_answer(head)

    def _handle_silence(self):
        """Record that the upstream is silent; the attempt goes on."""
        log_silence(self)
        if not self.call.sent:
            self.call.give_up()
            reason = NotRun('no connection', self.view.ident, arrived=False)
            self.call.head.callback(reason)
            return
        self.core.silences.silent += 1
        learn_silence(
            self.view, self.silence.heard_at, self.core.clock.seconds()
        )
        self.on_silent(self)

    def _handle_heard(self, seconds):
        self.core.silences.went_on += 1
        log_heard(self, seconds)
        self.on_heard(self)

    async def _read_failure(self, head):
        parts = []
        end = await self._relay_body(head, parts.append)
        if end not in _ENDED:
            return _incomplete(self, 'torn failure', end)
        return UpstreamFailure(
            head.code,
            head.phrase,
            _header_pairs(head),
            b''.join(parts),
        )

    async def _relay_answer(self, head):
        def pass_on(data):
            if self.contest.holder is self:
                self.answer.write(data)
                return
            self.buffered.append(data)
            if sum(map(len, self.buffered)) > _MAX_BUFFERED_BYTES:
                self._begin_answer(head)
                self._write_buffered()

        end = await self._relay_body(head, pass_on)
        if end not in _ENDED:
            return _incomplete(self, 'torn answer', end)
        if not self.answer.begun:
            self._begin_answer(head)
            self._write_buffered()
        return self._finish_answer()

    async def _relay_stream(self, head):
        end = await self._relay_body(head, partial(self._pass_on_events, head))
        log_stream_end(self, end)
        if end not in _ENDED:
            return _incomplete(self, 'torn stream', end)
        if self.splitter.is_broken_off(is_framed=end is BodyEnd.COMPLETE):
            return _incomplete(self, 'torn stream', BodyEnd.BROKEN)
        self._begin_answer(head)
        rest = self.pending + self.splitter.rest
        if rest:
            self.answer.write(rest)
        return self._finish_answer()

    def _pass_on_events(self, head, data):
        """Write the complete events of a stream to the caller."""
        if not self.has_first_bytes:
            self.has_first_bytes = True
            self.first_at = self.core.clock.seconds()
            learn_first_bytes(self)
        elif not self.has_gone_on:
            note_going_on(self)
        had_events = self.splitter.has_events
        received = self.splitter.feed(data)
        if not received:
            return
        self.pending += received
        if self.contest.is_contested(self) and not self.splitter.has_events:
            return
        self._begin_answer(head)
        if self.splitter.has_events and not had_events:
            note_event(self.core, self.exchange, self.view)
        self.answer.write(self.pending)
        self.pending = b''

    def _begin_answer(self, head):
        """Claim the answer, and begin it if no attempt has."""
        self.contest.claim(self)
        if not self.answer.begun:
            self.answer.begin(head.code, head.phrase, _header_pairs(head))

    def _finish_answer(self):
        self.contest.end_production()
        self.answer.finish()
        return Delivered()

    def _write_buffered(self):
        for data in self.buffered:
            self.answer.write(data)
        self.buffered = []

    async def _relay_body(self, head, pass_on):
        """Pass a body's data to a function; return its :class:`BodyEnd`.

        Parameters
        ==========

        head : Response
            Head of the answer.
        pass_on : function
            Called with each part of the body.
        """
        ended = Deferred(lambda _: self.call.cancel())

        def end(body_end):
            if not ended.called:
                ended.callback(body_end)

        def on_data(data):
            note_heard(self)
            self.silence.note_data(self.limits.between)
            pass_on(data)

        producer = self.call.deliver(head, on_data, end)
        self.silence.backpressure = Backpressure(producer)
        return await ended


def _ignore(attempt):
    """Do nothing when an upstream falls silent or goes on."""


def _incomplete(attempt, reason, end):
    broken = end is BodyEnd.BROKEN
    return Lost(reason, attempt.view.ident, broken=broken)


def _header_pairs(head):
    return [
        (name, value)
        for name, values in head.headers.getAllRawHeaders()
        for value in values
    ]
