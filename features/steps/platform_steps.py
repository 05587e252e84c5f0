"""Steps for writes, budget and brown-outs of the platform client."""

from behave import given, then, when

from features.builders.loop import advance_in_steps, collect_result
from features.builders.platform import World
from pollenstile.platform import Budget

_KINDS = ('claims', 'leases', 'config', 'status')


def _outcome_name(kept):
    assert kept, 'no outcome yet'
    return type(kept[0]).__name__


@given('a platform store with the manifest of "{writer}"')
def step_store(context, writer):
    context.world = World()
    collect_result(context.world.put_manifest(writer, 0))


@given('the platform store loses the next response')
def step_lose_answer(context):
    context.world.store.lose_answers = 1


@given('the platform store loses the next {count:d} responses')
def step_lose_answers(context, count):
    context.world.store.lose_answers = count


@given('the platform store loses the next request')
def step_lose_request(context):
    context.world.store.lose_requests = 1


@given('the platform store takes {seconds:g} seconds for each call')
def step_latency(context, seconds):
    context.world.store.latency = seconds


@when('writer "{writer}" puts the manifest over its version')
@when('writer "{writer}" starts to put the manifest over its version')
def step_put(context, writer):
    context.results = collect_result(context.world.put_manifest(writer, 1))


@when('the platform store answers immediately again after {seconds:g} seconds')
def step_fast_again(context, seconds):
    advance_in_steps(context.world.clock, seconds)
    assert not context.results
    context.world.store.latency = 0


@when('{seconds:g} platform seconds pass')
def step_pass(context, seconds):
    advance_in_steps(context.world.clock, seconds)


@when('writer "{one}" and writer "{other}" put the manifest over its version')
def step_race(context, one, other):
    world = context.world
    world.store.latency = 0.01
    context.racing = [
        collect_result(world.put_manifest(one, 1)),
        collect_result(world.put_manifest(other, 1)),
    ]
    advance_in_steps(world.clock, 10)


@when(
    'writer "{one}" puts the manifest and "{other}" overwrites it before the read-back'
)
def step_follow(context, one, other):
    world = context.world
    world.store.latency = 0.1
    context.results = collect_result(world.put_manifest(one, 1))
    world.clock.advance(0.06)
    collect_result(world.put_manifest(other, world.store.objects.revision))
    advance_in_steps(world.clock, 10)


@when('writer "{writer}" puts the manifest and the store goes down')
def step_put_down(context, writer):
    world = context.world
    world.store.latency = 0.1
    context.results = collect_result(world.put_manifest(writer, 1))
    world.clock.advance(0.06)
    world.store.down = True
    advance_in_steps(world.clock, 30)


@when('writer "{writer}" puts the manifest with a budget of 2 calls')
def step_put_budget(context, writer):
    world = context.world
    before = world.store.calls.total()
    client = world.make_paced(rate=0.001, burst=5)
    context.results = collect_result(world.put_manifest(writer, 1, client))
    advance_in_steps(world.clock, 30)
    assert world.store.calls.total() - before == 2, world.store.calls


@then('the platform client logged "{name}" at least once')
def step_logged_some(context, name):
    assert name in context.world.recorder.events


@then('the platform write ends as "{name}"')
def step_ends(context, name):
    assert _outcome_name(context.results) == name, context.results


@then('the racing platform writes end as "{one}" and "{other}"')
def step_racing_end(context, one, other):
    ends = [_outcome_name(kept) for kept in context.racing]
    assert ends == [one, other], context.racing


@then(
    'the platform store has the manifest of "{writer}", written {count:d} times'
)
def step_has_manifest(context, writer, count):
    objects = context.world.store.objects
    assert objects.found('config', 'manifest').value['writer'] == writer
    assert objects.revision == count, objects.revision


@given('a paced platform client')
def step_paced(context):
    context.world = World()
    context.clients = [context.world.make_paced()]


@given('{count:d} paced platform clients')
def step_paced_many(context, count):
    context.world = World()
    context.clients = [
        context.world.make_paced(seed=seed) for seed in range(count)
    ]


@given(
    'a paced platform client of {rate:d} calls per second and a burst of {burst:d}'
)
def step_paced_budget(context, rate, burst):
    context.world = World()
    context.clients = [context.world.make_paced(rate, burst)]


@given(
    'a paced platform client of {rate:d} calls and {writes:d} writes per second'
)
def step_paced_writes(context, rate, writes):
    context.world = World()
    context.clients = [context.world.make_paced(rate, rate)]
    context.clients[0].write_budget = Budget(writes, 8, 0.0)


@then('a platform read is answered immediately')
def step_read_served(context):
    kept = collect_result(context.clients[0].get('claims', 'one'))
    assert _outcome_name(kept) == 'Found', kept


def _run_calls(context, seconds, rate, kinds=_KINDS):
    world = context.world
    context.calls = []
    context.ticks = []
    context.pending = []
    for tick in range(round(seconds * rate)):
        before = world.store.calls.total()
        for number, client in enumerate(context.clients):
            kind = kinds[(tick + number) % len(kinds)]
            put = client.put(kind, 'one', tick)
            context.calls.append((kind, collect_result(put)))
        world.clock.advance(1 / rate)
        context.ticks.append(world.store.calls.total() - before)
        context.pending.append(
            sum(not kept for _, kept in context.calls[-500:])
        )


def _written_kinds(calls):
    return {
        kind
        for kind, kept in calls
        if kept and _outcome_name(kept) == 'Written'
    }


@when(
    'the platform store is down for {seconds:d} seconds with {rate:d} calls per second'
)
def step_down(context, seconds, rate):
    context.world.store.down = True
    _run_calls(context, seconds, rate)


@when(
    'the platform store is down for {seconds:d} seconds with {rate:d} claims'
    ' per second',
)
def step_down_claims(context, seconds, rate):
    context.world.store.down = True
    _run_calls(context, seconds, rate, ('claims',))


@when(
    'the platform store is slow for {seconds:d} seconds with {rate:d} calls per second'
)
def step_slow(context, seconds, rate):
    _run_calls(context, seconds, rate)


@when(
    '"{one}" is called {often:d} and "{other}" {less:d} times per second for {seconds:d} seconds'
)
def step_two_kinds(context, one, often, other, less, seconds):
    world = context.world
    client = context.clients[0]
    context.calls = []
    for tick in range(seconds * often):
        kinds = [one]
        if tick % (often // less) == 0:
            kinds.append(other)
        for kind in kinds:
            put = client.put(kind, 'one', tick)
            context.calls.append((kind, collect_result(put)))
        world.clock.advance(1 / often)


@then('the platform store received at most {count:d} calls in that time')
def step_received(context, count):
    seen = context.world.store.calls.total()
    assert 0 < seen <= count, seen


@then('each platform call was answered immediately or within its timeout')
def step_all_answered(context):
    assert all(kept for _, kept in context.calls)
    assert not _written_kinds(context.calls)


@then('the platform client logged "{name}" once')
def step_logged(context, name):
    events = context.world.recorder.events
    assert events.count(name) == 1, events


@then(
    '{seconds:d} seconds after the platform store recovers each kind is served'
)
def step_back(context, seconds):
    context.world.store.down = False
    context.world.store.latency = 0
    _run_calls(context, seconds, 50)
    assert _written_kinds(context.calls) == set(_KINDS), _written_kinds(
        context.calls
    )


@then(
    'the platform store had at most {count:d} calls in flight after 20 seconds'
)
def step_in_flight(context, count):
    later = context.pending[20 * 50 :]
    assert 0 < max(later) <= count, max(later)


@then('after 20 seconds no quarter of a second had {count:d} platform calls')
def step_no_burst(context, count):
    later = context.ticks[20 * 4 :]
    assert 0 < max(later) < count, max(later)


@then('platform calls of "{kind}" were all sent')
def step_all_sent(context, kind):
    names = [_outcome_name(kept) for one, kept in context.calls if one == kind]
    assert names and set(names) == {'Written'}, names
