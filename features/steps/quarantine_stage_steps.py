"""Steps for stage pieces that crash the upstreams that process them."""

from behave import given, then, when

from features.builders.forward import ForwardScenario
from features.builders.quarantine import apply_verdicts, verdict
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


def _group_of(name):
    return group(name, fingerprint=_fingerprint(name))


def _fingerprint(name):
    return name.encode().hex()


def _crash(context, index):
    """Crash the worker of a call while it processes all its pieces."""
    worker, pieces, _ = context.queue.calls[index]
    suspects = tuple(
        Suspect(piece.group.fingerprint, 'team', 0.05) for piece in pieces
    )
    quarantine = context.queue.owner.quarantine
    quarantine.note_crash(f'{worker.ident}/{index}', SERVICE, suspects)
    lost = CallLost('torn answer', worker.ident, arrived=True, broken=True)
    context.queue.answer(index, lost)


@given(
    'a queue over {count:d} workers with pieces of "a", "crashing" and "b" in one'
    ' call'
)
def given_queue(context, count):
    context.queue = Queue(*'dddd'[:count])
    for name in ('a', 'crashing', 'b'):
        request_group = _group_of(name)
        waiter = context.queue.owner.submit(request_group)
        waiter.addCallback(context.queue.note, name)
    context.queue.clock.advance(0.01)


@given('pieces of "{name}" wait there')
def given_waiting(context, name):
    context.queue.submit(_group_of(name))


@when('each worker crashes that has a piece of "{name}"')
def when_crashes(context, name):
    queue = context.queue
    context.crashed = 0
    index = 0
    while index < len(queue.calls):
        if name in queue.requests(index):
            context.crashed += 1
            _crash(context, index)
        else:
            queue.answer(index)
        index += 1


@when('"{name}" is quarantined')
def when_quarantined(context, name):
    quarantine = context.queue.owner.quarantine
    quarantine.on_held = context.queue.owner.withdraw
    apply_verdicts(quarantine, verdict(_fingerprint(name)))


@then('the pieces of "{one}" and "{other}" are made')
def then_made(context, one, other):
    for name in (one, other):
        assert context.queue.outcomes[name].handles, context.queue.outcomes


@then('"{name}" was sent to {count:d} workers, and is refused')
def then_refused(context, name, count):
    assert context.crashed == count, context.crashed
    assert context.queue.outcomes[name].reason == 'failed'


@then('"{name}" is refused for crashing upstreams')
def then_refused_as_quarantined(context, name):
    assert context.queue.outcomes.pop(name).reason == HELD_REASON


@then('"{name}" is refused for the same reason when it is retried')
def then_refused_again(context, name):
    context.queue.submit(_group_of(name))
    assert context.queue.outcomes[name].reason == HELD_REASON


@given('a stage call with pieces of "{one}" and "{other}"')
def given_call(context, one, other):
    context.story = ForwardScenario('once')
    core = context.story.core
    calls = StageCalls(
        core.clock,
        context.story,
        PlainCodec(),
        HeaderNames(),
        core.permissions,
    )
    calls.attach_crash_detector(core.crashes, core.quarantine)
    worker = workers_of('d')[0]
    upstream = Upstream(worker.ident, SERVICE, worker.address, 'd')
    core.registry.apply(worker.ident, upstream)
    pieces = pieces_of(_group_of(one), _group_of(other))
    context.outcomes = []
    calls.call(worker, pieces, 9.0).addCallback(context.outcomes.append)


@when('its upstream crashes')
def when_upstream_crashes(context):
    context.story.probe_result = ProbeResult.REFUSED
    lost = Lost('ConnectionLost', 'w0', broken=True)
    context.story.calls[-1].head.callback(lost)


@then('both are reported as in flight there, and then the call counts as lost')
def then_reported(context):
    reported = [
        fingerprint
        for fields in context.story.lines('upstream-crashed')
        for fingerprint in fields['requests']
    ]
    assert sorted(reported) == [_fingerprint('a'), _fingerprint('b')], reported
    assert isinstance(context.outcomes[0], CallLost), context.outcomes
