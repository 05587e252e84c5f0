"""Steps of stage pieces that crash the upstreams that make them."""

from behave import given, then, when

from features.builders.forward import ForwardScenario
from features.builders.quarantine import tell, verdict
from features.builders.stagework import SERVICE, Queue, group, pieces_of
from features.builders.stagework import workers as workers_of
from pollenstile.forward import (
    HeaderNames,
    Lost,
    PlainCodec,
    ProbeResult,
    Upstream,
)
from pollenstile.forward._stagecalls import StageCalls
from pollenstile.quarantine import HELD_REASON, Suspect
from pollenstile.stagework import CallLost


def _piece_of(name):
    return group(name, content=_content(name))


def _content(name):
    return name.encode().hex()


def _crash(context, place):
    """Let the worker of a call crash with all that it has."""
    worker, pieces, _ = context.queue.calls[place]
    suspects = tuple(
        Suspect(piece.group.content, 'team', 0.05) for piece in pieces
    )
    quarantine = context.queue.owner.quarantine
    quarantine.note_crash(f'{worker.ident}/{place}', SERVICE, suspects)
    lost = CallLost('torn answer', worker.ident, arrived=True, broken=True)
    context.queue.answer(place, lost)


@given(
    'a queue over {count:d} workers with pieces of "a", "deadly" and "b" in one'
    ' call'
)
def given_queue(context, count):
    context.queue = Queue(*'dddd'[:count])
    for name in ('a', 'deadly', 'b'):
        one = _piece_of(name)
        waiter = context.queue.owner.submit(one)
        waiter.addCallback(context.queue.note, name)
    context.queue.clock.advance(0.01)


@given('pieces of "{name}" wait there')
def given_waiting(context, name):
    context.queue.submit(_piece_of(name))


@when('each worker crashes that has a piece of "{name}"')
def when_crashes(context, name):
    queue = context.queue
    context.had = 0
    place = 0
    while place < len(queue.calls):
        if name in queue.requests(place):
            context.had += 1
            _crash(context, place)
        else:
            queue.answer(place)
        place += 1


@when('"{name}" is put into quarantine')
def when_held(context, name):
    quarantine = context.queue.owner.quarantine
    quarantine.on_held = context.queue.owner.withdraw
    tell(quarantine, verdict(_content(name)))


@then('the pieces of "{one}" and "{other}" are made')
def then_made(context, one, other):
    for name in (one, other):
        assert context.queue.outcomes[name].handles, context.queue.outcomes


@then('"{name}" was at {count:d} workers, and is refused')
def then_refused(context, name, count):
    assert context.had == count, context.had
    assert context.queue.outcomes[name].reason == 'failed'


@then('"{name}" is refused for crashing upstreams')
def then_held(context, name):
    assert context.queue.outcomes.pop(name).reason == HELD_REASON


@then('"{name}" is refused so when it comes again')
def then_held_again(context, name):
    context.queue.submit(_piece_of(name))
    assert context.queue.outcomes[name].reason == HELD_REASON


@given('a stage call with pieces of "{one}" and "{other}"')
def given_call(context, one, other):
    context.story = ForwardScenario('once')
    core = context.story.core
    calls = StageCalls(core.clock, context.story, PlainCodec(), HeaderNames())
    calls.attach_crash_detector(core.crashes, core.quarantine)
    worker = workers_of('d')[0]
    upstream = Upstream(worker.ident, SERVICE, worker.address, 'd')
    core.registry.apply(worker.ident, upstream)
    pieces = pieces_of(_piece_of(one), _piece_of(other))
    context.outcomes = []
    calls.call(worker, pieces, 9.0).addCallback(context.outcomes.append)


@when('its upstream crashes')
def when_upstream_crashes(context):
    context.story.probe_result = ProbeResult.REFUSED
    lost = Lost('ConnectionLost', 'w0', broken=True)
    context.story.calls[-1].head.callback(lost)


@then('both are reported as under way there, and then the call counts as lost')
def then_reported(context):
    reported = [
        content
        for fields in context.story.lines('upstream-crashed')
        for content in fields['requests']
    ]
    assert sorted(reported) == [_content('a'), _content('b')], reported
    assert isinstance(context.outcomes[0], CallLost), context.outcomes
