"""Steps of stage work."""

from types import SimpleNamespace

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import (
    LIMITS,
    Queue,
    group,
    pieces_of,
    workers,
)
from pollenstile.bench._stagedesks import LESSON
from pollenstile.bench.stages import simulate_load, summarize
from pollenstile.routes import StageStep
from pollenstile.stagework import (
    CallLost,
    Chain,
    ChainFailed,
    GroupDone,
    GroupRefused,
    Plan,
    Result,
    eligible_pieces,
    full_seconds,
    may_join_queue,
    may_start,
    owner_order,
    ranked,
)

_SECONDS = 12.0
_HOSTS = 9


@given('the stage load of a repair desk at {load:g} times its rate')
def given_load(context, load):
    context.requests = simulate_load(load, _SECONDS)


@given('the stage load of a lesson desk at {load:g} times its rate')
def given_lesson_load(context, load):
    context.requests = simulate_load(load, _SECONDS, desk=LESSON)


@then('none of them is refused')
def then_none_refused(context):
    refused = [request.kind for request in context.requests if request.refused]
    assert not refused, refused


@then('at least {share:d} in 100 staged requests meet their target latency')
def then_in_time(context, share):
    figures = summarize(context.requests)
    assert figures['in_aim'] * 100 >= share, figures


@then('with hosts that batch alone fewer than {share:d} in 100 do')
def then_alone(context, share):
    figures = summarize(simulate_load(1.0, _SECONDS, owners=_HOSTS))
    assert figures['in_aim'] * 100 < share, figures


@then(
    'at least {share:d} in 10 of those in time at {load:g} times the rate are in'
    ' time'
)
def then_goodput(context, share, load):
    before = summarize(simulate_load(load, _SECONDS))['in_aim_number']
    figures = summarize(context.requests)
    assert figures['in_aim_number'] * 10 >= share * before, (figures, before)


@then(
    'at least {share:d} in 100 refusals take at most an eighth of the target'
    ' latency',
)
def then_refused_at_once(context, share):
    figures = summarize(context.requests)
    assert figures['refused_at_once'] * 100 >= share * figures['refused']


@then('no kind of staged request is served less than {share:d} times in 100')
def then_not_starved(context, share):
    kinds = {}
    for request in context.requests:
        kinds.setdefault(request.kind, []).append(
            request.stage_seconds is not None
        )
    for kind, served in kinds.items():
        assert sum(served) * 100 >= share * len(served), (kind, len(served))


@given('a stage queue over workers in "{domains}"')
def given_queue(context, domains):
    context.queue = Queue(*domains.split(','))


@given('a stage queue over workers in ""')
def given_queue_alone(context):
    context.queue = Queue()


@given('no stage repeats remain')
def given_no_budget(context):
    context.queue.budget = 0


@given('the stage worker takes {times:g} times its usual time')
def given_slow_worker(context, times):
    for worker in context.queue.owner.workers.values():
        worker.speed = times


@when(
    'stage groups "{first}" and "{second}" of {count:d} pieces and {size:d} bytes come'
)
def when_two_groups(context, first, second, count, size):
    for request in (first, second):
        context.queue.submit(group(request, count, size))


@when('stage groups "{request}" of {count:d} pieces and {size:d} bytes come')
def when_group(context, request, count, size):
    context.queue.submit(group(request, count, size))


@when('a stage group "{request}" with inputs arrives')
def when_inputs(context, request):
    context.queue.submit(group(request, inputs=('10.9.9.9:1/a',), step=1))


@when(
    'a stage request "{request}" with two first steps arrives and cancels on'
    ' refusal'
)
def when_two_steps(context, request):
    queue = context.queue
    for step in (0, 1):
        waiter = queue.owner.submit(group(request, 2, 10, step=step))
        waiter.addCallback(_cancelled_with, queue, request)


def _cancelled_with(outcome, queue, request):
    queue.outcomes.setdefault(request, outcome)
    queue.owner.cancel(request)


@then('the stage queue holds {count:d} groups')
def then_groups(context, count):
    assert len(context.queue.owner.jobs) == count


@when('stage call {place:d} is answered')
def when_answered(context, place):
    context.queue.answer(place)


@when('stage call {place:d} is answered with "{reason}" for all')
def when_answered_reason(context, place, reason):
    count = len(context.queue.calls[place][1])
    context.queue.answer(place, [Result(reason=reason) for _ in range(count)])


@when('stage call {place:d} is lost before it arrived')
def when_not_arrived(context, place):
    context.queue.answer(place, CallLost('refused', 'w0', arrived=False))


@when('stage call {place:d} is lost after it arrived')
def when_arrived(context, place):
    context.queue.answer(place, CallLost('reset', 'w0', arrived=True))


@when('{seconds:g} seconds of stage time pass')
def when_time(context, seconds):
    for _ in range(round(seconds / 0.01)):
        context.queue.clock.advance(0.01)


@when('the stage results of "{request}" are released')
def when_released(context, request):
    context.queue.owner.release(context.queue.outcomes[request].handles)
    context.queue.clock.advance(0.05)


@when('the stage release is answered')
def when_release_answered(context):
    context.queue.freed[-1][2].callback(True)
    context.queue.clock.advance(0.05)


@when('the stage queue is handed over')
def when_handed_over(context):
    context.queue.owner.hand_over()


@when('the stage request "{request}" is cancelled')
def when_cancelled(context, request):
    context.queue.owner.cancel(request)


@then('stage request "{request}" is made')
def then_made(context, request):
    outcome = context.queue.outcomes[request]
    assert isinstance(outcome, GroupDone), outcome
    assert all(outcome.handles)


@then('stage request "{request}" is refused as "{reason}"')
def then_refused(context, request, reason):
    outcome = context.queue.outcomes[request]
    assert isinstance(outcome, GroupRefused), outcome
    assert outcome.reason == reason, outcome


@then(
    'no stage call holds pieces of "{second}" before the results of "{first}"'
    ' are read',
)
def then_waits_for_room(context, second, first):
    queue = context.queue
    held = [queue.requests(place) for place, _ in enumerate(queue.calls)]
    assert not any(second in requests for requests in held), held
    when_released(context, first)
    when_release_answered(context)
    assert set(queue.requests(1)) == {second}
    assert len(queue.requests(1)) == 6


@then('{count:d} stage calls were made')
def then_calls(context, count):
    assert len(context.queue.calls) == count, len(context.queue.calls)


@then('stage call {place:d} holds {count:d} pieces')
def then_holds(context, place, count):
    assert len(context.queue.calls[place][1]) == count


@then('stage call {place:d} goes to another worker')
def then_other_worker(context, place):
    calls = context.queue.calls
    assert calls[place][0] is not calls[place - 1][0]


@then('the results of stage call {place:d} are released')
def then_results_released(context, place):
    context.queue.clock.advance(0.05)
    address = context.queue.calls[place][0].address
    freed = [
        release for release in context.queue.freed if release[0] == address
    ]
    assert freed
    assert all(handle.startswith(address) for handle in freed[0][1])


@then('the inputs of stage request "{request}" are still held')
def then_inputs_held(context, request):
    assert request not in context.queue.read


@then('the inputs of stage request "{request}" may be released')
def then_inputs_read(context, request):
    assert request in context.queue.read


@given('stage pieces due in {due:g} seconds whose inputs lie in "{domain}"')
def given_near(context, due, domain):
    context.pieces = pieces_of(group(count=3, due=due, near=(domain,)))


@then(
    'a worker in "{domain}" takes none of them while one in "{near}" is free in {seconds:g}'
)
def then_takes_none(context, domain, near, seconds):
    assert not eligible_pieces(
        context.pieces, domain, {near: seconds}, 0, 0.4, 8
    )


@then('it takes them when one in "{near}" is free in {seconds:g}')
def then_takes_late(context, near, seconds):
    assert (
        len(eligible_pieces(context.pieces, 'a', {near: seconds}, 0, 0.4, 8))
        == 3
    )


@then('it takes them when there is none in "{near}"')
def then_takes_all(context, near):
    assert len(eligible_pieces(context.pieces, 'a', {}, 0, 0.4, 8)) == 3


@given('stage groups due in {first:g}, {second:g} and {third:g} seconds')
def given_due(context, first, second, third):
    groups = [group(str(due), due=due) for due in (first, second, third)]
    context.pieces = pieces_of(*groups)


@then('they are ranked as those due in {first:g}, {second:g} and {third:g}')
def then_ranked(context, first, second, third):
    order = [piece.group.due for piece in ranked(context.pieces, 0, 0.4)]
    assert order == [first, second, third], order


@given('a first stage group due in {due:g} seconds that would wait {wait:g}')
def given_first_group(context, due, wait):
    context.due = due
    context.wait = wait
    context.inputs = ()


@given(
    'a stage group with inputs due in {due:g} seconds that would wait {wait:g}'
)
def given_later_group(context, due, wait):
    given_first_group(context, due, wait)
    context.inputs = ('10.0.0.1:1/a',)


def _is_admitted(context, urgency, share=1.0):
    waiting = group(due=context.due, urgency=urgency, inputs=context.inputs)
    full = full_seconds(LIMITS)
    return may_join_queue(waiting, context.wait, 0, full, share)


@then('it is taken with urgency {first:d} and refused with urgency {last:d}')
def then_urgency(context, first, last):
    assert _is_admitted(context, first)
    assert not _is_admitted(context, last)


@then(
    'with urgency {urgency:d} it is taken after most of its kind were refused'
)
def then_least_share(context, urgency):
    assert _is_admitted(context, urgency, share=0.2)


@then('it is taken with urgency {urgency:d}')
def then_taken(context, urgency):
    assert _is_admitted(context, urgency)


@then('it is refused with urgency {urgency:d}')
def then_not_taken(context, urgency):
    assert not _is_admitted(context, urgency)


@given('three stage workers of which one is slow')
def given_slow(context):
    context.workers = workers('a', 'a', 'a')
    context.workers[0].speed = 3.0


@then('the slow one starts no call while {waiting:d} pieces wait')
def then_slow_idle(context, waiting):
    slow = context.workers[0]
    assert not may_start(slow, context.workers, LIMITS, waiting, 0)


@then('it starts one while {waiting:d} pieces wait')
def then_slow_works(context, waiting):
    slow = context.workers[0]
    assert may_start(slow, context.workers, LIMITS, waiting, 0)


class _ManualClient:
    """A stage client with answers given by the test."""

    def __init__(self):
        self.waiting = []
        self.released = []
        self.cancelled = []
        self.read_callbacks = []
        self.crowded = False

    def submit(self, submitted, on_read):
        waiter = Deferred()
        self.waiting.append(waiter)
        self.read_callbacks.append(on_read)
        return waiter

    def limits_of(self, service):
        """Return the same limits for all services."""
        return LIMITS

    def is_crowded(self, service):
        return self.crowded

    def is_queue_long(self, service):
        return self.crowded

    def seconds(self, service, count):
        return 0.4

    def cancel(self, service, plan):
        self.cancelled.append(service)

    def release(self, host, service, handles):
        self.released.extend(handles)

    def domains_with(self, service):
        """Return no domain."""
        return ()

    def domain_of(self, handles):
        return ''


@given('a stage chain of two steps')
def given_chain(context):
    steps = (StageStep('encode'), StageStep('rerank', (0,)))
    plan = Plan('r', 'key', steps, (1, 2), (1.0, 2.0), 9.0, 0)
    context.client = _ManualClient()
    context.chain = Chain(context.client, plan)
    context.outcomes = []
    handles = Deferred.fromCoroutine(context.chain.handles())
    handles.addBoth(context.outcomes.append)


@when('its first step is made and its second refused')
def when_second_refused(context):
    context.client.waiting[0].callback(('host', GroupDone(('10.0.0.1:1/a',))))
    context.client.waiting[1].callback(('host', GroupRefused('late', 0.5)))


@then('the chain reports the reason, and its results are released')
def then_chain_failed(context):
    assert context.outcomes == [ChainFailed('late', 'rerank', 0.5)], (
        context.outcomes
    )
    assert context.client.released == ['10.0.0.1:1/a']


@when('its first step is made and its second has read the results')
def when_second_read(context):
    context.client.waiting[0].callback(('host', GroupDone(('10.0.0.1:1/a',))))
    context.client.read_callbacks[1]()


@when('the stage that made it is crowded')
def when_crowded(context):
    context.client.crowded = True
    context.client.read_callbacks[1]()


@then('the results of the first step are kept')
def then_kept(context):
    assert context.client.released == []


@then('the results of the first step are released')
def then_first_released(context):
    assert context.client.released == ['10.0.0.1:1/a']


@given('{count:d} stage hosts named in different orders')
def given_hosts(context, count):
    cores = {f'host-{number}': 1.0 for number in range(count)}
    context.orders = SimpleNamespace(
        first=owner_order('encode', cores),
        second=owner_order('encode', dict(reversed(cores.items()))),
    )


@then('all find the same order of owners')
def then_same_order(context):
    assert context.orders.first == context.orders.second


@then('without one host the others keep their order')
def then_order_kept(context):
    gone, *others = context.orders.first
    assert owner_order('encode', dict.fromkeys(others, 1.0)) == others
