"""Steps of stage work under heavy load."""

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.stagework import (
    LIMITS,
    Queue,
    RecordingClient,
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
    count_ahead,
    expected_wait,
    full_seconds,
    may_join_queue,
    should_delay_step,
    usual_seconds,
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
        waiting = group(f'big{number}', 1, 10, due=1.4, urgency=urgency)
        context.queue.owner.waiting.extend(pieces_of(waiting))


def _ahead(context, urgency, due):
    new = group('new', 1, 10, due=due, urgency=urgency)
    return count_ahead(new, context.queue.owner.waiting, 0, _WORK)


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
def given_in_flight(context, count):
    context.workers = workers('a', 'b', 'c', 'd', 'a', 'b', 'c', 'd')
    for worker in context.workers:
        worker.pieces_in_flight = count // len(context.workers)


@then(
    'behind {count:d} pieces at {rate:d} a second the wait is {seconds:g}'
    ' seconds'
)
def then_wait(context, count, rate, seconds):
    limits = StageLimits(batch=50, call_seconds=0.24, piece_seconds=0.004)
    wait = expected_wait(count, context.workers, limits, 0, rate)
    assert abs(wait - seconds) < _TOLERANCE, wait


@given('a stage client that received a backlog of {wait:g} seconds')
def given_backlog(context, wait):
    context.clock = Clock()
    context.client = StageClient('host', None, context.clock, None)
    context.client.limits = {'portal': LIMITS}
    context.client.backlogs.by_service['portal'] = Backlog(wait, False, 0.0)


@then('{later:g} seconds later a step there takes {seconds:g} seconds')
def then_takes(context, later, seconds):
    context.clock.rightNow = later
    seconds_there = context.client.seconds('portal', 1)
    assert abs(seconds_there - seconds) < _TOLERANCE, seconds_there


@then('{later:g} seconds later a step there takes its usual time')
def then_takes_usual(context, later):
    context.clock.rightNow = later
    assert context.client.seconds('portal', 1) == usual_seconds(LIMITS, 1)


@then('stage request "{request}" is made, and its stage is short of memory')
def then_tight(context, request):
    assert context.queue.outcomes[request].tight


@then('stage request "{request}" is made, and its stage has free memory')
def then_not_tight(context, request):
    assert not context.queue.outcomes[request].tight


@given("a tag's plan: a step beside a chain of three, {seconds:g} seconds each")
def given_plan(context, seconds):
    context.times = [seconds for _ in _STEPS]


def _waits(context, number, done):
    full = full_seconds(LIMITS)
    return should_delay_step(
        _PLAN, number, done, context.times.__getitem__, full
    )


@then('at first the chain starts and the step beside it waits')
def then_beside_waits(context):
    assert not _waits(context, 1, set())
    assert _waits(context, 0, set())


@then('it still waits when the first step of the chain is made')
def then_still_waits(context):
    assert _waits(context, 0, {1})


@then('it starts with the last step of the chain')
def then_begins_last(context):
    assert not _waits(context, 0, {1, 2})


@when('the step beside it would take {seconds:g} seconds')
def when_long(context, seconds):
    context.times[0] = seconds


@then('it starts when the first step of the chain is made')
def then_begins_second(context):
    assert _waits(context, 0, set())
    assert not _waits(context, 0, {1})


@given("a tag's chain whose first two steps are made")
def given_chain_made(context):
    context.client = RecordingClient()
    chain = Chain(context.client, _PLAN)
    Deferred.fromCoroutine(chain.handles())
    for number in (0, 1):
        handles = (f'10.0.0.1:1/{number}',)
        context.client.waiting[number].callback(('host', GroupDone(handles)))


@then('the step beside it is requested, not as a first step')
def then_not_first(context):
    by_step = {submitted.step: submitted for submitted in context.client.groups}
    assert sorted(by_step) == [0, 1, 2, 3], sorted(by_step)
    assert by_step[1].is_first
    assert not by_step[0].is_first


@then('it is not taken while a later stage is crowded')
def then_blocked(context):
    late = group(due=context.due, later_crowded=True)
    assert not may_join_queue(late, context.wait, 0, full_seconds(LIMITS))


@given('its first stage worker rests for {seconds:d} seconds')
def given_resting(context, seconds):
    worker = next(iter(context.queue.owner.workers.values()))
    worker.rest_until = context.queue.clock.seconds() + seconds


@then('stage call {place:d} holds pieces of "{request}"')
def then_call_holds(context, place, request):
    assert set(context.queue.requests(place)) == {request}
