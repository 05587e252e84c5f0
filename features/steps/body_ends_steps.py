"""Steps for answers that an upstream ends or breaks off at any byte."""

from behave import given, then, when

from features.builders import bodyends
from features.builders.loop import result_of
from pollenstile.stagework import Result

_LOOKUP_BODY = b'{"a": 1}'
_BODIES_WITHOUT_EVENTS = {'no bytes': b'', 'one comment': b': wait\n\n'}


def _add_host(context, host):
    context.host = host
    context.add_cleanup(host.stop)


@given('a host whose upstream closes each connection after its answer')
def given_closing(context):
    _add_host(context, bodyends.closing_host())


@given('a host with 2 upstreams that close each connection after their answer')
def given_two(context):
    _add_host(context, bodyends.closing_host(upstreams=2))


@given('a host whose upstream resets each connection after its answer')
def given_resetting(context):
    _add_host(context, bodyends.closing_host())
    context.host.resets = True


@when('the upstream ends {route} streams with {framing} at each byte')
def when_each_byte(context, route, framing):
    context.results = []
    for line_end in bodyends.LINE_ENDS.values():
        first = bodyends.stream_event(1, line_end)
        stream = b''.join((first, bodyends.stream_event(2, line_end)))
        for size in range(1, len(stream) + 1):
            body, whole = bodyends.answer_through(
                context.host, route, bodyends.framed(stream[:size], framing)
            )
            between = size in {len(first), len(stream)}
            context.results.append((stream[:size], body, whole, between))


@then('only streams that end between events are ended as complete')
def then_only_between(context):
    assert len(context.results) > 100
    for stream, body, whole, between in context.results:
        assert whole == between, (stream, body)
        if between:
            assert body == stream, (stream, body)
        assert body is None or stream.startswith(body), (stream, body)


@when('the upstream ends a {route} answer of {body} with {framing}')
def when_no_event(context, route, body, framing):
    answer = bodyends.framed(_BODIES_WITHOUT_EVENTS[body], framing)
    context.result = bodyends.answer_through(context.host, route, answer)


@when('the upstream ends the rest of a resumed stream without an event')
def when_no_rest(context):
    context.result = bodyends.answer_through(
        context.host,
        'resumable',
        bodyends.framed(b'', 'chunks'),
        b'Last-Event-Id: 2\r\n',
    )


@when('an upstream breaks off after all events, and another one adds none')
def when_none_added(context):
    events = [bodyends.stream_event(number, b'\n') for number in (1, 2)]
    context.events = b''.join(events)
    whole = bodyends.framed(context.events, 'chunks')
    context.host.first_replies = [whole.removesuffix(bodyends.LAST_CHUNK)]
    context.result = bodyends.answer_through(
        context.host, 'resumable', bodyends.framed(b'', 'chunks')
    )


@then('the caller gets an empty answer that is complete')
def then_empty(context):
    assert context.result == (b'', True), context.result


@then('the caller gets all of these events, and they are complete')
def then_these(context):
    assert context.result == (context.events, True), context.result
    assert len(context.host.seen) == 2, context.host.seen
    assert b'Last-Event-Id: 2\r\n' in context.host.seen[1], context.host.seen


@when('the upstream resets a stream without framing between two events')
def when_reset(context):
    stream = bodyends.stream_event(1, b'\n')
    context.result = bodyends.answer_through(
        context.host, 'stream', bodyends.framed(stream, 'no framing')
    )


@then('the caller gets no answer that is complete')
def then_none_complete(context):
    assert not context.result[1], context.result


@when('an upstream ends a resumable stream with {framing} inside an event')
def when_resumable(context, framing):
    context.framing = framing


@then(
    'the stream is resumed after its last whole event, in lines of {lines}',
)
def then_resumed(context, lines):
    line_end = bodyends.LINE_ENDS[lines]
    events = [bodyends.stream_event(number, line_end) for number in (1, 2, 3)]
    torn = b''.join(events)[: len(events[0]) + len(events[1]) - 1]
    host = context.host
    host.first_replies = [bodyends.framed(torn, context.framing)]
    rest = bodyends.framed(b''.join(events[1:]), context.framing)
    body, whole = bodyends.answer_through(host, 'resumable', rest)
    assert whole, body
    assert body == b''.join(events), body
    assert len(host.seen) == 2, host.seen
    assert b'Last-Event-Id: 1\r\n' in host.seen[1], host.seen[1]


@when('its upstream sends one event in lines of {lines} and half of another')
def when_one_event(context, lines):
    line_end = bodyends.LINE_ENDS[lines]
    context.event = bodyends.stream_event(1, line_end)
    call = context.story.calls[0]
    call.answer()
    call.on_data(b''.join((context.event, b'id: 2', line_end)))


@then('the caller has got just the whole event')
def then_just_event(context):
    content = context.story.answer.content
    assert content == context.event, content


@when('the upstream ends a lookup with no framing at each byte but the first')
def when_lookup(context):
    context.results = []
    for size in range(1, len(_LOOKUP_BODY) + 1):
        sent = _LOOKUP_BODY[:size]
        answer = bodyends.framed(sent, 'no framing')
        context.results.append(
            (sent, bodyends.answer_through(context.host, 'lookup', answer))
        )


@then('each lookup is ended as complete')
def then_lookups(context):
    for sent, (body, whole) in context.results:
        assert whole, sent
        assert body == sent, (sent, body)


@when(
    'the upstream ends the results of a stage call with no framing at each byte'
)
def when_stage_call(context):
    document = b'["a/1","a/2"]'
    context.results = [
        bodyends.stage_call_through(
            context.host, bodyends.framed(document[:size], 'no framing')
        )
        for size in range(len(document) + 1)
    ]


@then('only the complete results are taken')
def then_complete_results(context):
    *torn, complete = context.results
    assert complete == [Result('a/1'), Result('a/2')], complete
    assert not any(isinstance(outcome, list) for outcome in torn), torn


@when('the upstream answers a load poll with no framing')
def when_load(context):
    context.host.reply = bodyends.framed(b'{"running": 3}', 'no framing')
    address = context.host.upstream_address
    context.load = result_of(bodyends.load_poll(address))


@then('its load is read')
def then_load(context):
    assert context.load.running == 3, context.load
