"""Steps of callers that come back."""

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import (
    LIMITS,
    SERVICE,
    RecordingClient,
    Queue,
    group,
    pieces_of,
)
from pollenstile.routes import StageStep
from pollenstile.stagework import Arrivals, Chain, GroupDone, GroupRefused, Plan

_TOLERANCE = 0.05
_LATEST = 5.0


@given('a stage queue over workers in "{domain}" that is full')
def given_full(context, domain):
    context.queue = Queue(domain)
    context.queue.submit(group('flying', LIMITS.batch, 10, due=1.0))
    for number in range(6):
        one = group(f'waiting{number}', LIMITS.batch, 10, due=0.4)
        context.queue.owner.waiting.extend(pieces_of(one))


def _ask(context, key, request, due, step=0):
    now = context.queue.clock.seconds()
    context.queue.submit(
        group(request, 1, 10, due=now + due, key=key, step=step)
    )


@when('the caller "{key}" asks as "{request}", due in {due:g} seconds')
def when_asks(context, key, request, due):
    _ask(context, key, request, due)


@when(
    '{pause:g} seconds later the caller "{key}" asks as "{request}", due in'
    ' {due:g} seconds'
)
def when_asks_later(context, pause, key, request, due):
    context.queue.clock.advance(pause)
    _ask(context, key, request, due)


@when(
    '{pause:g} seconds later the caller "{key}" asks as "{request}" for another'
    ' step'
)
def when_asks_step(context, pause, key, request):
    context.queue.clock.advance(pause)
    _ask(context, key, request, 2.0, step=1)


@when('all stage calls are answered')
def when_answered(context):
    answered = 0
    while answered < len(context.queue.calls):
        context.queue.answer(answered)
        answered += 1


def _check(context, request, sort, seconds):
    outcome = context.queue.outcomes[request]
    assert isinstance(outcome, sort), outcome
    assert abs(outcome.waited - seconds) < _TOLERANCE, outcome


@then(
    'stage request "{request}" is refused, {seconds:g} seconds after the'
    " caller's first"
)
def then_refused(context, request, seconds):
    _check(context, request, GroupRefused, seconds)


@then(
    'stage request "{request}" is made, {seconds:g} seconds after the'
    " caller's first"
)
def then_made(context, request, seconds):
    _check(context, request, GroupDone, seconds)


@then('stage request "{request}" waits')
def then_waits(context, request):
    assert request not in context.queue.outcomes, context.queue.outcomes


@given('a chain of two steps whose caller came {seconds:g} seconds before')
def given_chain(context, seconds):
    steps = (StageStep(SERVICE), StageStep(SERVICE, (0,)))
    plan = Plan('r', 'key', steps, (1, 1), (4.0, _LATEST), 20.0, 0)
    context.client = RecordingClient()
    Deferred.fromCoroutine(Chain(context.client, plan).handles())
    done = GroupDone(('10.0.0.1:1/a',), waited=seconds)
    context.client.waiting[0].callback(('host', done))


@given(
    'a chain of a step beside another whose caller came {seconds:g} seconds'
    ' before'
)
def given_beside(context, seconds):
    steps = (
        StageStep(SERVICE),
        StageStep(SERVICE),
        StageStep(SERVICE, (1,)),
        StageStep(SERVICE, (2,)),
    )
    plan = Plan('r', 'key', steps, (1,) * 4, (_LATEST,) * 4, 20.0, 0)
    context.client = RecordingClient()
    Deferred.fromCoroutine(Chain(context.client, plan).handles())
    for place in range(2):
        done = GroupDone((f'10.0.0.1:1/{place}',), waited=seconds)
        context.client.waiting[place].callback(('host', done))


@then("its late step is due at the plan's time")
def then_late_step(context):
    late = [one for one in context.client.groups if one.step == 0]
    assert len(late) == 1, context.client.groups
    assert abs(late[0].due - _LATEST) < _TOLERANCE, late[0]


@then("its second step is due {seconds:g} seconds before the plan's time")
def then_due(context, seconds):
    due = context.client.groups[1].due
    assert abs(due - (_LATEST - seconds)) < _TOLERANCE, due


@given('first arrivals of {count:d} callers that leave after {ends:g} seconds')
def given_arrivals(context, count, deadline):
    context.arrivals = Arrivals()
    for number in range(count):
        one = group(f'r{number}', key=f'k{number}', deadline=deadline)
        context.arrivals.waited(one, 0.0)


@when('{later:g} seconds later another caller comes')
def when_another(context, later):
    one = group('another', key='another', deadline=later + 6.0)
    assert context.arrivals.waited(one, later) == 0


@then('one first arrival is remembered')
def then_one(context):
    assert len(context.arrivals.seen) == 1, len(context.arrivals.seen)


@then('at most {most:d} first arrivals are remembered')
def then_most(context, most):
    assert len(context.arrivals.seen) <= most, len(context.arrivals.seen)
