"""Steps for one host whose upstreams want no more requests."""

from random import Random

from behave import given, then, when

from features.builders.forward import SERVICE, ForwardScenario
from features.builders.permission import (
    STAGE,
    StageHost,
    open_connection,
    state_leaving,
)
from features.builders.ratelimits import RecordingHub
from pollenstile.forward import PeerHost
from pollenstile.peer import BadMessageError
from pollenstile.permission import (
    LEAVING_SUBJECT,
    LeavingSharing,
    Permissions,
    Statements,
)
from pollenstile.ratelimits import RateLimits


def _names(story):
    return [view.incarnation for view in story.registry.views.values()]


def _view_of(story, call):
    views = story.registry.views.values()
    return next(view for view in views if view.address == call.address)


@when('the upstream of forwarded send 0 leaves before its connection is open')
def when_leaves_before(context):
    story = context.story
    call = story.calls[0]
    state_leaving(story.core, _view_of(story, call).incarnation)
    open_connection(call)


@then('nothing is sent to it, and the request is sent to another upstream')
def then_elsewhere(context):
    first, second = context.story.calls
    assert not first.sent
    assert second.address != first.address


@given('a forwarded "{kind}" request to upstreams that all leave')
def given_all_leave(context, kind):
    context.story = ForwardScenario(kind)
    when_all_leave(context)


@when('all upstreams leave by their answers')
def when_all_leave(context):
    for name in _names(context.story):
        state_leaving(context.story.core, name)


@then(
    'it is refused at once as not run, for "{reason}", with at least'
    ' {seconds:g} seconds to wait'
)
def then_refused(context, reason, seconds):
    refusal = context.story.answer.refusal
    assert refusal is not None
    assert (refusal.status, refusal.reason) == (503, reason), refusal
    assert refusal.retry_after >= seconds, refusal


@then('the one that was not sent is refused at once, with when to come back')
def then_waiting_refused(context):
    refusals = [answer.refusal for answer in context.answers if answer.refusal]
    assert len(context.story.calls) == len(context.answers) - 1
    assert [refusal.status for refusal in refusals] == [503], refusals
    assert refusals[0].retry_after >= 1, refusals


@when('the upstream of forwarded send 0 answers whole')
def when_answers(context):
    context.story.calls[0].answer()
    context.story.calls[0].body(b'whole')


@then('the caller gets the whole answer')
def then_whole(context):
    answer = context.story.answer
    assert (answer.status, answer.content) == (200, b'whole'), answer.content
    assert answer.end == 'whole'


@given('a host with a stage queue over {count:d} workers')
def given_stage_host(context, count):
    context.host = StageHost(count)


@when('one worker states that it leaves, and {count:d} pieces are submitted')
def when_worker_leaves(context, count):
    state_leaving(context.host.story.core, 'w0/0', STAGE)
    context.host.submit(count)
    context.host.advance(0.1)


@then('all of them are sent to the other worker')
def then_other_worker(context):
    sent_to = context.host.sent_to()
    assert len(sent_to) == 20, sent_to
    assert set(sent_to) == {'10.0.1.1:1'}, sent_to


@given('a host that shares which upstreams leave with its peers')
def given_sharing(context):
    context.hub = RecordingHub()
    clock = context.hub.clock
    rates = RateLimits(clock, Random(1), 'h', 'd')
    context.permissions = Permissions(clock, Random(1), rates)
    peers = {'p': PeerHost('p:1', 'd')}
    LeavingSharing(context.hub, context.permissions.leaving, peers)


@when('a peer sends it unreadable news of leaving upstreams')
def when_unreadable(context):
    handle = context.hub.requests.subjects[LEAVING_SUBJECT]
    try:
        handle('p', b'nonsense')
    except BadMessageError:
        return
    raise AssertionError('taken')


@when('the host itself learns that an upstream leaves')
def when_learns(context):
    statements = Statements(200, leaving=('1',))
    context.permissions.note_answer('i/0', SERVICE, statements)
    context.hub.clock.advance(1.0)


@then('it tells that peer of the leaving upstream')
def then_told(context):
    assert context.hub.asked == [('p', LEAVING_SUBJECT)], context.hub.asked


@when('{count:d} upstreams state that they leave')
def when_many_leave(context, count):
    for number in range(count):
        statements = Statements(200, leaving=('1',))
        context.permissions.note_answer(f'i{number}/0', SERVICE, statements)


@when('one of them is still registered')
def when_one_registered(context):
    context.permissions.forget_old({'i7/0'})


@then('one upstream is known to leave')
def then_one_known(context):
    assert list(context.permissions.leaving.ages()) == ['i7/0']
