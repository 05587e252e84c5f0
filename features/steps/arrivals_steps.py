"""Steps of retrying callers."""

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import (
    LIMITS,
    SERVICE,
    Queue,
    RecordingClient,
    group,
    pieces_of,
)
from pollenstile.routes import StageStep
from pollenstile.stagework import Arrivals, Chain, GroupDone, GroupRefused, Plan

_TOLERANCE = 0.05
_DUE_TIME = 5.0


@given('a stage queue over workers in "{domain}" that is full')
def given_full(context, domain):
    context.queue = Queue(domain)
    context.queue.submit(group('flying', LIMITS.batch, 10, due=1.0))
    for number in range(6):
        waiting = group(f'waiting{number}', LIMITS.batch, 10, due=0.4)
        context.queue.owner.waiting.extend(pieces_of(waiting))


def _send(context, key, request, due, step=0):
    now = context.queue.clock.seconds()
    context.queue.submit(
        group(request, 1, 10, due=now + due, key=key, step=step)
    )


@when('caller "{key}" sends attempt "{request}", due in {due:g} seconds')
def when_sends(context, key, request, due):
    _send(context, key, request, due)


@when(
    '{pause:g} seconds later caller "{key}" sends attempt "{request}", due in'
    ' {due:g} seconds'
)
def when_sends_later(context, pause, key, request, due):
    context.queue.clock.advance(pause)
    _send(context, key, request, due)


@when(
    '{pause:g} seconds later caller "{key}" sends attempt "{request}" for'
    ' another step'
)
def when_sends_step(context, pause, key, request):
    context.queue.clock.advance(pause)
    _send(context, key, request, 2.0, step=1)


@when('all stage calls are answered')
def when_answered(context):
    answered = 0
    while answered < len(context.queue.calls):
        context.queue.answer(answered)
        answered += 1


def _check(context, request, outcome_type, seconds):
    outcome = context.queue.outcomes[request]
    assert isinstance(outcome, outcome_type), outcome
    assert abs(outcome.waited - seconds) < _TOLERANCE, outcome


@then(
    'stage request "{request}" is refused, {seconds:g} seconds after the'
    ' first arrival'
)
def then_refused(context, request, seconds):
    _check(context, request, GroupRefused, seconds)


@then(
    'stage request "{request}" is made, {seconds:g} seconds after the'
    ' first arrival'
)
def then_made(context, request, seconds):
    _check(context, request, GroupDone, seconds)


@then('stage request "{request}" waits')
def then_waits(context, request):
    assert request not in context.queue.outcomes, context.queue.outcomes


@given('a chain of two steps whose caller arrived {seconds:g} seconds before')
def given_chain(context, seconds):
    steps = (StageStep(SERVICE), StageStep(SERVICE, (0,)))
    plan = Plan('r', 'key', steps, (1, 1), (4.0, _DUE_TIME), 20.0, 0)
    context.client = RecordingClient()
    Deferred.fromCoroutine(Chain(context.client, plan).handles())
    done = GroupDone(('10.0.0.1:1/a',), waited=seconds)
    context.client.waiting[0].callback(('host', done))


@given(
    'a chain with a parallel step whose caller arrived {seconds:g} seconds'
    ' before'
)
def given_beside(context, seconds):
    steps = (
        StageStep(SERVICE),
        StageStep(SERVICE),
        StageStep(SERVICE, (1,)),
        StageStep(SERVICE, (2,)),
    )
    plan = Plan('r', 'key', steps, (1,) * 4, (_DUE_TIME,) * 4, 20.0, 0)
    context.client = RecordingClient()
    Deferred.fromCoroutine(Chain(context.client, plan).handles())
    for number in range(2):
        done = GroupDone((f'10.0.0.1:1/{number}',), waited=seconds)
        context.client.waiting[number].callback(('host', done))


@then("its late step is due at the plan's time")
def then_late_step(context):
    late = [
        submitted for submitted in context.client.groups if submitted.step == 0
    ]
    assert len(late) == 1, context.client.groups
    assert abs(late[0].due - _DUE_TIME) < _TOLERANCE, late[0]


@then("its second step is due {seconds:g} seconds before the plan's time")
def then_due(context, seconds):
    due = context.client.groups[1].due
    assert abs(due - (_DUE_TIME - seconds)) < _TOLERANCE, due


@given(
    'first arrivals of {count:d} callers that leave after {timeout:g} seconds'
)
def given_arrivals(context, count, timeout):
    context.arrivals = Arrivals()
    for number in range(count):
        arriving = group(f'r{number}', key=f'k{number}', deadline=timeout)
        context.arrivals.seconds_since_first(arriving, 0.0)


@when('{later:g} seconds later another caller arrives')
def when_another(context, later):
    arriving = group('another', key='another', deadline=later + 6.0)
    assert context.arrivals.seconds_since_first(arriving, later) == 0


@then('one first arrival is remembered')
def then_one(context):
    assert len(context.arrivals.by_key) == 1, len(context.arrivals.by_key)


@then('at most {most:d} first arrivals are remembered')
def then_most(context, most):
    assert len(context.arrivals.by_key) <= most, len(context.arrivals.by_key)
