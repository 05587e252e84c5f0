"""Steps of stage work on the heaviest days."""

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.stagework import (
    RecordingClient,
    LIMITS,
    Queue,
    group,
    pieces_of,
    workers,
)
from pollenstile.routes import StageLimits, StageStep
from pollenstile.stagework import (
    Chain,
    GroupDone,
    Plan,
    StageClient,
    may_join_queue,
    ahead_of,
    expected_wait,
    full_seconds,
    usual_seconds,
    waits_for_others,
)
from pollenstile.stagework._backlogs import Backlog

_WORK = 0.44
_TOLERANCE = 0.01
_STEPS = (
    StageStep('intake'),
    StageStep('intake'),
    StageStep('portal', (1,)),
    StageStep('bills', (2,)),
)
_PLAN = Plan('r', 'key', _STEPS, (2, 1, 4, 6), (9.0,) * 4, 20.0, 2)


@given(
    'a stage queue over workers in "{domain}" with {count:d} pieces of urgency'
    ' {urgency:d} waiting'
)
def given_waiting(context, domain, count, urgency):
    context.queue = Queue(domain)
    context.queue.submit(group('first', LIMITS.batch, 10, due=1.4))
    for number in range(count):
        one = group(f'big{number}', 1, 10, due=1.4, urgency=urgency)
        context.queue.owner.waiting.extend(pieces_of(one))


def _ahead(context, urgency, due):
    one = group('new', 1, 10, due=due, urgency=urgency)
    return ahead_of(one, context.queue.owner.waiting, 0, _WORK)


@then(
    'a group of urgency {urgency:d} that is due sooner has {count:d} pieces'
    ' ahead of it'
)
def then_sooner(context, urgency, count):
    assert _ahead(context, urgency, 1.3) == count


@then(
    'a group of urgency {urgency:d} that is due later has {count:d} pieces'
    ' ahead of it'
)
def then_later(context, urgency, count):
    assert _ahead(context, urgency, 2.1) == count


@given('stage workers with {count:d} pieces in their calls')
def given_flying(context, count):
    context.workers = workers('a', 'b', 'c', 'd', 'a', 'b', 'c', 'd')
    for worker in context.workers:
        worker.flying = count // len(context.workers)


@then(
    'behind {count:d} pieces at {rate:d} a second the wait is {seconds:g}'
    ' seconds'
)
def then_wait(context, count, rate, seconds):
    limits = StageLimits(batch=50, call_seconds=0.24, piece_seconds=0.004)
    wait = expected_wait(count, context.workers, limits, 0, rate)
    assert abs(wait - seconds) < _TOLERANCE, wait


@given('a stage client that was told of a backlog of {wait:g} seconds')
def given_told(context, wait):
    context.clock = Clock()
    context.client = StageClient('host', None, context.clock, None)
    context.client.limits = {'portal': LIMITS}
    context.client.backlogs.told['portal'] = Backlog(wait, False, 0.0)


@then('{later:g} seconds later a step there takes {seconds:g} seconds')
def then_takes(context, later, seconds):
    context.clock.rightNow = later
    took = context.client.seconds('portal', 1)
    assert abs(took - seconds) < _TOLERANCE, took


@then('{later:g} seconds later a step there takes its usual time')
def then_takes_usual(context, later):
    context.clock.rightNow = later
    assert context.client.seconds('portal', 1) == usual_seconds(LIMITS, 1)


@then('stage request "{request}" is made, and its stage is short of room')
def then_tight(context, request):
    assert context.queue.outcomes[request].tight


@then('stage request "{request}" is made, and its stage has room')
def then_roomy(context, request):
    assert not context.queue.outcomes[request].tight


@given("a tag's plan: a step beside a chain of three, {seconds:g} seconds each")
def given_plan(context, seconds):
    context.times = [seconds for _ in _STEPS]


def _waits(context, number, done):
    full = full_seconds(LIMITS)
    return waits_for_others(
        _PLAN, number, done, context.times.__getitem__, full
    )


@then('at first the chain begins and the step beside it waits')
def then_beside_waits(context):
    assert not _waits(context, 1, set())
    assert _waits(context, 0, set())


@then('it still waits when the first step of the chain is made')
def then_still_waits(context):
    assert _waits(context, 0, {1})


@then('it begins with the last step of the chain')
def then_begins_last(context):
    assert not _waits(context, 0, {1, 2})


@when('the step beside it would take {seconds:g} seconds')
def when_long(context, seconds):
    context.times[0] = seconds


@then('it begins when the first step of the chain is made')
def then_begins_second(context):
    assert _waits(context, 0, set())
    assert not _waits(context, 0, {1})


@given("a tag's chain whose first two steps are made")
def given_chain_made(context):
    context.client = RecordingClient()
    chain = Chain(context.client, _PLAN)
    Deferred.fromCoroutine(chain.handles())
    for place in (0, 1):
        handles = (f'10.0.0.1:1/{place}',)
        context.client.waiting[place].callback(('host', GroupDone(handles)))


@then('the step beside it is asked for, not as the first one')
def then_not_first(context):
    asked = {one.step: one for one in context.client.groups}
    assert sorted(asked) == [0, 1, 2, 3], sorted(asked)
    assert asked[1].is_first
    assert not asked[0].is_first


@then('it is not taken while a later stage is crowded')
def then_blocked(context):
    one = group(due=context.due, later_crowded=True)
    assert not may_join_queue(one, context.wait, 0, full_seconds(LIMITS))


@given('its first stage worker rests for {seconds:d} seconds')
def given_resting(context, seconds):
    worker = next(iter(context.queue.owner.workers.values()))
    worker.rest_until = context.queue.clock.seconds() + seconds


@then('stage call {place:d} holds pieces of "{request}"')
def then_call_holds(context, place, request):
    assert set(context.queue.requests(place)) == {request}
