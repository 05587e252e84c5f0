"""Steps for upstreams that fall silent while an answer is awaited."""

from dataclasses import replace

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.forward import (
    NAMES,
    SERVICE,
    event_bytes,
    events_bytes,
)
from pollenstile.forward import usable

# Seconds between two events of an answer that goes on.
_PAUSE_SECONDS = 0.01
# Seconds in which an upstream reads results, and steps of a wait after that.
_READ_SECONDS = 0.3
_PART_SECONDS = 0.05
_MAX_PARTS = 100
# Seconds for which the caller of a request waits that is sent a second time
# with its stage work made again.
_LONG_SECONDS = 60.0
# Requests that an upstream with free slots runs at once.
_SLOTS = 8


@given('the host awaits answers of the other upstreams')
def given_others_in_flight(context):
    for view in context.story.registry.usable(SERVICE):
        view.in_flight += 1


@given('the host awaits answers of all upstreams')
def given_all_in_flight(context):
    for view in context.story.registry.usable(SERVICE):
        view.slots = _SLOTS
        view.in_flight += 1
        view.streams += 1


@when(
    'the upstream of forwarded send {place:d} is heard for {seconds:g} seconds'
)
def when_heard_for(context, place, seconds):
    """Let another answer of the upstream go on."""
    address = context.story.calls[place].address
    views = context.story.registry.usable(SERVICE)
    _hear(
        context,
        next(view for view in views if view.address == address),
        seconds,
    )


def _hear(context, view, seconds):
    for _ in range(round(seconds / _PAUSE_SECONDS)):
        view.heard_at = context.story.clock.seconds()
        context.story.clock.advance(_PAUSE_SECONDS)


@then('its forwarded stage results are {state}')
def then_results(context, state):
    expected = {'held': 0, 'released': 2}[state]
    assert len(context.story.stages.released) == expected


@when('its stage work is done, and renewed for a send beside a silent one')
def when_renewed(context):
    """Let the upstream read the results, and then be silent for long."""
    story = context.story
    story.route = replace(story.route, timeout=_LONG_SECONDS)
    story.start(deadline=_LONG_SECONDS)
    when_heard_for(context, 0, _READ_SECONDS)
    run = next(iter(story.core.runs))
    run.standby.next_view = _wait_without_end
    for _ in range(_MAX_PARTS):
        story.clock.advance(_PART_SECONDS)
        if run.standby.is_preparing():
            break
    assert story.stages.made == 2


async def _wait_without_end(run, inputs, avoided):
    await Deferred()


@then('all its forwarded stage results are released')
def then_all_released(context):
    stages = context.story.stages
    assert len(stages.released) == 2 * stages.made, stages.released


@when('its stage work is done')
def when_stages_done(context):
    context.story.start()


@when('its stage work is done and refused as "{reason}" from now on')
def when_stages_refused(context, reason):
    context.story.start()
    context.story.stages.refusal = reason


@when('forwarded send {place:d} goes on to event {last:d} and ends')
def when_goes_on(context, place, last):
    """Send what is missing of the events that the send has begun."""
    call = context.story.calls[place]
    if call.cancelled:
        return
    content = context.story.answer.content
    done = content.count(b'data: ')
    call.body(event_bytes(done + 1)[7:] + events_bytes(done + 2, last))


@when('forwarded send {place:d} streams half of event {number:d}')
def when_half_event(context, place, number):
    call = context.story.calls[place]
    call.answer()
    call.on_data(event_bytes(number)[:7])


@when('the host of the forwarded request stands still for {seconds:g} seconds')
def when_stands_still(context, seconds):
    context.story.clock.advance(seconds)


def _other_view(context):
    views = context.story.registry.usable(SERVICE)
    is_last_awaited = views[-1].address == context.story.calls[0].address
    return views[0 if is_last_awaited else -1]


@when('another upstream is heard')
def when_heard(context):
    context.heard = _other_view(context)
    context.heard.heard_at = context.story.clock.seconds()


@when('another upstream is heard for {seconds:g} seconds')
def when_other_heard_for(context, seconds):
    """Let an answer of another upstream go on."""
    _hear(context, _other_view(context), seconds)


@when('the caller of the forwarded request stops reading')
def when_stops_reading(context):
    context.story.answer.producer.pauseProducing()


@when('the caller of the forwarded request reads again')
def when_reads_again(context):
    context.story.answer.producer.resumeProducing()


@then(
    'forwarded send {place:d} is made beside send {other:d}, after event {last:d}'
)
def then_beside_after(context, place, other, last):
    then_beside(context, place, other)
    headers = context.story.calls[place].headers
    assert headers[NAMES.last_event] == b'%d' % last, headers


@then('forwarded send {place:d} is made beside send {other:d}')
def then_beside(context, place, other):
    calls = context.story.calls
    assert len(calls) == place + 1, len(calls)
    assert not calls[other].cancelled
    assert calls[place].address != calls[other].address


@then('forwarded send {place:d} is open')
def then_open(context, place):
    assert not context.story.calls[place].cancelled


@then('forwarded send {place:d} is at the upstream that was heard')
def then_at_heard(context, place):
    assert context.story.calls[place].address == context.heard.address


def _chosen_idents(context):
    views = context.story.registry.usable(SERVICE)
    now = context.story.clock.seconds()
    return {view.address for view in usable(views, now)}


@then("new requests don't go to the upstream of forwarded send {place:d}")
def then_passed_by(context, place):
    assert context.story.calls[place].address not in _chosen_idents(context)


@then('new requests may go to the upstream of forwarded send {place:d}')
def then_used_again(context, place):
    assert context.story.calls[place].address in _chosen_idents(context)


@then('its stage work is due again before its deadline')
def then_due_again(context):
    groups = context.story.stages.groups
    now = context.story.clock.seconds()
    assert len(groups) == 2, groups
    assert now < groups[1].due <= groups[1].deadline, groups[1]


def _bring(context, place, size, stated):
    call = context.story.calls[place]
    assert not call.cancelled, f'send {place} was closed'
    call.answer(length=stated * 1000)
    for _ in range(size):
        call.on_data(b'x' * 1000)
    return call


@when('forwarded send {place:d} brings {size:d} of {stated:d} kB')
def when_brings(context, place, size, stated):
    _bring(context, place, size, stated)


@when('forwarded send {place:d} brings {size:d} of {stated:d} kB and breaks')
def when_brings_and_breaks(context, place, size, stated):
    _bring(context, place, size, stated).body(whole=False)


@when('forwarded send {place:d} brings {size:d} of {stated:d} kB and ends')
def when_brings_and_ends(context, place, size, stated):
    _bring(context, place, size, stated).body()


@then('the caller of the forwarded request has all {size:d} kB')
def then_has_all(context, size):
    assert context.story.answer.end == 'whole', context.story.answer.end
    then_has_size(context, size)


@then('the caller of the forwarded request has {size:d} kB')
def then_has_size(context, size):
    assert len(context.story.answer.content) == size * 1000
