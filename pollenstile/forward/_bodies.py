"""Relay of an upstream's answer from its body to the caller."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.forward._attempt_learning import (
    learn_first_event,
    note_going_on,
    note_heard,
)
from pollenstile.forward._bounds import (
    NO_PROGRESS,
    ENDLESS_ANSWER,
    ENDLESS_EVENT,
    ENDLESS_FAILURE,
    MAX_BUFFERED_BYTES,
    MAX_EVENT_BYTES,
    failure_bound,
    has_length,
    unstated_bound,
)
from pollenstile.forward._outcomes import Delivered, UpstreamFailure
from pollenstile.forward._request_log import log_stream_end
from pollenstile.forward._silence import Backpressure
from pollenstile.forward._software import note_event
from pollenstile.forward._types import BodyEnd, Lost
from pollenstile.routes import Kind

_SUCCESS_STATUSES = range(200, 300)
# Successes without a body: No Content and Reset Content.
_BODILESS = frozenset((204, 205))
_NOT_MODIFIED = 304
# Ends of a body after which its upstream may have sent all of it.
_ENDED = frozenset((BodyEnd.COMPLETE, BodyEnd.CLOSED))
# The same of a failure, which may be sent before the request was received.
_FAILURE_ENDED = _ENDED | {BodyEnd.EARLY}
_BROKEN = frozenset((BodyEnd.BROKEN, BodyEnd.EARLY, BodyEnd.UNCONFIRMED))
# What a refusal says of such an end.
_END_REASONS = {
    BodyEnd.EARLY: ', closed before the request was received',
    BodyEnd.UNCONFIRMED: ', closed as its upstream ended',
    BodyEnd.MISFRAMED: ', its length and chunks contradict',
    BodyEnd.REPEATED: ', second answer in it',
}


async def relay_body(attempt, head):
    """Read the body of an attempt's answer; return how the attempt ended.

    Parameters
    ==========

    attempt : Attempt
        Has received the head.
    head : Response
        Head of the answer.

    Returns
    =======

    Delivered, UpstreamFailure or Lost
    """
    if head.code not in _SUCCESS_STATUSES:
        return await _read_failure(attempt, head)
    if attempt.streaming:
        return await _relay_stream(attempt, head)
    return await _relay_answer(attempt, head)


async def _read_failure(attempt, head):
    parts = []
    bound = failure_bound(head)

    def keep(data):
        parts.append(data)
        _note_part(attempt, head, data, may_be_answer=False)
        _count_toward_bound(attempt, data, bound, ENDLESS_FAILURE)

    end = await _read_body(attempt, head, keep)
    if end not in _FAILURE_ENDED:
        return _incomplete(attempt, 'torn failure', end)
    return UpstreamFailure(
        head.code,
        head.phrase,
        _header_pairs(attempt, head),
        b''.join(parts),
    )


async def _relay_answer(attempt, head):
    attempt.input_release.release()
    # Without its answer, a request that may run once is lost: no other upstream
    # may be asked.
    is_bounded = (
        not has_length(head) and attempt.exchange.route.kind is not Kind.ONCE
    )
    bound = unstated_bound(attempt.exchange)

    def pass_on(data):
        _note_part(attempt, head, data, may_be_answer=True)
        if is_bounded and attempt.contest.holder is not attempt:
            _count_toward_bound(attempt, data, bound, ENDLESS_ANSWER)
        if not attempt.endless:
            _pass_on_part(attempt, head, data)

    end = await _read_body(attempt, head, pass_on)
    if end not in _ENDED:
        return _incomplete(attempt, 'torn answer', end)
    is_empty = not (attempt.answer.begun or attempt.held.size)
    if is_empty and end is BodyEnd.CLOSED:
        # Its upstream may have failed before the body.
        return _incomplete(attempt, 'torn answer', BodyEnd.BROKEN)
    if not attempt.answer.begun:
        _begin_answer(attempt, head)
        _write_held(attempt)
    return _finish_answer(attempt)


def _note_part(attempt, head, data, *, may_be_answer):
    """Note a part of a body, a sign of life if it has a stated length."""
    if has_length(head):
        _note_life(attempt)
    else:
        attempt.silence.note_no_progress(len(data), may_be_answer=may_be_answer)


def _note_life(attempt):
    """Record that the upstream has brought its caller something."""
    note_heard(attempt)
    attempt.silence.note_data(attempt.limits.between)


def _pass_on_part(attempt, head, data):
    """Write a part of a whole answer to the caller, or hold it back."""
    if attempt.contest.holder is attempt:
        attempt.answer.write(data)
        return
    attempt.held.append(data)
    is_held_long = attempt.contest.is_contested(attempt) or not has_length(head)
    limit = MAX_BUFFERED_BYTES
    if is_held_long:
        limit = unstated_bound(attempt.exchange)
    if attempt.held.is_over(limit):
        _begin_answer(attempt, head)
        _write_held(attempt)


def _write_held(attempt):
    for data in attempt.held.release():
        attempt.answer.write(data)


def _may_lack_body(attempt, head):
    """Return whether an answer on a stream's route may have no event."""
    if attempt.is_resumed:
        return not _is_more_begun(attempt)
    return not _has_body(attempt, head)


def _is_more_begun(attempt):
    """Return whether another upstream has begun an event after the last one."""
    last = attempt.splitter.last
    if attempt.exchange.begun_after == last:
        return True
    splitters = [
        other.splitter
        for other in attempt.contest.running
        if other is not attempt
    ]
    return any(
        splitter.last == last and splitter.has_begun_event()
        for splitter in splitters
    )


async def _relay_stream(attempt, head):
    pass_on = partial(_pass_on_events, attempt, head)
    end = await _read_body(attempt, head, pass_on)
    log_stream_end(attempt, end)
    if end not in _ENDED:
        return _incomplete(attempt, 'torn stream', end)
    if attempt.splitter.has_gone_back:
        return _incomplete(attempt, 'events out of turn', end)
    may_be_empty = end is BodyEnd.COMPLETE and _may_lack_body(attempt, head)
    if attempt.splitter.is_broken_off(may_be_empty=may_be_empty):
        return _incomplete(attempt, 'torn stream', BodyEnd.BROKEN)
    _begin_answer(attempt, head)
    attempt.pending += attempt.splitter.rest
    if attempt.pending:
        _write_pending(attempt)
    return _finish_answer(attempt)


def _pass_on_events(attempt, head, data):
    """Write the complete events of a stream to the caller.

    Explanation
    ===========

    What doesn't bring the stream on begins no answer and closes no other
    attempt. Comments keep an answer alive that has begun; events without an
    identifier that they need wait until it goes on.
    """
    if attempt.has_first_event and not attempt.has_gone_on:
        note_going_on(attempt)
    splitter = attempt.splitter
    attempt.pending += splitter.feed(data)
    if splitter.brings_on:
        _note_event(attempt, head)
    else:
        attempt.silence.note_no_progress(
            len(data), may_be_answer=not splitter.is_out_of_turn
        )
        reason = _bound_reason(splitter)
        _count_toward_bound(attempt, data, MAX_EVENT_BYTES, reason)
    may_write = splitter.brings_on or _keeps_alive(attempt)
    if attempt.pending and may_write:
        _write_pending(attempt, splitter.waiting)


def _note_event(attempt, head):
    """Begin the answer with an event that brings the stream on."""
    _note_life(attempt)
    attempt.no_progress_bytes = len(attempt.splitter.rest)
    if not attempt.has_first_event:
        attempt.has_first_event = True
        attempt.view.streams += 1
        attempt.first_at = attempt.core.clock.seconds()
        learn_first_event(attempt)
        note_event(attempt.core, attempt.exchange, attempt.view)
    _begin_answer(attempt, head)


def _keeps_alive(attempt):
    """Return whether what is pending may be written without a new event."""
    contest = attempt.contest
    if contest.holder is not attempt or contest.is_contested(attempt):
        return False
    return not attempt.splitter.is_out_of_turn


def _write_pending(attempt, kept=0):
    """Write what is pending, but for some bytes at its end."""
    size = len(attempt.pending) - kept
    attempt.answer.write(bytes(attempt.pending[:size]))
    attempt.pending = attempt.pending[size:]


def _bound_reason(splitter):
    is_one_event = len(splitter.rest) > MAX_EVENT_BYTES // 2
    return ENDLESS_EVENT if is_one_event else NO_PROGRESS


def _count_toward_bound(attempt, data, limit, reason):
    """Count bytes that bring nothing yet; over the limit, give up."""
    attempt.no_progress_bytes += len(data)
    if attempt.no_progress_bytes <= limit or attempt.endless:
        return
    attempt.endless = reason
    attempt.call.cancel()
    attempt.end_body(BodyEnd.ENDLESS)


def _begin_answer(attempt, head):
    """Claim the answer, and begin it if no attempt has."""
    attempt.contest.claim(attempt)
    if not attempt.answer.begun:
        attempt.answer.begin(
            head.code, head.phrase, _header_pairs(attempt, head)
        )


def _finish_answer(attempt):
    attempt.contest.end_production()
    attempt.answer.finish()
    return Delivered()


async def _read_body(attempt, head, pass_on):
    """Pass a body's data to a function; return its :class:`BodyEnd`.

    Parameters
    ==========

    pass_on : function
        Called with each part of the body.
    """
    ended = Deferred(lambda _: attempt.call.cancel())

    def end(body_end):
        if not ended.called:
            ended.callback(body_end)

    def receive(data):
        attempt.received.size += len(data)
        pass_on(data)

    attempt.end_body = end
    attempt.received.framing = attempt.call.framing
    producer = attempt.call.deliver(head, receive, end)
    attempt.silence.backpressure = Backpressure(
        producer, attempt.silence.note_resumed, attempt.core.clock
    )
    body_end = await ended
    attempt.received.end = body_end.value
    if body_end in _ENDED:
        _note_life(attempt)
    return body_end


def _incomplete(attempt, reason, end):
    if attempt.endless:
        return Lost(attempt.endless, attempt.view.ident, endless=True)
    reason += _END_REASONS.get(end, '')
    return Lost(reason, attempt.view.ident, broken=end in _BROKEN)


def _header_pairs(attempt, head):
    """Return the fields of an answer that its caller gets.

    Explanation
    ===========

    With the length, a caller notices by itself if a part is missing. That of a
    stream isn't passed on, as another upstream may go on with it.
    """
    pairs = [
        (name, value)
        for name, values in head.headers.getAllRawHeaders()
        for value in values
    ]
    is_stream = attempt.streaming and head.code in _SUCCESS_STATUSES
    if has_length(head) and not is_stream and _has_body(attempt, head):
        pairs.append((b'content-length', b'%d' % head.length))
    return pairs


def _has_body(attempt, head):
    """Return whether an answer of its status and method has a body."""
    if head.code in _BODILESS or head.code == _NOT_MODIFIED:
        return False
    return attempt.exchange.method != b'HEAD'
