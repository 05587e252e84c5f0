"""Steps for the rates that upstreams state, and their encoding."""

from behave import given, then, when
from twisted.internet.task import Clock

from pollenstile.peer import BadMessageError
from pollenstile.ratelimits import (
    RateNews,
    StatedRates,
    decode_news,
    encode_news,
)

_NAME = 'i/1'


@given('an upstream that a host knows nothing of')
def given_unknown(context):
    context.logged = []
    context.clock = Clock()
    context.rates = StatedRates(
        context.clock,
        lambda event, **fields: context.logged.append(event.name),
    )


@when('its answer states "{header}"')
def when_answer(context, header):
    context.rates.note_answer(_NAME, [header], is_proof=True)


@when('{count:d} answers state "{header}"')
def when_answers(context, count, header):
    for _ in range(count):
        context.rates.note_answer(_NAME, [header], is_proof=True)


@when('an answer without a rate proves nothing')
def when_unproved(context):
    context.rates.note_answer(_NAME, [], is_proof=False)


@when('an answer without a rate proves whose it is')
def when_proved(context):
    context.rates.note_answer(_NAME, [], is_proof=True)


@then('its known rate is {rate:g}')
def then_rate(context, rate):
    assert context.rates.rate(_NAME) == rate, context.rates.rate(_NAME)


@then('one line tells of an unreadable rate')
def then_unreadable(context):
    assert context.logged.count('rate-unreadable') == 1, context.logged


@when('the upstream of forwarded send 0 has stated a rate of {rate:g} a second')
def when_forwarded_states(context, rate):
    context.story.calls[0].answer(rate=f'{rate:g}')
    context.story.calls[0].body(b'whole')


@then('a line tells of the rate of that upstream')
def then_line(context):
    assert context.story.lines('forwarded')[0]['rate'] == 0
    stated = context.story.lines('upstream-limited')
    assert [line['rate'] for line in stated] == [2.0], stated


@given('an encoded statement of a rate of {rate:g}')
def given_encoded(context, rate):
    context.encoded = encode_news([RateNews(_NAME, rate, 0.0)], 0.0)


@then('decoding it fails')
def then_decoding_fails(context):
    try:
        decode_news(context.encoded, 0.0)
    except BadMessageError:
        return
    raise AssertionError('decoded')
