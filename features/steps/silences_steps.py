"""Steps for upstreams that fall silent and go on."""

from itertools import pairwise

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.silences import WORLDS
from pollenstile.bench.silences import cut_off, first_refusals
from pollenstile.standin.crashing import (
    EVENT_GAP_SECONDS,
    NAMES,
    CrashingUpstreams,
)

_ADDRESS = 'u:1'
_STEP = 0.01
# Seconds of a simulated stream, of ten events.
_STREAM_SECONDS = 1.0
_PAUSE_SECONDS = 2.5


@when('all upstreams stand still')
def when_all(context):
    context.worlds = WORLDS['all upstreams stand still']()


@when('three fifths of the upstreams stand still')
def when_part(context):
    context.worlds = WORLDS['three fifths of the upstreams stand still']()


@when('all upstreams stand still, and requests are sent once')
def when_sent_once(context):
    name = 'all upstreams stand still, and requests are sent once'
    context.worlds = WORLDS[name]()


@when('a part of the upstreams is silent for good')
def when_for_good(context):
    context.worlds = WORLDS['a part of the upstreams is silent for good']()


@when('single connections are silent for good')
def when_connections(context):
    context.worlds = WORLDS['single connections are silent for good']()


@then('no first answer of a silence is cut off or refused')
def then_none_lost(context):
    assert min(len(world.callers) for world in context.worlds) > 200
    lost = [
        (world.route.kind.value, len(cut_off(world)), first_refusals(world))
        for world in context.worlds
    ]
    assert not any(cut or refused for _, cut, refused in lost), lost
    for world in context.worlds:
        assert all(caller.is_whole() for caller in world.callers)


@then(
    'no first answer is cut off or refused while one of its connections is sound'
)
def then_none_lost_while_sound(context):
    for world in context.worlds:
        hopeless = world.lost_attempts()
        for caller in world.callers:
            first = caller.answers[0]
            if first.end in {'broken', 'refused'}:
                assert f'{caller.ident}-0' in hopeless, caller.ident


@then('each caller of a silence has its whole answer in its time')
def then_served(context):
    for world in context.worlds:
        late = [caller for caller in world.callers if not caller.is_whole()]
        assert not late, (world.route.kind.value, len(late))


@then('each stream of a silence comes in order, without gap or repeat')
def then_in_order(context):
    for world in context.worlds:
        for caller in world.callers:
            assert caller.is_in_order(), caller.numbers()
            assert not caller.missing(), caller.numbers()


@then('no request of a silence reaches more upstreams than its route allows')
def then_not_overrun(context):
    for world in context.worlds:
        assert not world.overrun(), world.overrun()


@then('no window of a silence has more repeats than the budget allows')
def then_in_budget(context):
    for world in context.worlds:
        assert world.budget_share() <= 1, world.budget_share()


class _Stream:
    """A request at the simulated upstream, and the events that came."""

    def __init__(self, upstreams, ident):
        self.clock = upstreams.clock
        self.times = []
        self.ends = []
        headers = {NAMES.attempt: ident.encode(), NAMES.expect: b'i1'}
        client = upstreams.client_of('host')
        self.call = client.send(_ADDRESS, b'POST', b'/', headers, b'')
        self.call.head.addCallback(self.read)

    def read(self, head):
        """Read the body of an answer."""
        self.call.deliver(head, self.note_event, self.ends.append)

    def note_event(self, data):
        """Note the time of an event."""
        self.times.append(self.clock.seconds())


def _advance(context, seconds):
    for _ in range(round(seconds / _STEP)):
        context.clock.advance(_STEP)


@given('a simulated upstream that has sent 3 events of a stream')
def given_upstream(context):
    context.clock = Clock()
    context.upstreams = CrashingUpstreams(
        context.clock,
        lambda name, entry: None,
        lambda body: False,
        _STREAM_SECONDS,
    )
    context.upstreams.start(_ADDRESS, 'd')
    context.first = _Stream(context.upstreams, 'first')
    while len(context.first.times) < 3:
        _advance(context, _STEP)
    _advance(context, 0.05)


@when('it stands still for 2.5 seconds, and gets a second request meanwhile')
def when_request_meanwhile(context):
    context.upstreams.pause(_ADDRESS, _PAUSE_SECONDS)
    context.goes_on_at = context.clock.seconds() + _PAUSE_SECONDS
    _advance(context, 1.0)
    context.second = _Stream(context.upstreams, 'second')


@then('nothing leaves it until it goes on, and it accepts connections')
def then_nothing_leaves(context):
    _advance(context, _PAUSE_SECONDS - 1.0 - 2 * _STEP)
    assert len(context.first.times) == 3
    assert context.second.call.sent
    assert not context.second.call.head.called
    assert len(context.upstreams.held) == 1
    assert len(context.upstreams.arrivals) == 1


@then('the remaining events come at their gaps, and the second stream after it')
def then_goes_on(context):
    _advance(context, 2 * _STREAM_SECONDS)
    times = context.first.times
    assert len(times) == 10, times
    shifted = [moment - _PAUSE_SECONDS for moment in times[3:]]
    gaps = [late - early for early, late in pairwise((*times[:3], *shifted))]
    assert max(gaps) < EVENT_GAP_SECONDS + 2 * _STEP, gaps
    assert min(gaps) > EVENT_GAP_SECONDS - 2 * _STEP, gaps
    assert context.first.ends
    assert context.second.times[0] > context.goes_on_at
    assert len(context.second.times) == 10


@when('it stands still for 2.5 seconds, and the host closes the connection')
def when_closed(context):
    context.upstreams.pause(_ADDRESS, _PAUSE_SECONDS)
    _advance(context, 1.0)
    context.first.call.cancel()


@then(
    'it is at work on the stream until it goes on, and makes no further event'
)
def then_notices(context):
    process = context.upstreams.processes[_ADDRESS]
    _advance(context, _PAUSE_SECONDS - 1.0 - 2 * _STEP)
    assert process.running == 1
    _advance(context, _STREAM_SECONDS)
    assert not process.running
    assert context.upstreams.events_made == 3


@when('its connection is silent for good, and it gets a second request')
def when_silent(context):
    context.first.call.silent = True
    context.second = _Stream(context.upstreams, 'second')


@then('the first stream brings nothing more, and the second one is complete')
def then_silent(context):
    _advance(context, 2 * _STREAM_SECONDS)
    assert len(context.first.times) == 3
    assert not context.first.ends
    assert len(context.second.times) == 10
    assert context.second.ends
    assert context.upstreams.events_made == 20
