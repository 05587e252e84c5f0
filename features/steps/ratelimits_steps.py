"""Steps for upstreams that limit their request rates."""

from behave import given, then, when
from twisted.internet.task import Clock

from pollenstile.bench._rateworld import (
    CONTACT_SECONDS,
    RateWorld,
    allowed_arrivals,
)
from pollenstile.ratelimits import StatedRates

_NAME = 'i/1'


@given(
    '{hosts:d} hosts and {upstreams:d} upstreams in {domains:d} failure domains'
    ' that state their rates'
)
def given_world(context, hosts, upstreams, domains):
    context.world = RateWorld(hosts, upstreams, domains)


@when(
    'an upstream states a rate of {rate:g} a second, with {load:g} requests a'
    ' second to all hosts for {seconds:g} seconds'
)
def when_states(context, rate, load, seconds):
    world = context.world
    context.address = world.addresses()[0]
    context.rate = rate
    context.began = world.fleet.clock.seconds()
    world.upstreams.rates[context.address] = rate
    world.schedule_traffic(load, seconds)
    world.advance(seconds)


@then(
    'in no 4 seconds it gets more from the hosts that know than the rate allows'
)
def then_kept(context):
    until = context.world.fleet.clock.seconds()
    most = context.world.most_arrivals(
        context.address,
        context.began + CONTACT_SECONDS,
        until,
        told_only=True,
    )
    allowed = allowed_arrivals(context.rate)
    assert most <= allowed, (most, allowed)


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
