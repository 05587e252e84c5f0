"""Steps for forwarded requests."""

from dataclasses import replace
from random import Random

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.forward import (
    KEY,
    NAMES,
    SERVICE,
    ForwardScenario,
    event_bytes,
    events_bytes,
)
from pollenstile.forward import (
    Lost,
    NotRun,
    SharedRetryBudget,
    Upstream,
    UpstreamView,
    select_engine,
    usable,
)
from pollenstile.forward._runend import end_left
from pollenstile.routes import Target, Team

_BODY = b'an answer'


@given('a forwarded "{kind}" request')
def given_request(context, kind):
    context.story = ForwardScenario(kind)
    context.story.start()


@given('a forwarded "{kind}" request with stage work')
def given_staged(context, kind):
    context.story = ForwardScenario(kind, staged=True)


@given('its stage work never ends')
def given_never(context):
    context.story.stages.refusal = 'never'
    context.story.start()


@given('its stage work is refused as "{reason}"')
def given_refused(context, reason):
    context.story.stages.refusal = reason
    context.story.start()


@given('no forwarded retries are left')
def given_no_repeats(context):
    remaining = int(context.story.budget.remaining(SERVICE))
    assert context.story.budget.spend(SERVICE, remaining)


@when('its {thing} is removed')
def when_taken_away(context, thing):
    changes = {'key': {'keys': {}}, 'route': {'by_host': {}}}
    context.story.change(**changes[thing])


@when('its key goes to the team "{team}"')
def when_other_team(context, team):
    context.story.change(keys={KEY: Team(team)})


@when('its route is moved to the service "{service}"')
def when_moved(context, service):
    story = context.story
    moved = replace(story.route, targets=(Target(service),))
    upstream = Upstream('other', service, '10.0.1.0:1', 'd')
    story.registry.apply('other', upstream)
    story.change(by_host={'host': (moved,)})


@when('its host can no longer verify its configuration')
def when_host_lost(context):
    context.story.core.configuration.verified = False


@when('its stage work ends')
def when_stages_end(context):
    context.story.stages.finish()


@then('the request is sent to "{address}" for the team "{team}"')
def then_goes_to(context, address, team):
    assert len(context.story.calls) == 1
    call = context.story.calls[0]
    assert call.address == address, call.address
    assert call.headers[NAMES.team] == team.encode(), call.headers


@when('forwarded send {place:d} is lost')
def when_lost(context, place):
    context.story.calls[place].head.callback(Lost('reset', 'i0'))


@when('forwarded send {place:d} is answered {code:d} and not run')
def when_not_run(context, place, code):
    context.story.calls[place].answer(code, stamp='', not_run='1')


@when('all forwarded sends are answered 503 and not run')
def when_all_not_run(context):
    place = 0
    while place < len(context.story.calls):
        when_not_run(context, place, 503)
        place += 1


@when('forwarded send {place:d} is answered {code:d} completely')
def when_whole(context, place, code):
    call = context.story.calls[place]
    call.answer(code)
    call.body(_BODY)


@when('forwarded send {place:d} is answered {code:d} incompletely')
def when_torn(context, place, code):
    call = context.story.calls[place]
    call.answer(code)
    call.body(_BODY[:3], whole=False)


@when('forwarded send {place:d} is answered {code:d} without a stamp')
def when_unproven(context, place, code):
    context.story.calls[place].answer(code, stamp='')


@when('forwarded send {place:d} is answered for another request')
def when_foreign(context, place):
    context.story.calls[place].answer(ident='attempt-9')


@when('forwarded send {place:d} finds its results gone')
def when_gone(context, place):
    context.story.start()
    context.story.calls[place].answer(409, stamp='', not_run='1')


@when(
    'forwarded send {place:d} streams events {first:d} to {last:d} and half of the next'
)
def when_streams(context, place, first, last):
    call = context.story.calls[place]
    call.answer()
    call.on_data(events_bytes(first, last) + event_bytes(last + 1)[:7])


@when('forwarded send {place:d} streams events {first:d} to {last:d} and ends')
def when_streams_whole(context, place, first, last):
    call = context.story.calls[place]
    call.answer()
    call.body(events_bytes(first, last))


@when('forwarded send {place:d} breaks')
def when_breaks(context, place):
    context.story.calls[place].body(whole=False)


@when('{seconds:g} seconds of forwarding pass')
def when_time(context, seconds):
    if context.story.work is None:
        context.story.start()
    for _ in range(round(seconds * 10)):
        context.story.clock.advance(0.1)


@when('the caller of the forwarded request leaves')
def when_leaves(context):
    context.story.leave()


@then('the caller of the forwarded request gets {code:d}')
def then_gets(context, code):
    answer = context.story.answer
    assert answer.status == code, (answer.status, answer.refusal)
    assert answer.end == 'refused', answer.end


@then('the caller of the forwarded request gets a complete {code:d}')
def then_gets_whole(context, code):
    answer = context.story.answer
    assert answer.status == code, (answer.status, answer.refusal)
    assert answer.end == 'whole', answer.end
    assert answer.content == _BODY, answer.content


@then('{count:d} forwarded sends were made')
def then_sends(context, count):
    assert len(context.story.calls) == count, len(context.story.calls)


@then('it gets retry advice')
def then_come_back(context):
    assert context.story.answer.refusal.retry_after > 0


@then('it gets retry advice of at least {seconds:g} seconds')
def then_come_back_after(context, seconds):
    assert context.story.answer.refusal.retry_after >= seconds


@then('nothing of that answer reaches it')
def then_nothing(context):
    assert context.story.answer.content == b''
    assert context.story.calls[0].cancelled


@then('the upstream of forwarded send {place:d} is forgotten')
def then_forgotten(context, place):
    address = context.story.calls[place].address
    views = context.story.registry.usable(SERVICE)
    assert address not in {view.address for view in views}


@then('forwarded send {place:d} resumes after event {number:d}')
def then_goes_on(context, place, number):
    headers = context.story.calls[place].headers
    assert headers[NAMES.last_event] == b'%d' % number, headers
    assert context.story.calls[place - 1].cancelled


@then(
    'the caller of the forwarded request has all events {first:d} to {last:d}'
)
def thenevents_bytes(context, first, last):
    answer = context.story.answer
    assert answer.content == events_bytes(first, last), answer.content
    assert answer.end == 'whole', answer.end


@then('the caller of the forwarded request sees its connection break')
def then_breaks(context):
    assert context.story.answer.end == 'broken', context.story.answer.end


@then('forwarded send {place:d} was closed')
def then_closed(context, place):
    assert context.story.calls[place].cancelled


@then('its stage pieces are withdrawn')
def then_withdrawn(context):
    assert context.story.stages.cancelled == ['encode']


@then('its stage work was done {count:d} times')
def then_done(context, count):
    assert context.story.stages.made == count


@then('its {count:d} stage results are released')
def then_count_released(context, count):
    assert len(context.story.stages.released) == count


@then('all its stage results are released')
def then_released(context):
    assert len(context.story.stages.released) == 4


@given(
    'a retry budget of {hosts:d} hosts with a slack of {slack:d} in 10 seconds'
)
def given_budget(context, hosts, slack):
    context.clock = Clock()
    context.budget = SharedRetryBudget(context.clock, 0.2, slack, 10)
    context.budget.hosts = hosts


@then('{count:d} retries may be sent at once and no more')
def then_repeats(context, count):
    sent = 0
    while context.budget.spend(SERVICE):
        sent += 1
    assert sent == count, sent


@then('{count:d} retries may be sent by one of {sharers:d} hosts')
def then_shared(context, count, sharers):
    sent = 0
    while context.budget.spend(SERVICE, sharers=sharers):
        sent += 1
    assert sent == count, sent


@then('after 10 seconds {count:d} more')
def then_more(context, count):
    context.clock.advance(10.1)
    then_repeats(context, count)


@given('{count:d} model engines that are idle')
def given_engines(context, count):
    context.views = [
        UpstreamView(f'e{place}', f'10.0.1.{place}:1', 'd', 64)
        for place in range(count)
    ]


# Seconds per token of an engine that reads 55,000 tokens a second, half of that
# rate beside other requests.
_TOKEN_SECONDS = 2 / 55000


def _chosen(context, subject):
    prompt = (('head', 500), (subject, 4800), ('own', 600))
    return select_engine(
        context.views, 0, 'd', Random(1), prompt, _TOKEN_SECONDS
    )


@then('{count:d} requests about one subject go to one engine')
def then_one_engine(context, count):
    found = set()
    for _ in range(count):
        view = _chosen(context, 'unit')
        view.in_flight += 1
        found.add(view.ident)
    assert len(found) == 1, found
    context.home = found.pop()


@then('requests about {subjects:d} subjects go to at least {count:d} engines')
def then_spread(context, subjects, count):
    found = {_chosen(context, f's{one}').ident for one in range(subjects)}
    assert len(found) >= count, found


@then('when its engine is full they go to another')
def then_full(context):
    for view in context.views:
        if view.ident == context.home:
            view.in_flight = 70
    assert _chosen(context, 'unit').ident != context.home


@given('{count:d} model engines of which 1 fails {tenths:d} in 10')
def given_failing(context, count, tenths):
    given_engines(context, count)
    context.views[0].failures = tenths / 10


@then('the failing engine is left out of the choice')
def then_left_out(context):
    sick, *sound = context.views
    assert usable(context.views, 0) == sound


@then('when all fail alike all are used')
def then_all_used(context):
    for view in context.views:
        view.failures = 0.4
    assert usable(context.views, 0) == context.views


@given('a forwarded "once" request that waits for {what}')
def given_waiting_once(context, what):
    story = ForwardScenario('once', staged=what == 'its stage work')
    story.stages.refusal = 'never'
    context.story = story
    story.start()
    if what == 'a connection':
        story.calls[0].sent = False


def _leave_once(story):
    """Let the caller of the request leave, as its connection reports it."""
    story.answer.gone = True
    end_left(story.core, story.answer)


@when('its caller leaves {moment}')
def when_caller_leaves(context, moment):
    story = context.story
    _leave_once(story)
    if moment == 'before the upstream turns away':
        story.calls[0].head.callback(NotRun('full', 'i0', arrived=True))


@then('nothing more is sent for it')
def then_nothing_sent(context):
    story = context.story
    if story.route.steps:
        story.stages.finish()
    story.clock.advance(1.0)
    sent = 0 if story.route.steps else 1
    assert len(story.calls) == sent, story.calls


@then('it ends as "{outcome}"')
def then_ends_as(context, outcome):
    lines = context.story.lines('forward-ended')
    assert [line['outcome'] for line in lines] == [outcome], lines


@then('forwarded send {place:d} is still open')
def then_open(context, place):
    assert not context.story.calls[place].cancelled
    assert not context.story.lines('forward-ended')
