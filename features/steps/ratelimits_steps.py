"""Steps for upstreams that limit their request rates."""

from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.forward import NAMES, SERVICE, ForwardScenario
from features.builders.loop import result_of
from features.builders.ratelimits import (
    LimitedQueue,
    RandomHosts,
    listen_rated,
)
from features.builders.requests import World, requests_manifest
from features.builders.requests_http import Caller
from pollenstile.bench._ratefaults import inject_fault
from pollenstile.bench._rateworld import (
    CONTACT_SECONDS,
    RateWorld,
    allowed_arrivals,
)
from pollenstile.forward import incarnation_of
from pollenstile.outcomes import Answered, Refused
from pollenstile.peer import BadMessageError
from pollenstile.ratelimits import (
    NEWS_SUBJECT,
    Allocation,
    RateNews,
    StatedRates,
    capacity,
    decode_news,
    encode_news,
)
from pollenstile.standin.limited import most_in_window

_NAME = 'i/1'
# Seconds from the start of a rate until its use is counted.
_STEADY_SECONDS = 5.0


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


@given('the fault "{fault}" while an upstream states its rate')
def given_fault(context, fault):
    context.world.advance(2.0)
    inject_fault(context.world, context.world.addresses()[0], fault)


@then('in no 4 seconds it gets more from all hosts than the rate allows')
def then_kept_by_all(context):
    until = context.world.fleet.clock.seconds()
    since = context.began + CONTACT_SECONDS
    most = context.world.most_arrivals(context.address, since, until)
    allowed = allowed_arrivals(context.rate)
    assert most <= allowed, (most, allowed)


@then('it gets at least {share:g} of what the rate permits')
def then_used(context, share):
    until = context.world.fleet.clock.seconds()
    since = context.began + _STEADY_SECONDS
    upstreams = context.world.upstreams
    arrivals = upstreams.arrivals_at(context.address, since, until)
    permitted = context.rate * (until - since)
    assert len(arrivals) >= share * permitted, (len(arrivals), permitted)


@then(
    'from {seconds:g} seconds after its first statement it gets no more than a'
    ' rate of {rate:g} allows'
)
def then_lowered(context, seconds, rate):
    until = context.world.fleet.clock.seconds()
    since = context.began + seconds
    most = context.world.most_arrivals(context.address, since, until)
    assert most <= allowed_arrivals(rate), most


def _tell(context, host, rate):
    """Let a host hear the first upstream's rate."""
    process = next(iter(context.world.upstreams.processes.values()))
    context.upstream_name = f'{process.ident}/0'
    values = [str(rate)] if rate else []
    host.core.rates.stated.note_answer(
        context.upstream_name, values, is_proof=True
    )


@when('one host is told that an upstream accepts {rate:g} request a second')
def when_told(context, rate):
    _tell(context, context.world.fleet.running()[-1], rate)


@when('that host is told that it accepts any number')
def when_told_over(context):
    _tell(context, context.world.fleet.running()[-1], 0)


def _limited_hosts(context):
    return [
        host.name
        for host in context.world.fleet.running()
        if host.core.rates.stated.rate(context.upstream_name)
    ]


@then('all hosts know of the limit within {seconds:g} seconds')
def then_all_know(context, seconds):
    context.world.advance(seconds)
    running = context.world.fleet.running()
    assert len(_limited_hosts(context)) == len(running)


@then('no host knows of a limit after {seconds:g} seconds')
def then_none_knows(context, seconds):
    context.world.advance(seconds)
    assert not _limited_hosts(context), _limited_hosts(context)


@when('another host joins')
def when_joins(context):
    context.world.advance(1.0)
    domain = context.world.fleet.running()[0].domain
    context.world.fleet.add_host('h-new', domain)
    context.world.advance(3.0)


@when(
    'one host is told {count:d} times in {seconds:g} seconds that an upstream is'
    ' limited, and that it is not'
)
def when_flips(context, count, seconds):
    world = context.world
    host = world.fleet.running()[-1]
    context.sent = _count_news(world)
    for number in range(count):
        _tell(context, host, number % 2)
        world.advance(seconds / count)
    world.advance(1.0)


def _count_news(world):
    """Count the messages about rates by receiving and sending host."""
    counts = {}

    def counting(receiver, handle):
        def count_and_handle(sender, body):
            counts[receiver, sender] = counts.get((receiver, sender), 0) + 1
            return handle(sender, body)

        return count_and_handle

    for host in world.fleet.running():
        subjects = host.daemon.parts.hub.requests.subjects
        subjects[NEWS_SUBJECT] = counting(host.name, subjects[NEWS_SUBJECT])
    return counts


@then('no host has sent over {most:d} messages of it to one of its neighbours')
def then_few_messages(context, most):
    assert context.sent
    assert max(context.sent.values()) <= most, context.sent


@when('that upstream crashes, and starts again without a rate')
def when_reborn(context):
    upstreams = context.world.upstreams
    upstreams.rates.pop(context.address)
    upstreams.crash(upstreams.processes[context.address])
    context.world.advance(4.0)
    context.reborn_at = context.world.fleet.clock.seconds()


@then(
    'the new incarnation gets over {most:d} requests in the next {seconds:g}'
    ' seconds'
)
def then_full_use(context, most, seconds):
    context.world.schedule_traffic(25, seconds)
    context.world.advance(seconds)
    arrivals = context.world.upstreams.arrivals_at(
        context.address, context.reborn_at, context.reborn_at + seconds
    )
    assert len(arrivals) > most, arrivals


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
        name = incarnation_of(SERVICE, view).name
        story.core.rates.stated.note_answer(name, ['1'], is_proof=True)


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


@when("the host that allocates a limited upstream's rate leaves")
def when_allocator_leaves(context):
    context.address = context.world.addresses()[0]
    context.left = context.world.allocator(context.address)
    context.left.core.rates.leave()


@then('it ranks another host first for that upstream')
def then_other_first(context):
    process = context.world.upstreams.processes[context.address]
    ranking = context.left.core.rates.ranking
    order = ranking.order(f'{process.ident}/0', process.domain)
    assert order
    assert context.left.name not in order, order


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
    names = {incarnation_of(SERVICE, view).name for view in upstreams}
    assert rates.stated.limited() == dict.fromkeys(names, 1.0)
    assert sum(rates.client.held_back().values()) >= len(context.answers) - 3


def _json_world(context, limited):
    """Build a JSON interface, some of whose encoders accept 1 a second."""
    context.json = World(requests_manifest())
    for name in limited:
        stated = context.json.node.core.rates.stated
        stated.note_answer(name, ['1'], is_proof=True)
    # Allocations open when no token of an earlier allocator can be valid.
    context.json.wait(3.0)


@given(
    'requests to the JSON interface, one of its encoders limited to 1 a second'
)
def given_json(context):
    _json_world(context, ['encoder-1'])


@given('requests to the JSON interface, all encoders limited to 1 a second')
def given_json_all(context):
    _json_world(context, ['encoder-1', 'encoder-2'])


@when('{count:d} JSON requests arrive in {seconds:g} seconds')
def when_json_arrive(context, count, seconds):
    for _ in range(count):
        context.json.send('find')
        context.json.wait(seconds / count)
    context.json.wait(1.0)


@then('the limited encoder gets between {least:d} and {most:d} calls')
def then_json_calls(context, least, most):
    count = context.json.called_names.count('encoder-1')
    assert count in range(least, most + 1), count


@then('every JSON request is answered')
def then_json_answered(context):
    outcomes = [sent.outcome for sent in context.json.sent]
    assert all(isinstance(one, Answered) for one in outcomes), outcomes


@then('some JSON requests are refused as not run, with when to come back')
def then_json_refused(context):
    refused = [
        sent.outcome
        for sent in context.json.sent
        if isinstance(sent.outcome, Refused)
    ]
    assert refused
    for outcome in refused:
        assert outcome.reason == 'limited', outcome
        assert outcome.retry_after >= 1, outcome


@then('each encoder gets at most {most:d} calls')
def then_json_each(context, most):
    for name in ('encoder-1', 'encoder-2'):
        count = context.json.called_names.count(name)
        assert count <= most, (name, count)


@given('an HTTP upstream that states a rate of {rate:g} a second')
def given_http(context, rate):
    context.port = listen_rated(rate)


@when('a JSON call is made over HTTP')
def when_http(context):
    context.caller = Caller(context.port)
    context.caller.call_and_wait()
    result_of(context.port.stopListening())


@then('the rate of {rate:g} a second is noted for that upstream')
def then_http(context, rate):
    assert context.caller.rates == [('one', (f'{rate:g}',), True)]
