"""One send of a request to one upstream."""

from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from pollenstile.forward._selection import own_tokens
from pollenstile.forward._crashes import incarnation_of
from pollenstile.forward._learning import (
    learn_failure,
    learn_load,
    learn_success,
    learn_unreached,
)
from pollenstile.forward._silence import Silence
from pollenstile.forward._sse import EventSplitter
from pollenstile.forward._types import BodyEnd, Lost, NotRun
from pollenstile.routes import Kind

_MS = 1000
_MISDIRECTED = 421
_CONFLICT = 409
_PROMISES = (408, 421, 429, 503)
_OK = range(200, 300)
# Statuses that are passed on only with the upstream's proof.
_NEED_PROOF = frozenset((*_OK, *_PROMISES))
# Bytes of an answer that are held back until it is whole, so that a torn one
# can be asked for again. Larger ones are handed on as they come.
_HELD_BYTES = 65536
# The most urgent request has this rank at engines, of 0 to 9.
_FIRST_RANK = 3
_LAST_RANK = 9


# An upstream found that a stage result has lapsed; the request did not run.
GONE = NotRun('results gone')


class Delivered:
    """The answer went to the caller whole."""

    __slots__ = ()


class Failing:
    """A whole answer that says that the upstream failed.

    Parameters
    ==========

    status, phrase, headers, body
        As the upstream gave them.
    """

    __slots__ = ('body', 'headers', 'phrase', 'status')

    def __init__(self, status, phrase, headers, body):
        self.status = status
        self.phrase = phrase
        self.headers = headers
        self.body = body


class Attempt:
    """Sends a request and hands the answer on.

    Parameters
    ==========

    core : ForwardCore
        What the host offers.
    exchange : Exchange
        The request.
    view : EngineView
        Where it goes.
    answer : Answer
        The caller's side.
    reading : Reading
        When the upstream has read its inputs.

    Attributes
    ==========

    splitter : EventSplitter
        Knows the last whole event that was handed on.
    arrived : bool
        Whether the request may have reached the upstream.
    headed_at : float
        On the clock: when the head of an answer came.
    first_at : float
        On the clock: when the first bytes of a stream came.
    paused : float
        Seconds of the longest silence after them.
    """

    __slots__ = (
        'answer',
        'arrived',
        'call',
        'core',
        'exchange',
        'first_at',
        'headed_at',
        'heard',
        'held',
        'paused',
        'reading',
        'splitter',
        'started',
        'view',
    )

    def __init__(self, core, exchange, view, answer, reading):
        self.core = core
        self.exchange = exchange
        self.view = view
        self.answer = answer
        self.reading = reading
        self.splitter = EventSplitter()
        self.held = []
        self.heard = False
        self.headed_at = 0.0
        self.first_at = 0.0
        self.paused = 0.0
        self.arrived = False
        self.call = None
        self.started = core.clock.seconds()

    @property
    def streaming(self):
        """Whether the answer is a series of events."""
        return self.exchange.route.kind is Kind.STREAM

    def ran_seconds(self):
        """Return for how long the upstream has run the request, at most."""
        began = self.headed_at or self.started
        return self.core.clock.seconds() - began

    async def outcome(self, patience, last_event):
        """Return ``Delivered``, ``Failing``, ``NotRun`` or ``Lost``.

        Parameters
        ==========

        patience : SilenceLimits
            After which it counts as lost.
        last_event : str
            Event after which a stream goes on; empty for its beginning.
        """
        tokens = sum(size for _, size in self.exchange.prompt)
        self.view.in_flight += 1
        self.view.flying_tokens += tokens
        try:
            outcome = await self._sent(patience, last_event)
        except CancelledError:
            if self.call is not None:
                self.call.cancel()
            raise
        finally:
            self._leave(tokens)
        self._learn(outcome)
        return outcome

    def _leave(self, tokens):
        self.reading.stop()
        self.view.in_flight -= 1
        self.view.flying_tokens -= tokens

    async def _sent(self, patience, last_event):
        exchange = self.exchange
        self.call = self.core.client.send(
            self.view.address,
            exchange.method,
            exchange.target,
            self._headers(last_event),
            exchange.body,
        )
        self.reading.begin(self.core.clock)
        head = await self._within(self.call.head, patience.first)
        self.arrived = self.call.sent
        if isinstance(head, (NotRun, Lost)):
            return head
        refusal = self._refusal(head)
        if refusal is not None:
            self.call.cancel()
            return refusal
        self.headed_at = self.core.clock.seconds()
        incarnation = incarnation_of(exchange.service, self.view)
        self.core.quarantine.note_answer(incarnation.name, self.started)
        if head.code not in _OK:
            return await self._failing(head, patience.between)
        if self.streaming:
            return await self._streamed(head, patience)
        return await self._answered(head, patience.between)

    async def _within(self, deferred, seconds):
        if seconds is None:
            return await deferred
        deferred.addTimeout(seconds, self.core.clock)
        try:
            return await deferred
        except TimeoutError:
            self.call.cancel()
            if not self.call.sent:
                return NotRun('no connection', self.view.ident, arrived=False)
            return Lost('silent', self.view.ident)

    def _refusal(self, head):
        """Return why this head is no answer to the request, or None."""
        names = self.core.names
        ident = self.view.ident
        load = _text(head, names.load)
        if load:
            learn_load(self.view, load, self.core.clock.seconds())
        echoed = _text(head, names.attempt)
        if echoed and echoed != self.exchange.ident:
            # The late second answer of another request; taken for this one's,
            # a caller would get what another asked for.
            return Lost('foreign answer', ident)
        if head.code == _MISDIRECTED:
            self.core.registry.drop(ident, self.view.born)
            return NotRun('another incarnation', ident)
        if _text(head, names.not_run):
            gone = head.code == _CONFLICT
            return GONE if gone else NotRun(f'status {head.code}', ident)
        proven = _text(head, names.stamp) and echoed
        if proven or head.code not in _NEED_PROOF:
            return None
        # Unproven, a success may be anyone's, and a status that promises
        # 'not run' may be wrong.
        return Lost(f'status {head.code} without proof', ident)

    async def _failing(self, head, patience):
        parts = []
        end = await self._body(head, parts.append, patience)
        if end is not BodyEnd.COMPLETE:
            return self._torn('torn failure', end)
        return Failing(
            head.code,
            head.phrase,
            _forwarded(head),
            b''.join(parts),
        )

    async def _answered(self, head, patience):
        def take(data):
            if self.answer.begun:
                self.answer.write(data)
                return
            self.held.append(data)
            if sum(map(len, self.held)) > _HELD_BYTES:
                self._begin(head)
                self._write_held()

        end = await self._body(head, take, patience)
        if end is not BodyEnd.COMPLETE:
            return self._torn('torn answer', end)
        if not self.answer.begun:
            self._begin(head)
            self._write_held()
        self.answer.finish()
        return Delivered()

    async def _streamed(self, head, patience):
        def take(data):
            if not self.heard:
                self.heard = True
                self.first_at = self.core.clock.seconds()
                self._learn_first()
            events = self.splitter.feed(data)
            if not events:
                return
            if not self.answer.begun:
                self._begin(head)
            self.answer.write(events)

        end = await self._body(head, take, patience.first, patience.between)
        if end is not BodyEnd.COMPLETE:
            return self._torn('torn stream', end)
        if not self.answer.begun:
            self._begin(head)
        if self.splitter.rest:
            self.answer.write(self.splitter.rest)
        self.answer.finish()
        return Delivered()

    def _torn(self, reason, end):
        broken = end is BodyEnd.BROKEN
        return Lost(reason, self.view.ident, broken=broken)

    def _begin(self, head):
        self.answer.begin(head.code, head.phrase, _forwarded(head))

    def _write_held(self):
        for data in self.held:
            self.answer.write(data)
        self.held = []

    async def _body(self, head, take, patience, between=None):
        """Hand a body over; a silence longer than the patience breaks it.

        Parameters
        ==========

        between : float or None
            Seconds of patience once its first part came, where that differs.
        """
        ended = Deferred(lambda _: self.call.cancel())
        silence = Silence(self.core.clock, patience)

        def end(how):
            silence.stop()
            self.paused = silence.longest
            if not ended.called:
                ended.callback(how)

        def fallen_silent():
            self.call.cancel()
            end(BodyEnd.SILENT)

        def heard(data):
            silence.heard(between)
            take(data)

        silence.start(fallen_silent)
        self.answer.produce(self.call.deliver(head, heard, end))
        try:
            return await ended
        finally:
            silence.stop()
            self.answer.unproduce()

    def _headers(self, last_event):
        names = self.core.names
        exchange = self.exchange
        left = max(1, int((exchange.ends - self.core.clock.seconds()) * _MS))
        headers = [
            *exchange.headers,
            (names.deadline, b'%d' % left),
            (names.expect, self.view.ident.encode()),
        ]
        if exchange.team:
            headers.append((names.team, exchange.team.encode()))
        if exchange.handles:
            headers.append((names.results, ','.join(exchange.handles).encode()))
        if last_event:
            headers.append((names.last_event, last_event.encode()))
        if exchange.prompt:
            rank = min(_LAST_RANK, _FIRST_RANK + exchange.urgency)
            headers.append((names.urgency, b'%d' % rank))
        return headers

    def _learn_first(self):
        self.reading.release()
        took = self.first_at - self.started
        learn_success(self.view, took)
        exchange = self.exchange
        if exchange.prompt and not self.splitter.last:
            tokens = own_tokens(exchange.prompt)
            self.core.first_tokens.learn(exchange.service, tokens, took)
        if exchange.handles:
            self.core.fetching.note_fetched(exchange.service)

    def _learn(self, outcome):
        now = self.core.clock.seconds()
        if outcome is GONE:
            self.core.fetching.note_failed_fetch(self.exchange.service)
            return
        if isinstance(outcome, NotRun):
            learn_unreached(self.view, now)
        elif isinstance(outcome, (Lost, Failing)):
            learn_failure(self.view)
        elif not self.streaming:
            learn_success(self.view, now - self.started)


def _text(head, name):
    values = head.headers.getRawHeaders(name)
    return values[0].decode('latin-1') if values else ''


def _forwarded(head):
    return [
        (name, value)
        for name, values in head.headers.getAllRawHeaders()
        for value in values
    ]
