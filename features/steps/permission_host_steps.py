"""Steps for one host whose upstreams want no more requests."""

from random import Random

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.forward import NAMES, SERVICE, ForwardScenario
from features.builders.permission import (
    STAGE,
    CountingQueue,
    StageHost,
    ask_rest,
    open_connection,
    state_leaving,
)
from features.builders.ratelimits import RecordingHub
from pollenstile.forward import FREE_TARGET, RUN_TARGET, PeerHost
from pollenstile.permission import (
    LEAVING_SUBJECT,
    LeavingSharing,
    build_permissions,
)
from pollenstile.statements import Statements

# Time by which a host may come back later than it was asked to.
_MAX_SPREAD_SECONDS = 0.3


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
    context.permissions = build_permissions(clock, Random(1), 'h', 'd')
    peers = {'p': PeerHost('p:1', 'd')}
    context.listed = set()
    LeavingSharing(
        context.hub,
        context.permissions.leaving,
        peers,
        context.listed.__contains__,
    )


@when('a peer sends it unreadable news of leaving upstreams')
def when_unreadable(context):
    assert context.hub.refuses(LEAVING_SUBJECT, b'nonsense')


@when('the host itself learns that an upstream leaves')
def when_learns(context):
    statements = Statements(200, leaving=('1',))
    context.permissions.note_answer('i/0', SERVICE, statements)
    context.hub.clock.advance(1.0)


@given('the registry lists that the upstream leaves')
def given_listed(context):
    context.listed.add('i/0')


@then('it tells that peer nothing')
def then_not_told(context):
    assert not context.hub.asked, context.hub.asked


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


@given(
    'a forwarded "{kind}" request to upstreams that all ask for {seconds:g}'
    ' seconds of rest'
)
def given_all_rest(context, kind, seconds):
    context.story = ForwardScenario(kind)
    _ask_all_for_rest(context.story, seconds)


@given(
    'a forwarded "{kind}" request with stage work, to upstreams that all ask'
    ' for {seconds:g} seconds of rest'
)
def given_staged_rest(context, kind, seconds):
    context.story = ForwardScenario(kind, staged=True)
    _ask_all_for_rest(context.story, seconds)


def _ask_all_for_rest(story, seconds):
    for name in _names(story):
        ask_rest(story.core, name, seconds)


@when('{count:d} forwarded requests arrive at once, and the waits are counted')
def when_counted(context, count):
    context.queue = CountingQueue(context.story.clock)
    context.story.core.tokens = context.queue
    for number in range(count):
        context.story.start_another(f'r{number}', count - number)


@then('each of them has begun to wait once')
def then_waited_once(context):
    assert context.queue.waits == 60, context.queue.waits


@then('the request has been sent once')
def then_sent_once(context):
    assert context.story.answer.refusal is None, context.story.answer.refusal
    assert len(context.story.calls) == 1, context.story.calls


@then('nothing is sent yet')
def then_nothing_yet(context):
    assert not context.story.calls, context.story.calls
    assert not any(answer.refusal for answer in context.answers)


@then('all {count:d} are sent in the order of their urgency')
def then_sent_in_order(context, count):
    sent = [
        context.urgencies[call.headers[NAMES.attempt].decode()]
        for call in context.story.calls
    ]
    assert sent == list(range(1, count + 1)), sent


@then('a line and the counts tell which rest held it back')
def then_told_rest(context):
    story = context.story
    lines = story.lines('rest-held-back')
    assert [line['choice'] for line in lines] == ['refuse'], lines
    assert lines[0]['wait_ms'] >= 5000, lines
    rests = story.core.permissions.rests.by_name.values()
    assert sum(rest.held_back for rest in rests) == 1


@then('no stage work was done for it')
def then_no_stage_work(context):
    assert not context.story.stages.made


@when(
    'each of its upstreams turns it away and asks for {seconds:g} seconds of rest'
)
def when_all_turn_away(context, seconds):
    for call in context.story.calls:
        call.answer(503, not_run='1', rest=f'{seconds:g}')


@when(
    'the upstream of forwarded send 0 asks for rest before its connection is'
    ' open'
)
def when_asks_before(context):
    story = context.story
    call = story.calls[0]
    ask_rest(story.core, _view_of(story, call).incarnation, 3)
    open_connection(call)


@given(
    'a forwarded "{kind}" request to upstreams that rest, but one that failed'
    ' before'
)
def given_one_failed(context, kind):
    context.story = ForwardScenario(kind)
    *resting, failed = context.story.registry.usable(SERVICE)
    for view in resting:
        ask_rest(context.story.core, view.incarnation, 3)
    failed.backoff_until = 60.0
    failed.failures = 1.0
    context.open_address = failed.address


@then('it is sent to the one that does not rest')
def then_sent_to_open(context):
    addresses = [call.address for call in context.story.calls]
    assert addresses == [context.open_address], addresses


@given('a forwarded "{kind}" request to {count:d} upstreams')
def given_few(context, kind, count):
    context.story = ForwardScenario(kind, upstreams=count)


@when(
    'it is turned away {count:d} times, each time with {seconds:g} seconds of'
    ' rest, and the rests are over'
)
def when_turned_away(context, count, seconds):
    story = context.story
    for number in range(count):
        story.start_another(f'r{number}', 0)
        ident = story.calls[-1].headers[NAMES.attempt].decode()
        rest = f'{seconds:g}'
        story.calls[-1].answer(503, ident=ident, not_run='1', rest=rest)
        story.clock.advance(seconds * 1.2)
    context.before = len(story.calls)


@then('the next request is sent at once')
def then_sent_at_once(context):
    context.story.start_another('next', 0)
    assert len(context.story.calls) == context.before + 1


@when(
    'the upstream of forwarded send 0 answers another request with 503 and asks'
    ' for rest'
)
def when_foreign(context):
    call = context.story.calls[0]
    call.answer(503, ident='other', not_run='1', rest='3', leaving='1')


@then('no upstream rests or leaves')
def then_none(context):
    permissions = context.story.core.permissions
    assert not permissions.rests.by_name
    assert not permissions.leaving.by_name


@given('the permissions of {count:d} hosts')
def given_many(context, count):
    context.clock = Clock()
    context.hosts = []
    for number in range(count):
        context.hosts.append(
            build_permissions(context.clock, Random(number), peers={})
        )


@when('an upstream asks all of them for {seconds:g} seconds of rest at once')
def when_asks_all(context, seconds):
    context.ends_at = context.clock.seconds() + seconds
    statements = Statements(503, rests=(f'{seconds:g}',))
    for host in context.hosts:
        host.note_answer('i/0', SERVICE, statements)


@then(
    'the first is back within {seconds:g} seconds of the end, and no tenth of a'
    ' second has over {most:d}'
)
def then_spread(context, seconds, most):
    returns = sorted(
        host.rests.until('i/0') - context.ends_at for host in context.hosts
    )
    assert returns[0] >= 0, returns
    assert returns[0] <= seconds, returns
    assert returns[-1] <= _MAX_SPREAD_SECONDS, returns
    for first in returns:
        together = sum(first <= one < first + 0.1 for one in returns)
        assert together <= most, (together, returns)


@when('one worker turns a call away and asks for {seconds:g} seconds of rest')
def when_worker_asks(context, seconds):
    host = context.host
    host.submit(1)
    host.advance(0.01)
    call = host.story.calls[0]
    host.turn_away(call, seconds)
    context.resting = call.address
    context.asked_at = host.story.clock.seconds()
    context.asked = seconds
    context.before = len(host.sent_to())


@when('{count:d} pieces are submitted, and a result at it is released')
def when_pieces_and_release(context, count):
    context.host.submit(count)
    context.host.owner.release([f'{context.resting}/1'])
    context.host.advance(0.1)


@then('nothing reaches it until its rest is over, and then it gets both')
def then_after_rest(context):
    host = context.host
    elapsed = host.story.clock.seconds() - context.asked_at
    host.advance(context.asked - elapsed)
    assert context.resting not in host.sent_to()[context.before :]
    host.advance(0.4)
    host.submit(2)
    host.advance(0.1)
    since = host.story.targets_to(context.resting, context.before)
    assert RUN_TARGET in since, since
    assert FREE_TARGET in since, since


@when('all workers ask for {seconds:g} seconds of rest')
def when_workers_ask(context, seconds):
    for name in ('w0/0', 'w1/0'):
        ask_rest(context.host.story.core, name, seconds, STAGE)


@then("the queue's expected wait is at least {seconds:g} seconds")
def then_wait(context, seconds):
    assert context.host.owner.wait() >= seconds, context.host.owner.wait()
