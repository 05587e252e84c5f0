"""Steps for one host, queue or allocation of a limited upstream."""

from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.forward import (
    NAMES,
    SERVICE,
    ForwardScenario,
)
from features.builders.ratelimits import (
    LimitedQueue,
    RandomHosts,
    RecordingHub,
)

from pollenstile.forward import Lost, PeerHost
from pollenstile.ratelimits import (
    NEWS_SUBJECT,
    Allocation,
    RatedUpstream,
    RateLimits,
    RateSharing,
    capacity,
)
from pollenstile.standin.limited import most_in_window


@given('a queue whose only worker accepts {rate:g} call a second')
def given_queue(context, rate):
    context.queue = LimitedQueue(rate)


@when('{count:d} pieces wait for {seconds:g} seconds')
def when_pieces_wait(context, count, seconds):
    context.queue.run(count, seconds)


@then('it has made at least {least:d} and at most {most:d} calls')
def then_calls(context, least, most):
    count = len(context.queue.called_at)
    assert count in range(least, most + 1), context.queue.called_at


def _limit(story, views):
    for view in views:
        story.core.rates.stated.note_answer(
            view.incarnation, ['1'], is_proof=True
        )


@given('a forwarded "{kind}" request to upstreams that are limited, but one')
def given_one_open(context, kind):
    context.story = ForwardScenario(kind)
    views = context.story.registry.usable(SERVICE)
    _limit(context.story, views[:-1])
    context.open_address = views[-1].address


@given('the host that allocates their rates does not answer')
def given_silent_allocator(context):
    rates = context.story.core.rates
    rates.update_hosts({f'h{number}': 'd' for number in range(20)})
    rates.reach.ask = lambda host, body: Deferred()


@when('the forwarded request starts')
def when_story_starts(context):
    context.story.start()


@then('it is sent to the one without a limit')
def then_open(context):
    addresses = [call.address for call in context.story.calls]
    assert addresses == [context.open_address], addresses


@given('a forwarded "{kind}" request to upstreams that are all limited')
def given_all_limited(context, kind):
    context.story = ForwardScenario(kind)
    _limit(context.story, context.story.registry.usable(SERVICE))
    # Allocations open when no token of an earlier allocator can be valid.
    context.story.clock.advance(3.0)


@when('{count:d} forwarded requests arrive at once')
def when_many_arrive(context, count):
    context.urgencies = {
        f'r{number}': count - number for number in range(count)
    }
    context.answers = [
        context.story.start_another(ident, urgency)
        for ident, urgency in context.urgencies.items()
    ]


@then(
    "those that can't be sent in time are refused at once, with when to come"
    ' back'
)
def then_refused(context):
    refusals = [
        answer.refusal
        for answer in context.answers
        if answer.refusal is not None
    ]
    assert refusals
    for refusal in refusals:
        assert (refusal.status, refusal.reason) == (503, 'limited'), refusal
        assert refusal.retry_after >= 1, refusal


@when('the answers to those that were sent are lost after a second')
def when_sent_lost(context):
    for _ in range(10):
        context.story.clock.advance(0.1)
    for call in list(context.story.calls):
        call.head.callback(Lost('reset', 'i0'))


@then('those that wait are sent in the order of their urgency')
def then_in_order(context):
    story = context.story
    before = len(story.calls)
    for _ in range(20):
        story.clock.advance(0.1)
    sent = [
        context.urgencies[call.headers[NAMES.attempt].decode()]
        for call in story.calls[before:]
    ]
    assert sent, 'nothing was sent'
    assert sent == sorted(sent), sent


@given('an allocation of {rate:g} requests a second')
def given_allocation(context, rate):
    context.rate = rate
    context.allocation = Allocation(0.0)


@when('9 hosts ask at random for {seconds:g} seconds, by seed {seed:d}')
def when_ask_at_random(context, seconds, seed):
    hosts = RandomHosts(context.allocation, context.rate, Random(seed))
    context.used_at = hosts.run(seconds)


@then(
    'in no 4 seconds more tokens were used than the rate and the capacity permit'
)
def then_tokens(context):
    permitted = 4 * context.rate + capacity(context.rate)
    assert context.used_at
    assert most_in_window(context.used_at) <= permitted


@then('a line tells for each refused one which rate held it back')
def then_refusal_lines(context):
    lines = context.story.lines('rate-held-back')
    told = [line for line in lines if line['choice'] == 'refuse']
    refused = [
        answer for answer in context.answers if answer.refusal is not None
    ]
    assert len(told) == len(refused), (len(told), len(refused))
    assert {line['rate'] for line in told} == {1.0}


@then('the gauges tell the rate of each upstream, and what was held back')
def then_gauges(context):
    rates = context.story.core.rates
    upstreams = context.story.registry.usable(SERVICE)
    names = {view.incarnation for view in upstreams}
    assert rates.stated.limited() == dict.fromkeys(names, 1.0)
    assert sum(rates.client.held_back().values()) >= len(context.answers) - 3


@given('a host that has allocated the rates of {count:d} upstreams')
def given_allocations(context, count):
    context.clock = Clock()
    context.limits = RateLimits(context.clock, Random(1), 'h', 'd')
    context.limits.update_hosts({})
    for number in range(count):
        upstream = RatedUpstream(f'i{number}/0', 's', 'd')
        context.limits.stated.note_answer(upstream.name, ['1'], is_proof=True)
        context.limits.note_held_back(upstream, f'r{number}')
        context.limits.replenished(upstream)


@when('{seconds:g} seconds pass, and one of them is still registered')
def when_most_are_gone(context, seconds):
    context.clock.advance(seconds)
    context.limits.forget_old({'i7/0'})


@then("the host knows of one upstream's rate, allocation, tokens and order")
def then_forgotten(context):
    limits = context.limits
    assert list(limits.stated.by_name) == ['i7/0']
    assert list(limits.allocators.by_name) == ['i7/0']
    assert list(limits.client.by_name) == ['i7/0']
    assert list(limits.ranking.orders) == [('i7/0', 'd')]


@given(
    'a forwarded "{kind}" request with stage work, to upstreams that are all'
    ' limited'
)
def given_staged(context, kind):
    context.story = ForwardScenario(kind, staged=True)
    _limit(context.story, context.story.registry.usable(SERVICE))
    # Allocations open when no token of an earlier allocator can be valid.
    context.story.clock.advance(3.0)


@when('one with stage work that is less urgent than they')
def when_staged_arrives(context):
    urgency = max(context.urgencies.values()) + 1
    context.staged = context.story.start_another('staged', urgency, (2,))


@then(
    'it is refused with a line that tells which rate held it back, and no stage'
    ' work was done'
)
def then_refused_early(context):
    story = context.story
    assert context.staged.refusal.reason == 'limited', context.staged.refusal
    told = [
        line
        for line in story.lines('rate-held-back')
        if line['request'] == 'staged' and line['choice'] == 'refuse'
    ]
    assert len(told) == 1, told
    assert not story.stages.made


@given('a host that shares rates with its peers')
def given_sharing(context):
    context.hub = RecordingHub()
    limits = RateLimits(context.hub.clock, Random(1), 'h', 'd')
    peers = {'p': PeerHost('p:1', 'd')}
    context.sharing = RateSharing(context.hub, limits, peers)


@when("a peer sends it news that can't be read")
def when_unreadable_news(context):
    assert context.hub.refuses(NEWS_SUBJECT, b'nonsense')


@when('the host itself learns that an upstream is limited')
def when_learns(context):
    stated = context.sharing.limits.stated
    stated.note_answer('i/0', ['1'], is_proof=True)
    context.hub.clock.advance(1.0)


@then('it tells that peer as well')
def then_told(context):
    assert context.hub.asked == [('p', NEWS_SUBJECT)], context.hub.asked
