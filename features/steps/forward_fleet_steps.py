"""Steps for forwarded requests through hosts, stages and an engine."""

from collections import Counter

from behave import given, then, when

from features.builders.forwardfleet import ForwardFleet
from features.builders.loop import result_of, run_reactor_until

_END = b'0\r\n\r\n'


@given('a forwarding fleet of the hosts "{names}"')
def given_fleet(context, names):
    context.fleet = ForwardFleet()
    context.add_cleanup(context.fleet.close)
    for name in names.split(','):
        context.fleet.add_host(name)
    context.fleet.wait_until_linked()
    context.connections = []


def _send(context, name, count):
    for _ in range(count):
        attempt = f'd{len(context.connections)}'
        context.connections.append(context.fleet.send(name, attempt))


@when('{count:d} drafts are sent to each forwarding host')
def when_each(context, count):
    for name in list(context.fleet.daemons):
        _send(context, name, count)


@when(
    '{count:d} drafts are sent to forwarding host "{name}" and host "{other}" is stopped'
)
def when_stopped(context, count, name, other):
    _send(context, name, count)
    fleet = context.fleet
    run_reactor_until(
        lambda: any(event == 'stage-called' for _, event, _ in fleet.logged)
    )
    context.stopped = fleet.stop(other)


@when('{count:d} drafts are sent to forwarding host "{name}" alone')
def when_alone(context, count, name):
    _send(context, name, count)


@when('the store of the fleet fails and forwarding host "{name}" starts')
def when_down(context, name):
    context.fleet.store.down = True
    context.starting = context.fleet.start_host(name)


@given('forwarding host "{name}" gets no answers from its upstreams')
def given_cut(context, name):
    context.fleet.cut(name, refuses=False)


@when(
    '{count:d} drafts are sent to forwarding host "{name}", which is then stopped'
)
def when_sent_and_stopped(context, count, name):
    factory = context.fleet.daemons[name].factory
    _send(context, name, count)
    run_reactor_until(lambda: factory.in_flight == count)
    result_of(context.fleet.stop(name))


@then('each draft is answered with 503 and when to come back')
def then_refused(context):
    for connection in context.connections:
        received = connection.received.lower()
        assert received.startswith(b'http/1.1 503'), received
        assert b'retry-after: ' in received, received


@then('all {count:d} drafts are answered completely')
def then_complete(context, count):
    connections = context.connections
    assert len(connections) == count
    run_reactor_until(
        lambda: all(
            connection.received.endswith(_END) for connection in connections
        )
    )
    for connection in connections:
        assert b'200' in connection.received.split(b'\r\n')[0], (
            connection.received
        )
        assert connection.received.count(b'data: piece') == 4, (
            connection.received
        )


@then('each piece ran once, and the engine ran each draft once')
def then_once(context):
    pieces = Counter(
        (piece['request'], piece['step'], piece['number'])
        for piece in context.fleet.results.executed_pieces
    )
    assert len(pieces) == 4 * len(context.connections), len(pieces)
    assert set(pieces.values()) == {1}, pieces
    runs = Counter(attempt for attempt, _ in context.fleet.engine.runs)
    assert set(runs.values()) == {1}, runs
    for _, handles in context.fleet.engine.runs:
        assert len(set(handles)) == 3, handles


@then('each stage had one forwarding host as its owner')
def then_one_owner(context):
    owners = {}
    for host, event, fields in context.fleet.logged:
        if event == 'stage-called':
            owners.setdefault(fields['service'], set()).add(host)
    assert len(owners) == 2, owners
    assert all(len(hosts) == 1 for hosts in owners.values()), owners


@then('all stage results are released')
def then_released(context):
    run_reactor_until(lambda: not context.fleet.results.known)


@then('forwarding host "{name}" stops with no request in flight')
def then_ends(context, name):
    result_of(context.stopped)
    ended = [
        fields
        for host, event, fields in context.fleet.logged
        if host == name and event == 'forward-stopped'
    ]
    assert ended == [{'in_flight': 0}], ended


@then('host "{name}" is not ready, and answers a draft with {status:d}')
def then_not_ready(context, name, status):
    assert not context.starting.is_ready()
    connection = context.fleet.send(name, 'early')
    run_reactor_until(lambda: b'\r\n\r\n' in connection.received)
    assert str(status).encode() in connection.received.split(b'\r\n')[0]


@then('host "{name}" goes on serving drafts')
def then_still_serves(context, name):
    _send(context, name, 2)
    then_complete(context, 2)
