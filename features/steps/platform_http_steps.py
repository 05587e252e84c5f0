"""Steps of the platform client and stand-ins over real sockets."""

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.loop import collect_result, result_of, run_reactor_until
from features.builders.platform import (
    Forgetful,
    Page,
    Silence,
    Trickle,
    World,
    http_caller,
    http_store,
    listen_on_loopback,
    serving,
)
from pollenstile.platform import (
    VALUE_LIMIT,
    Absent,
    FailedCall,
    Changes,
    Compacted,
    Conflict,
    Found,
    HostEntry,
    NotApplied,
    Throttled,
    Ticket,
    Unavailable,
    Written,
    read_host_list,
    list_all,
    request_ticket,
)
from pollenstile.standin.hostlist import MemoryHosts, hostlist_resource
from pollenstile.standin.objectapi import platform_site
from pollenstile.standin.weightstore import (
    MemoryWeights,
    weightstore_resource,
)


def _connect(context, port, clock=None):
    context.port = port
    context.http = http_store(port, clock) if clock else http_store(port)
    context.add_cleanup(lambda: result_of(port.stopListening()))
    context.add_cleanup(lambda: result_of(context.http.caller.close()))


@given('a platform server on the loopback')
def step_server(context):
    world = World()
    context.world = world
    context.hosts = MemoryHosts(world.clock, lag=5)
    context.weights = MemoryWeights(world.clock, rate=0.5, burst=1)
    site = platform_site(
        world.store,
        hostlist_resource(context.hosts),
        weightstore_resource(context.weights),
    )
    _connect(context, listen_on_loopback(site))


@given('a platform server on the loopback that has ended')
def step_ended(context):
    port = listen_on_loopback(platform_site(World().store))
    context.http = http_store(port)
    result_of(port.stopListening())


@given('a silent platform server on the loopback')
def step_silent_server(context):
    context.clock = Clock()
    context.silence = Silence()
    _connect(context, serving(context.silence), context.clock)


@given('a platform server that knows two kept connections no more')
def step_forgetful(context):
    context.clock = Clock()
    context.forgetful = Forgetful()
    _connect(context, serving(context.forgetful), context.clock)
    kept = [collect_result(context.http.get('config', 'm')) for _ in range(2)]
    run_reactor_until(lambda: all(kept))
    assert len(context.forgetful.open) == 2
    context.forgetful.forget()


@then('the first platform read over HTTP waits for its timeout')
def step_first_waits(context):
    kept = collect_result(context.http.get('config', 'm'))
    run_reactor_until(lambda: context.forgetful.unanswered)
    assert not kept
    context.clock.advance(21)
    run_reactor_until(lambda: kept)
    assert isinstance(kept[0], Unavailable), kept


@then('the next platform read over HTTP is answered at once')
def step_next_answered(context):
    outcome = result_of(context.http.get('config', 'm'))
    assert outcome == Absent('config', 'm'), outcome
    assert context.forgetful.unanswered == 1


@given('a platform server that answers 404 with a page of its own')
def step_wrong_page(context):
    _connect(context, serving(Page(404, b'<h1>no route</h1>')))


@given('a platform server that answers 200 with 5 million bytes')
def step_endless(context):
    _connect(context, serving(Page(200, b' ' * 5_000_000)))


@then('over HTTP the platform store creates, conflicts, reads and deletes')
def step_calls(context):
    store = context.http
    assert result_of(store.put('config', 'm', [1], 0)) == Written(1)
    assert result_of(store.put('config', 'm', [2], 0)) == Conflict(1)
    assert result_of(store.put('config', 'm', [2])) == Written(2)
    found = Found('config', 'm', 2, [2])
    assert result_of(store.get('config', 'm')) == found
    assert result_of(store.delete('config', 'm', 1)) == Conflict(2)
    assert result_of(store.delete('config', 'm', 2)) == Written(3)
    assert result_of(store.get('config', 'm')) == Absent('config', 'm')


@then('over HTTP the platform store lists pages and names with slashes')
def step_pages(context):
    store = context.http
    names = [f'{shard}/{number}' for shard in 'a%b' for number in range(300)]
    for name in names:
        context.world.store.objects.put('claims', name, b'{}', 0)
    whole = result_of(list_all(store, 'claims'))
    assert [found.name for found in whole.objects] == sorted(names)
    some = result_of(store.listed('claims', '%/', '%/298', 5))
    expected = ['%/299', '%/3', '%/30', '%/31', '%/32']
    assert [found.name for found in some.objects] == expected, some
    assert some.more
    assert isinstance(result_of(store.get('claims', '%/7')), Found)


@then('over HTTP a platform watch sees a change while it waits')
def step_watch_waits(context):
    world = context.world
    since = world.store.objects.revision
    kept = collect_result(context.http.watched('config', since))
    run_reactor_until(lambda: world.store.waiting)
    result_of(context.http.put('config', 'm', {'a': 'ö'}))
    world.clock.advance(0)
    run_reactor_until(lambda: kept)
    assert isinstance(kept[0], Changes), kept
    assert [event.value for event in kept[0].events] == [{'a': 'ö'}]


@then('over HTTP a compacted platform watch is told so')
def step_compacted(context):
    context.world.store.objects.compact()
    revision = context.world.store.objects.revision
    outcome = result_of(context.http.watched('config', 1))
    assert outcome == Compacted(revision), outcome


@then('over HTTP a platform value above the limit is refused')
def step_too_large(context):
    caller = context.http.caller
    call = caller.call('PUT', '/v1/objects/a/b', b'1' * (VALUE_LIMIT + 1))
    assert result_of(call).status == 413
    outcome = result_of(context.http.put('a', 'b', 'x' * VALUE_LIMIT))
    assert isinstance(outcome, NotApplied), outcome
    largest = 'x' * (VALUE_LIMIT - 2)
    assert isinstance(result_of(context.http.put('a', 'b', largest)), Written)
    assert result_of(context.http.get('a', 'b')).value == largest


@then('a bare platform put over HTTP is "{bare}" and a settled one "{settled}"')
def step_bare_and_settled(context, bare, settled):
    store = context.world.store
    outcome = result_of(context.http.put('config', 'bare', 1))
    assert type(outcome).__name__ == bare, outcome
    store.lose_answers = 1
    kept = collect_result(context.world.settled('w', 0, context.http))
    run_reactor_until(lambda: store.calls['get'])
    run_reactor_until(lambda: kept)
    assert type(kept[0]).__name__ == settled, kept
    assert store.objects.revision == 2


@then('a bare platform put over HTTP is "{name}"')
def step_bare(context, name):
    outcome = result_of(context.http.put('config', 'bare', 1))
    assert type(outcome).__name__ == name, outcome


@then('a platform read over HTTP is "{name}"')
def step_read(context, name):
    outcome = result_of(context.http.get('config', 'bare'))
    assert type(outcome).__name__ == name, outcome


@then('a raw platform call over HTTP is broken off')
def step_broken(context):
    outcome = result_of(context.http.caller.call('GET', '/v1/any'))
    assert isinstance(outcome, FailedCall) and outcome.connected, type(outcome)


@then('platform calls over HTTP time out as "{write}" and "{read}"')
def step_time_out(context, write, read):
    kept = [
        collect_result(context.http.put('config', 'm', 1)),
        collect_result(context.http.get('config', 'm')),
    ]
    run_reactor_until(lambda: context.silence.taken == 2)
    context.clock.advance(19)
    assert kept == [[], []]
    context.clock.advance(2)
    run_reactor_until(lambda: all(kept))
    names = [type(outcomes[0]).__name__ for outcomes in kept]
    assert names == [write, read], kept


@then('the silent platform server has lost its connections')
def step_connections_lost(context):
    run_reactor_until(lambda: context.silence.lost == 2)


@then("over HTTP the platform's host list shows a change after its lag")
def step_hosts(context):
    caller = http_caller(context.port)
    entry = HostEntry('e1', '10.0.0.1:80', 'clark', 3, 'leaving')
    context.hosts.change(entry)
    assert result_of(read_host_list(caller)).hosts == ()
    context.world.clock.advance(5)
    assert result_of(read_host_list(caller)).hosts == (entry,)
    result_of(caller.close())


@then("over HTTP the platform's weight store throttles by its rate")
def step_weights(context):
    caller = http_caller(context.port)
    first = result_of(request_ticket(caller, 'org/draft', '3'))
    assert first == Ticket('org/draft', '3'), first
    assert result_of(request_ticket(caller, 'd', '3')) == Throttled(2.0)
    context.world.clock.advance(2)
    assert isinstance(result_of(request_ticket(caller, 'd', '3')), Ticket)
    result_of(caller.close())


@given('a platform server that answers in parts')
def step_trickle(context):
    context.clock = Clock()
    context.trickle = Trickle()
    _connect(context, serving(context.trickle), context.clock)


@when(
    'a raw platform call over HTTP with {seconds:d} second begins to be answered'
)
def step_begins(context, seconds):
    caller = context.http.caller
    call = caller.call('GET', '/v1/x', timeout=seconds, fresh=True)
    context.kept = collect_result(call)
    run_reactor_until(lambda: caller.arriving == 1)


@when('{count:d} further parts come, {gap:g} seconds apart')
def step_parts(context, count, gap):
    for _ in range(count):
        context.clock.advance(gap)
        if context.kept:
            return
        _send_part(context)


def _send_part(context):
    before = _gives_up_at(context)
    context.trickle.part()
    run_reactor_until(lambda: _gives_up_at(context) != before)


def _gives_up_at(context):
    return [call.getTime() for call in context.clock.getDelayedCalls()]


@when('no further part comes for {seconds:g} seconds')
def step_no_part(context, seconds):
    context.clock.advance(seconds)


@when('the last part comes')
def step_last(context):
    context.trickle.end()
    run_reactor_until(lambda: context.kept)


@then('an answer is coming in')
def step_coming(context):
    assert context.http.is_answering()


@then('no answer is coming in')
def step_not_coming(context):
    assert not context.http.is_answering()


@then('the raw platform call over HTTP has its whole answer')
def step_whole_answer(context):
    assert context.kept[0].body == b'[1,1,1,1,1]', context.kept


@then('the raw platform call over HTTP timed out')
def step_timed_out(context):
    run_reactor_until(lambda: context.kept)
    assert context.kept == [FailedCall(connected=True, reason='TimeoutError')]
