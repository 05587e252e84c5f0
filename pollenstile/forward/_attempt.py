"""One attempt of a request: a send to one upstream and its answer."""

from functools import partial

from twisted.internet.defer import CancelledError

from pollenstile.forward._attempt_learning import (
    learn_outcome,
    note_no_progress,
    note_heard,
)
from pollenstile.forward._bodies import relay_body
from pollenstile.forward._bounds import HeldAnswer
from pollenstile.forward._endcheck import end_check
from pollenstile.forward._learning import learn_failure, learn_silence
from pollenstile.forward._rejection import rejection
from pollenstile.forward._request_headers import request_headers
from pollenstile.forward._request_log import log_heard, log_silence
from pollenstile.forward._secondanswer import SecondAnswerSearch
from pollenstile.forward._silence import SilenceWatch
from pollenstile.forward._software import process_check, send_refusal
from pollenstile.forward._sse import EventSplitter
from pollenstile.forward._types import Lost, NotRun, ReceivedBody
from pollenstile.routes import Kind


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
    is_resumed : bool
        Whether it continues a stream.
    head_at : float
        Time on the clock at which the head of an answer arrived.
    first_at : float
        Time on the clock at which the first event of a stream arrived.
    held : HeldAnswer
        What is held back of a whole answer.
    pending : bytearray
        Complete events that wait for one that brings the stream on.
    received : ReceivedBody
        What was received of the answer's body.
    no_progress_bytes : int
        Bytes received since the last event that brought the stream on, or of
        the whole body.
    end_body : function or None
        Ends the reading of the body with a :class:`BodyEnd`; None before it.
    endless : str
        Why the attempt was given up for its bytes; empty if it was not.
    silence : SilenceWatch
        Watches for silence of the upstream, which does not end the attempt.
    part_source : PartSource or None
        Engine from which the upstream fetches the shared prompt parts.
    has_gone_on : bool
        Whether more followed some time after the first event.
    """

    __slots__ = (
        'answer',
        'arrived',
        'no_progress_bytes',
        'call',
        'contest',
        'core',
        'end_body',
        'endless',
        'exchange',
        'first_at',
        'has_first_event',
        'has_gone_on',
        'head_at',
        'held',
        'input_release',
        'is_resumed',
        'limits',
        'on_heard',
        'on_silent',
        'part_source',
        'pending',
        'received',
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
        self.part_source = None
        self.splitter = EventSplitter(needs_idents=exchange.route.resumable)
        self.held = HeldAnswer(core.held)
        self.pending = bytearray()
        self.received = ReceivedBody()
        self.no_progress_bytes = 0
        self.end_body = None
        self.endless = ''
        self.has_first_event = False
        self.has_gone_on = False
        self.head_at = 0.0
        self.first_at = 0.0
        self.arrived = False
        self.is_resumed = False
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
        self.is_resumed = bool(last_event)
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
            self._note_begun_event()
            self._release_counts(tokens)
        learn_outcome(self, outcome)
        return outcome

    def _may_be_whole(self):
        """Return whether the answer may be whole if it ends now."""
        return not (
            self.streaming and self.splitter.is_broken_off(may_be_empty=False)
        )

    def _note_begun_event(self):
        """Record that the stream has more than was passed on."""
        if self.splitter.has_begun_event():
            self.exchange.begun_after = self.splitter.last

    def _release_counts(self, tokens):
        self.silence.stop()
        self.input_release.stop()
        self.held.release()
        self.view.in_flight -= 1
        self.view.streams -= self.has_first_event
        self.view.in_flight_tokens -= tokens
        if self.core.brittle.is_brittle(self.exchange.service):
            self.core.tokens.wake(self.exchange.service)

    async def _send(self, last_event):
        exchange = self.exchange
        self.call = self.core.client.send(
            self.view.address,
            exchange.method,
            exchange.target,
            request_headers(
                self.core,
                self.exchange,
                self.view,
                last_event,
                self.part_source,
            ),
            exchange.body,
        )
        self.call.check = partial(send_refusal, self.core, exchange, self.view)
        self.call.verify = process_check(self.core, exchange, self.view)
        self.call.confirm = end_check(
            self.core, self.view, self.silence, self._may_be_whole
        )
        self.call.search = SecondAnswerSearch(
            self.core.names.attempt, exchange.ident.encode('latin-1')
        )
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
        return await relay_body(self, head)

    def _handle_silence(self):
        """Record that the upstream is silent; the attempt goes on."""
        log_silence(self)
        if not self.call.sent:
            self.call.give_up()
            reason = NotRun('no connection', self.view.ident, arrived=False)
            self.call.head.callback(reason)
            return
        self.core.silences.silent += 1
        if self.silence.no_progress_bytes:
            self.core.silences.without_progress += 1
            note_no_progress(self, 'no answer in time')
        learn_silence(
            self.view, self.silence.heard_at, self.core.clock.seconds()
        )
        self.on_silent(self)

    def _handle_heard(self, seconds):
        self.core.silences.went_on += 1
        log_heard(self, seconds)
        self.on_heard(self)


def _ignore(attempt):
    """Do nothing when an upstream falls silent or goes on."""
