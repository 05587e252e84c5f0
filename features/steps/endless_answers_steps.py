"""Steps for upstreams whose bytes are no answer and have no end."""

from behave import given, then, when

from features.builders.endless import (
    HEADS,
    EndlessScenario,
    Splitting,
    long_event_parts,
    long_head,
)
from features.builders.forward import SERVICE, event_bytes
from features.builders.forwardhost import ForwardHost, request
from features.builders.framing import split_answer
from pollenstile.forward._learning import learn_no_progress, learn_success

_KILOBYTE = 1000


def _scenarios(context):
    return [
        EndlessScenario(row['route'], row['bytes']) for row in context.table
    ]


@given('a host whose upstream keeps each connection open')
def given_open(context):
    context.host = ForwardHost()
    context.add_cleanup(context.host.stop)


@when('the upstream answers a request that may run once with endless heads')
def when_heads(context):
    context.received = {}
    for form, head in HEADS.items():
        context.host.reply = head
        connection = context.host.exchange(request(), b'\n')
        context.received[form] = connection.received


@when('forwarded send {place:d} streams events with the identifiers "{idents}"')
def when_idents(context, place, idents):
    context.late_events = []
    call = context.story.calls[place]
    call.answer()
    for number, ident in enumerate(idents.split(',')):
        call.on_data(_event(ident, number))
        if b'piece %d' % number not in context.story.answer.content:
            context.late_events.append(number)


@when(
    'forwarded send {place:d} fails with {code:d} and {size:d} kB of a stated '
    'length'
)
def when_fails(context, place, code, size):
    call = context.story.calls[place]
    body = bytes(size * _KILOBYTE)
    call.answer(code, length=len(body))
    call.body(body)
    context.failure = (code, body)


@then('the caller of the forwarded request has that failure')
def then_failure(context):
    answer = context.story.answer
    assert (answer.status, answer.content) == context.failure, answer.status


def _event(ident, number):
    field = {'': '', 'empty': 'id:\n'}.get(ident, f'id: {ident}\n')
    return f'{field}data: piece {number}\n\n'.encode()


@then('the caller of the forwarded request has each event at once')
def then_at_once(context):
    assert not context.late_events, context.late_events


@when('the first upstreams of some requests send megabytes of')
def when_flood(context):
    context.scenarios = _scenarios(context)
    for scenario in context.scenarios:
        scenario.flood()


@when('the first upstreams of some requests drip for {seconds:g} seconds')
def when_drip(context, seconds):
    context.scenarios = _scenarios(context)
    for scenario in context.scenarios:
        scenario.drip(seconds)


@then('the caller of each gets {status:d} "{reason}"')
def then_refused(context, status, reason):
    for form, received in context.received.items():
        assert received.startswith(b'HTTP/1.1 %d' % status), (
            form,
            received[:200],
        )
        assert reason.encode() in received, (form, received[:200])


@then('another upstream is asked beside each of them')
def then_beside(context):
    for scenario in context.scenarios:
        calls = scenario.story.calls
        assert len(calls) == 2, scenario.form
        assert not calls[0].cancelled, scenario.form


@then('each of them is answered whole by another upstream')
def then_elsewhere(context):
    for scenario in context.scenarios:
        assert len(scenario.story.calls) == 2, scenario.form
        scenario.answer_elsewhere()
        assert scenario.is_whole(), (
            scenario.form,
            scenario.story.answer.end,
            scenario.story.answer.content[:200],
        )


@when(
    'the upstream answers with {count:d} interim heads and {size:d} bytes of lines'
)
def when_long_head(context, count, size):
    context.host.reply = long_head(count, size)
    context.connection = context.host.exchange_whole(request())


@then('the caller gets a complete 200')
def then_complete(context):
    received = context.connection.received
    assert received.startswith(b'HTTP/1.1 200'), received[:200]
    _, content, is_complete = split_answer(received)
    assert is_complete and content == b'done', received[-200:]


@when('a stream is split that brings {size:d} MB of an event in parts of 1 kB')
def when_split(context, size):
    context.splitting = Splitting(size * 1000)


@then('each part of it takes less than {size:d} kB of new memory on average')
def then_linear(context, size):
    assert context.splitting.mean_bytes < size * 1000, context.splitting


@then('the event is returned as it was sent')
def then_same(context):
    assert context.splitting.returned == context.splitting.sent


def _receive(context, data):
    context.sent = getattr(context, 'sent', b'') + data
    call = context.story.calls[0]
    if not call.head.called:
        call.answer()
    call.on_data(data)


@when(
    'its upstream sends {count:d} events of {size:d} kB in parts of 1 kB,'
    ' and comments'
)
def when_long_events(context, count, size):
    for part in long_event_parts(count, size):
        _receive(context, part)


@when('its upstream sends a comment')
def when_comment(context):
    _receive(context, b': soon\n\n')


@when('its upstream sends an event and a comment')
def when_event_and_comment(context):
    _receive(context, event_bytes(1))
    _receive(context, b': on\n\n')


@when('its upstream sends {count:d} parts of an answer without a length')
def when_unstated(context, count):
    for _ in range(count):
        _receive(context, b'x' * 32768)


@when('its upstream ends the answer')
def when_ends(context):
    context.story.calls[0].body()


@given('{size:d} MB of other answers are held back')
def given_held(context, size):
    context.story.core.held.total = size * 1024 * 1024


@then("the caller's answer has not begun")
def then_not_begun(context):
    assert not context.story.answer.begun


@then('the caller has got all of it as it was sent')
def then_as_sent(context):
    assert context.story.answer.content == context.sent


@then('no bytes of answers are held back')
def then_none_held(context):
    assert context.story.core.held.total == 0, context.story.core.held


@when(
    'its upstream sends {count:d} parts of an answer without a length,'
    ' {seconds:g} s apart'
)
def when_slow(context, count, seconds):
    for _ in range(count):
        _receive(context, b'x' * 1024)
        context.story.clock.advance(seconds)


@when('its upstream sends an event in parts for {seconds:g} seconds')
def when_slow_event(context, seconds):
    _receive(context, b'id: 1\ndata: ')
    when_slow(context, int(seconds * 10), 0.1)


@when('its upstream ends the event and the stream')
def when_event_ends(context):
    _receive(context, b'\n\n')
    context.story.calls[0].body()


@given('a request whose first upstream sends bytes that have no end')
def given_endless(context):
    scenario = EndlessScenario('resumable', 'one event')
    scenario.flood()
    context.story = scenario.story


@given('a request whose first upstream sends bytes that drip without end')
def given_dripping(context):
    scenario = EndlessScenario('resumable', 'one event')
    scenario.drip(1.6)
    context.story = scenario.story


@when('that upstream answers another request')
def when_answers_well(context):
    learn_success(_first_view(context), 0.1)


@when('the bytes of all other upstreams are no answers')
def when_all_no_progress(context):
    for view in context.story.registry.usable(SERVICE):
        learn_no_progress(view, context.story.clock.seconds())


@then('event {number:d} names that upstream')
def then_named(context, number):
    lines = context.story.lines('upstream-without-progress')
    assert [line['peer'] for line in lines] == [_first_view(context).ident]


def _first_view(context):
    address = context.story.calls[0].address
    views = context.story.registry.usable(SERVICE)
    return next(view for view in views if view.address == address)
