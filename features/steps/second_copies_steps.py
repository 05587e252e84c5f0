"""Steps for upstreams that answer twice, or with two framings at once."""

from behave import then, when

from features.builders import secondcopies
from features.builders.bodyends import closing_host
from features.builders.doubledanswers import (
    DOUBLED,
    DoublingServer,
    outcomes_taken,
)
from features.builders.keptreaders import KEPT_READERS
from features.builders.malformed import ROUTES, received_through
from pollenstile.forward._secondanswer import SecondAnswerSearch

_FAULTS = {
    'a second answer': secondcopies.second_answers(
        'half of an answer with a length'
    ),
    'a length that contradicts': secondcopies.contradictions(500),
}


@when('a length of {size:d} is sent beside chunks and read {path}')
def when_contradicts(context, size, path):
    answers = secondcopies.contradictions(size)
    context.results = secondcopies.received_by_all(answers, path)


@when('{first} is sent and then a second one, both read {path}')
def when_twice(context, first, path):
    answers = secondcopies.second_answers(first)
    context.results = secondcopies.received_by_all(answers, path)


@when('bodies are sent that look like a second answer in part')
def when_sound(context):
    host = secondcopies.TwiceHost('directly')
    context.add_cleanup(host.stop)
    context.results = []
    for sent, body in secondcopies.sound_answers():
        for kind in ROUTES:
            # A stream ends between events.
            if kind in {'stream', 'resumable'} and not body.endswith(b'\n\r\n'):
                continue
            got = host.received(sent, kind)
            context.results.append((sent, kind, body, got))


@then('no caller gets an answer that is complete of what was sent twice')
def then_incomplete(context):
    wrong = [
        (sent.name, kind, got.status, got.body)
        for sent, kind, got in context.results
        if got.status != 502 and got.body is not None
    ]
    assert not wrong, f'{len(wrong)} of {len(context.results)}: {wrong}'


@then('each caller gets the first answer alone')
def then_first(context):
    wrong = [
        (sent.name, kind, got.status, got.body)
        for sent, kind, got in context.results
        if (got.status, got.body) != (200, secondcopies.BODY)
    ]
    assert not wrong, f'{len(wrong)} of {len(context.results)}: {wrong}'


@then('each caller gets all of the body')
def then_all(context):
    wrong = [
        (sent.parts, kind, got.status, got.body)
        for sent, kind, body, got in context.results
        if (got.status, got.body) != (200, body)
    ]
    assert not wrong, f'{len(wrong)} of {len(context.results)}: {wrong[:20]}'


def _bytes_searched(ident, received):
    """Return the bytes after which a second head was found; 0 if it wasn't."""
    search = SecondAnswerSearch(b'x-attempt', ident)
    for number, byte in enumerate(received, 1):
        search.feed(bytes((byte,)))
        if search.is_found:
            return number
    return 0


def _is_found(ident, parts):
    search = SecondAnswerSearch(b'x-attempt', ident)
    for part in parts:
        search.feed(part)
    return search.is_found


@when('a second head is received in three parts, cut at any two bytes')
def when_cut(context):
    head = b'HTTP/1.1 200 OK\r\nDate: now\r\nX-Attempt: a1\r\n'
    whole = b'HTHTTP/1.%s' % head
    context.whole = whole
    context.missed = []
    context.wrong = []
    for first in range(len(whole) + 1):
        for second in range(first, len(whole) + 1):
            parts = whole[:first], whole[first:second], whole[second:]
            if not _is_found(b'a1', parts):
                context.missed.append(parts)
            if _is_found(b'a', parts):
                context.wrong.append(parts)


@then("it is found with its last byte, and not in a body that it doesn't echo")
def then_found(context):
    assert not context.missed, context.missed
    assert not context.wrong, context.wrong
    found = _bytes_searched(b'a1', context.whole)
    assert found == len(context.whole), found


@when('the first of two upstreams answers an idempotent request twice')
def when_other(context):
    host = closing_host(upstreams=2)
    context.add_cleanup(host.stop)
    twice = secondcopies.second_answers('an answer without a length')
    context.results = []
    for sent in twice:
        if len(sent.parts) > 1:
            continue
        host.first_replies = list(sent.parts)
        host.reply = secondcopies.whole_answer()
        got = received_through(host, ROUTES['idempotent'])
        context.results.append((sent, got))


@then('its caller gets the whole answer of the other one')
def then_other(context):
    assert context.results
    for sent, got in context.results:
        expected = (200, secondcopies.BODY, 2)
        assert (got.status, got.body, got.runs) == expected, (sent, got)


@when('{fault} is sent to a request that may run once')
def when_logged(context, fault):
    host = secondcopies.TwiceHost('directly')
    context.add_cleanup(host.stop)
    host.received(_FAULTS[fault][0], 'once')
    context.lines = host.lines


@then('event {number:d} says "{reason}", and that its body was {end}')
def then_logged(context, number, reason, end):
    logged = [fields for event, fields in context.lines if event == number]
    told = [(fields['reason'], fields['end']) for fields in logged]
    assert told == [(reason, end)], logged


@when('{name} is answered twice, the second time {moment}')
def when_kept(context, name, moment):
    reader = KEPT_READERS[name]
    context.numbers = reader.numbers_taken(moment)


@then('each later request gets its own answer')
def then_own(context):
    assert context.numbers == [1, 2, 3], context.numbers


@then('each later request gets its own answer or none')
def then_own_or_none(context):
    first, *later = context.numbers
    wrong = [
        (number, taken)
        for number, taken in enumerate(later, 2)
        if taken not in {0, number}
    ]
    assert first == 1 and not wrong, context.numbers


@when('{name} gets {fault} of its answer')
def when_doubled(context, name, fault):
    context.server = DoublingServer(DOUBLED[fault])
    context.add_cleanup(context.server.stop)
    context.taken = outcomes_taken(context.server, name)


@then('whatever is taken for an answer is the text before the second one')
def then_text_before(context):
    texts = {outcome.output for _, outcome in context.taken}
    assert texts == {'w'}, context.taken


@when('the upstream sends bodies of a length that end in a part of a head')
def when_open(context):
    context.results = []
    for sent, body in secondcopies.cut_heads():
        context.host.reply = sent.parts[0]
        got = received_through(context.host, ROUTES['once'])
        context.results.append((sent, 'once', body, got))


@when('{count:d} MB is searched of a head whose {part} never ends')
def when_endless(context, count, part):
    context.search = SecondAnswerSearch(b'x-attempt', b'a1')
    first, repeated = secondcopies.ENDLESS_HEADS[part]
    context.search.feed(first)
    context.most = 0
    for _ in range(count * 1_000_000 // len(repeated)):
        context.search.feed(repeated)
        context.most = max(context.most, len(context.search.line))


@then(
    'at most {count:d} kB of them are kept, and a second head after them is'
    ' found'
)
def then_bounded(context, count):
    assert context.most <= count * 1024, context.most
    context.search.feed(b'\nHTTP/1.1 200 OK\nX-Attempt: a1\n')
    assert context.search.is_found
