"""Steps for the platform client and stand-ins over real sockets."""

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.loop import collect_result, result_of, run_reactor_until
from features.builders.platform import (
    FixedResponse,
    PartwiseServer,
    StateDroppingServer,
    UnresponsiveServer,
    World,
    http_client,
    http_store,
    listen_on_loopback,
    serve_resource,
)
from pollenstile.platform import (
    VALUE_LIMIT,
    Absent,
    Changes,
    Compacted,
    Conflict,
    FailedCall,
    Found,
    HostEntry,
    NotApplied,
    Throttled,
    Ticket,
    Written,
    list_all,
    read_host_list,
    request_ticket,
)
from pollenstile.standin.hostlist import MemoryHosts, hostlist_resource
from pollenstile.standin.objectapi import platform_site
from pollenstile.standin.weightstore import (
    MemoryWeights,
    weightstore_resource,
)


def _use_port(context, port, clock=None):
    context.port = port
    context.http = http_store(port, clock) if clock else http_store(port)
    context.add_cleanup(lambda: result_of(port.stopListening()))


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
    _use_port(context, listen_on_loopback(site))


@given('a platform server on the loopback that has stopped')
def step_ended(context):
    port = listen_on_loopback(platform_site(World().store))
    context.http = http_store(port)
    result_of(port.stopListening())


@given('a silent platform server on the loopback')
def step_silent_server(context):
    context.clock = Clock()
    context.unresponsive = UnresponsiveServer()
    _use_port(context, serve_resource(context.unresponsive), context.clock)


@given('a platform server that has lost two connections')
def step_lost_state(context):
    context.clock = Clock()
    context.dropping = StateDroppingServer()
    _use_port(context, serve_resource(context.dropping), context.clock)
    kept = [collect_result(context.http.get('config', 'm')) for _ in range(2)]
    run_reactor_until(lambda: all(kept))
    assert len(context.dropping.open) == 2
    context.dropping.drop_connections()


@then('the next platform read over HTTP is answered immediately')
def step_next_answered(context):
    outcome = result_of(context.http.get('config', 'm'))
    assert outcome == Absent('config', 'm'), outcome
    assert context.dropping.unanswered == 0


@given('a platform server that answers 404 with an HTML page')
def step_wrong_page(context):
    _use_port(context, serve_resource(FixedResponse(404, b'<h1>no route</h1>')))


@given('a platform server that answers 200 with 5 million bytes')
def step_endless(context):
    _use_port(context, serve_resource(FixedResponse(200, b' ' * 5_000_000)))


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
    listing = result_of(list_all(store, 'claims'))
    assert [found.name for found in listing.objects] == sorted(names)
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


@then('over HTTP a platform watch from a compacted revision is rejected')
def step_compacted(context):
    context.world.store.objects.compact()
    revision = context.world.store.objects.revision
    outcome = result_of(context.http.watched('config', 1))
    assert outcome == Compacted(revision), outcome


@then('over HTTP a platform value above the limit is refused')
def step_too_large(context):
    client = context.http.client
    call = client.call('PUT', '/v1/objects/a/b', b'1' * (VALUE_LIMIT + 1))
    assert result_of(call).status == 413
    outcome = result_of(context.http.put('a', 'b', 'x' * VALUE_LIMIT))
    assert isinstance(outcome, NotApplied), outcome
    largest = 'x' * (VALUE_LIMIT - 2)
    assert isinstance(result_of(context.http.put('a', 'b', largest)), Written)
    assert result_of(context.http.get('a', 'b')).value == largest


@then(
    'a single platform put over HTTP is "{single}" and one with read-back "{read_back}"'
)
def step_put_and_read_back(context, single, read_back):
    store = context.world.store
    outcome = result_of(context.http.put('config', 'bare', 1))
    assert type(outcome).__name__ == single, outcome
    store.lose_answers = 1
    kept = collect_result(context.world.put_manifest('w', 0, context.http))
    run_reactor_until(lambda: store.calls['get'])
    run_reactor_until(lambda: kept)
    assert type(kept[0]).__name__ == read_back, kept
    assert store.objects.revision == 2


@then('a single platform put over HTTP is "{name}"')
def step_single_put(context, name):
    outcome = result_of(context.http.put('config', 'bare', 1))
    assert type(outcome).__name__ == name, outcome


@then('a platform read over HTTP is "{name}"')
def step_read(context, name):
    outcome = result_of(context.http.get('config', 'bare'))
    assert type(outcome).__name__ == name, outcome


@then('a raw platform call over HTTP is aborted')
def step_broken(context):
    outcome = result_of(context.http.client.call('GET', '/v1/any'))
    assert isinstance(outcome, FailedCall) and outcome.connected, type(outcome)


@then('platform calls over HTTP time out as "{write}" and "{read}"')
def step_time_out(context, write, read):
    kept = [
        collect_result(context.http.put('config', 'm', 1)),
        collect_result(context.http.get('config', 'm')),
    ]
    run_reactor_until(lambda: context.unresponsive.received == 2)
    context.clock.advance(19)
    assert kept == [[], []]
    context.clock.advance(2)
    run_reactor_until(lambda: all(kept))
    names = [type(outcomes[0]).__name__ for outcomes in kept]
    assert names == [write, read], kept


@then('the connections of the silent platform server are closed')
def step_connections_lost(context):
    run_reactor_until(lambda: context.unresponsive.disconnected == 2)


@then("over HTTP the platform's host list shows a change after its lag")
def step_hosts(context):
    client = http_client(context.port)
    entry = HostEntry('e1', '10.0.0.1:80', 'clark', 3, 'leaving')
    context.hosts.change(entry)
    assert result_of(read_host_list(client)).hosts == ()
    context.world.clock.advance(5)
    assert result_of(read_host_list(client)).hosts == (entry,)


@then("over HTTP the platform's weight store throttles by its rate")
def step_weights(context):
    client = http_client(context.port)
    first = result_of(request_ticket(client, 'org/draft', '3'))
    assert first == Ticket('org/draft', '3'), first
    assert result_of(request_ticket(client, 'd', '3')) == Throttled(2.0)
    context.world.clock.advance(2)
    assert isinstance(result_of(request_ticket(client, 'd', '3')), Ticket)


@given('a platform server that answers in parts')
def step_partwise(context):
    context.clock = Clock()
    context.partwise = PartwiseServer()
    _use_port(context, serve_resource(context.partwise), context.clock)


@when(
    'a raw platform call over HTTP with {seconds:d} second begins to be answered'
)
def step_begins(context, seconds):
    client = context.http.client
    call = client.call('GET', '/v1/x', timeout=seconds)
    context.kept = collect_result(call)
    run_reactor_until(lambda: client.bodies_in_progress == 1)


@when('{count:d} further parts arrive, {gap:g} seconds apart')
def step_parts(context, count, gap):
    for _ in range(count):
        context.clock.advance(gap)
        if context.kept:
            return
        _send_part(context)


def _send_part(context):
    before = _timeout_times(context)
    context.partwise.send_part()
    run_reactor_until(lambda: _timeout_times(context) != before)


def _timeout_times(context):
    return [call.getTime() for call in context.clock.getDelayedCalls()]


@when('no further part arrives for {seconds:g} seconds')
def step_no_part(context, seconds):
    context.clock.advance(seconds)


@when('the last part arrives')
def step_last(context):
    context.partwise.send_last_part()
    run_reactor_until(lambda: context.kept)


@then('a response body is being received')
def step_receiving(context):
    assert context.http.is_answering()


@then('no response body is being received')
def step_not_receiving(context):
    assert not context.http.is_answering()


@then('the raw platform call over HTTP has its complete response')
def step_complete_response(context):
    assert context.kept[0].body == b'[1,1,1,1,1]', context.kept


@then('the raw platform call over HTTP timed out')
def step_timed_out(context):
    run_reactor_until(lambda: context.kept)
    assert context.kept == [FailedCall(connected=True, reason='TimeoutError')]
