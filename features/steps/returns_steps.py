"""Steps of promised return times."""

import pathlib

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import LIMITS, Queue, group, pieces_of
from pollenstile.bench._stagereturns import (
    simulate_lost_owner,
    simulate_returns,
    summarize_returns,
)
from pollenstile.peer import load_schema
from pollenstile.returns import ReturnTimes
from pollenstile.stagework import (
    GroupRefused,
    answer_bytes,
    answer_from,
    count_ahead,
    full_seconds,
    ranked,
)

_BEFORE = load_schema(
    pathlib.Path(__file__).parents[1] / 'builders/stage_answer_before.capnp'
)
_TOLERANCE = 0.06
_DEADLINE = 30.0
_ROUNDING = 1e-6


@given('return times of a queue that makes {rate:d} pieces a second')
def given_times(context, rate):
    context.rate = rate
    context.returns = ReturnTimes('encode')


def _refuse(context, count, wait, deadline, pieces=1):
    context.told = [
        context.returns.promise(
            group(f'r{number}', pieces, key=f'k{number}', deadline=deadline),
            0.0,
            wait,
            context.rate,
        )
        for number in range(count)
    ]


@when(
    '{count:d} callers of {pieces:d} pieces are refused at a wait of 1 second'
)
def when_many(context, count, pieces):
    _refuse(context, count, 1.0, _DEADLINE, pieces)


@when(
    '{count:d} callers with {left:g} seconds left are refused at a wait of'
    ' {wait:g} seconds'
)
def when_short(context, count, left, wait):
    _refuse(context, count, wait, left)


@then('no slot of 0.1 seconds has more than {most:d} promised pieces')
def then_slots(context, most):
    assert max(context.returns.pieces.values()) <= most + _ROUNDING


@then('their return times are in order, from {first:g} to {last:g} seconds')
def then_in_order(context, first, last):
    told = context.told
    assert told == sorted(told), told
    assert abs(told[0] - first) < _TOLERANCE, told
    assert abs(told[-1] - last) < _TOLERANCE, told


@then(
    '{count:d} promises are open after {first:g} seconds, and {later:d} after'
    ' {last:g}'
)
def then_open(context, count, first, later, last):
    assert context.returns.count_open(first) == count
    assert context.returns.count_open(last) == later
    assert len(context.returns.promises) == later


@then('the last {count:d} callers are promised nothing')
def then_nothing(context, count):
    assert set(context.told[-count:]) == {None}, context.told[-count:]
    assert None not in context.told[:-count]


def _full_queue(context, *, promises):
    context.lines = []
    context.queue = Queue('a')
    owner = context.queue.owner
    owner.log = lambda event, **fields: context.lines.append((event, fields))
    owner.configure(LIMITS, list(owner.workers.values()), promises=promises)
    for number in range(7):
        context.queue.submit(group(f'old{number}', LIMITS.batch, 10, due=9.0))


@given('a full queue with promised return times')
def given_promising(context):
    _full_queue(context, promises=True)


@given('a full queue without promised return times')
def given_plain(context):
    _full_queue(context, promises=False)


def _send(context, key, request, left=_DEADLINE):
    now = context.queue.clock.seconds()
    context.queue.submit(
        group(request, 1, 10, due=now + 0.5, key=key, deadline=now + left)
    )


@when('caller "{key}" is refused as "{request}"')
def when_refused(context, key, request):
    context.first_at = context.queue.clock.seconds()
    when_refused_short(context, key, _DEADLINE, request)


@when('caller "{key}" with {left:g} seconds left is refused as "{request}"')
def when_refused_short(context, key, left, request):
    _send(context, key, request, left)
    context.first = context.queue.outcomes[request]


@when('caller "{key}" returns as "{request}" at its time')
def when_returns(context, key, request):
    _wait_until_due(context)
    _send(context, key, request)


@when('caller "{key}" returns as "{request}" with {left:g} seconds left')
def when_returns_short(context, key, request, left):
    _wait_until_due(context)
    _send(context, key, request, left)


def _wait_until_due(context):
    assert context.first.promised, context.first
    due_at = context.first_at + context.first.retry_after
    context.queue.clock.advance(due_at - context.queue.clock.seconds())


@when('caller "{key}" sends "{request}"')
def when_sends(context, key, request):
    _send(context, key, request)


@when('caller "{key}" sends "{request}" {later:g} seconds later')
def when_sends_later(context, key, request, later):
    context.queue.clock.advance(later)
    context.early_at = context.queue.clock.seconds()
    _send(context, key, request)


@then('"{request}" waits')
def then_waits(context, request):
    assert request not in context.queue.outcomes, context.queue.outcomes


@then('"{request}" is refused')
def then_refused(context, request):
    assert context.queue.outcomes[request].reason == 'busy'


@given(
    'a returning group of urgency {urgency:d} that is due in {due:g} seconds'
)
def given_returning(context, urgency, due):
    context.returning = group(
        'returning', 3, due=due, urgency=urgency, is_returning=True
    )


@then('a new group of urgency {urgency:d} that is due sooner has it ahead')
def then_ahead(context, urgency):
    new = group('new', 1, due=0.5, urgency=urgency)
    waiting = pieces_of(context.returning)
    assert count_ahead(new, waiting, 0, full_seconds(LIMITS)) == 3


@then('it is made before a new group of urgency {urgency:d}')
def then_before(context, urgency):
    new = group('new', 1, due=9.0, urgency=urgency)
    waiting = pieces_of(new, context.returning)
    order = ranked(waiting, 0, full_seconds(LIMITS))
    assert order[-1].group is new, order


@when('the queue empties')
def when_empties(context):
    _answer_calls(context.queue)


@then('no promise is kept in memory')
def then_forgotten(context):
    returns = context.queue.owner.returns
    assert not returns.promises
    assert max(returns.pieces.values()) < _ROUNDING


def _answer_calls(queue):
    place = 0
    while place < len(queue.calls):
        if not queue.calls[place][2].called:
            queue.answer(place)
        place += 1


@then('"{request}" is made, and its log line tells that it returned')
def then_made(context, request):
    _answer_calls(context.queue)
    assert context.queue.outcomes[request].handles
    returned = [
        fields['request']
        for event, fields in context.lines
        if event.name == 'stage-made' and fields['returned']
    ]
    assert returned == [request], returned


@then(
    'caller "{key}" is due from its slot\'s start until 1 second after its end'
)
def then_due(context, key):
    middle = context.first_at + context.first.retry_after
    again = group('again', key=key)
    due = [
        context.queue.owner.returns.is_due(again, middle + offset)
        for offset in (-0.06, -0.04, 1.04, 1.06)
    ]
    assert due == [False, True, True, False], due


@then('"{request}" is refused with the same return time')
def then_same_time(context, request):
    early = context.queue.outcomes[request]
    moved = context.early_at + early.retry_after
    moved -= context.first_at + context.first.retry_after
    assert early.promised, early
    assert abs(moved) < _ROUNDING, moved


@then('"{request}" is told the queue\'s wait')
def then_told_wait(context, request):
    refused = context.queue.outcomes[request]
    assert not refused.promised, refused
    assert refused.wait > 2, refused
    assert refused.retry_after == refused.wait, refused


@given('its stage work is refused with a promised time of {seconds:g} seconds')
def given_promised(context, seconds):
    refused = GroupRefused('busy', seconds, seconds, promised=True)
    waiter = Deferred()
    waiter.callback(('h', refused))
    context.story.core.stages.submit = lambda group, on_read: waiter
    context.story.start()


@then('it gets retry advice of {seconds:g} seconds')
def then_advice(context, seconds):
    added = context.story.answer.refusal.retry_after - seconds
    assert abs(added) < _ROUNDING, added


@given(
    'a refusal with a promised time of {seconds:g} seconds, sent to another'
    ' host'
)
def given_sent(context, seconds):
    context.refused = GroupRefused('busy', seconds, 1.0, promised=True)
    context.sent = answer_bytes(context.refused)


@then('a host of this release reads the promise')
def then_reads(context):
    assert answer_from(context.sent) == context.refused


@then('a host of the release before reads advice of {seconds:g} seconds')
def then_reads_before(context, seconds):
    with _BEFORE.GroupAnswer.from_bytes(context.sent) as reader:
        assert reader.reason == 'busy'
        assert reader.retryMs == seconds * 1000


@then('a refusal of the release before is read as not promised')
def then_reads_old(context):
    sent = _BEFORE.GroupAnswer.new_message(reason='busy', retryMs=2500)
    assert answer_from(sent.to_bytes()) == GroupRefused('busy', 2.5)


@given('callers that return once, whose owner loses power')
def given_lost_owner(context):
    callers, lost_at = simulate_lost_owner(1.5)
    context.callers = callers
    context.lost_at = lost_at


@then('each of their attempts ends once')
def then_ends_once(context):
    for caller in context.callers:
        for attempt in filter(None, (caller.first, caller.second)):
            answered = attempt.stage_seconds is not None
            assert answered != bool(attempt.refused), caller


@then('some that returned to the next owner are refused, others answered')
def then_next_owner(context):
    ends = {
        caller.second.refused
        for caller in context.callers
        if caller.was_promised()
        and caller.first.arrived_at < context.lost_at
        and context.lost_at < caller.second.arrived_at
    }
    assert {'', 'busy'} <= ends, ends


@given('callers that return once at {load:g} times the capacity')
def given_load(context, load):
    context.summary = summarize_returns(simulate_returns(load))


@then('at least {share:d} in 100 that returned at their time are served')
def then_served(context, share):
    assert context.summary['promised'] > 500, context.summary
    assert context.summary['promised_served'] >= share / 100, context.summary


@then('no second has more than {times:g} times the mean of returns')
def then_spread(context, times):
    assert context.summary['peak'] <= times, context.summary
