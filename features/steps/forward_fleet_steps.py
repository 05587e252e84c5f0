"""Steps of the whole path of forwarded requests."""

from collections import Counter

from behave import given, then, when

from features.builders.forwardfleet import ForwardFleet
from features.builders.loop import result_of, turned_until

_END = b'0\r\n\r\n'


@given('a forwarding fleet of the hosts "{names}"')
def given_fleet(context, names):
    context.fleet = ForwardFleet()
    context.add_cleanup(context.fleet.close)
    for name in names.split(','):
        context.fleet.add_host(name)
    context.fleet.linked()
    context.talks = []


def _send(context, name, count):
    for _ in range(count):
        attempt = f'd{len(context.talks)}'
        context.talks.append(context.fleet.send(name, attempt))


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
    turned_until(
        lambda: any(event == 'stage-called' for _, event, _ in fleet.logged)
    )
    context.ending = fleet.stop(other)


@when('{count:d} drafts are sent to forwarding host "{name}" alone')
def when_alone(context, count, name):
    _send(context, name, count)


@when('the store of the fleet goes down and forwarding host "{name}" starts')
def when_down(context, name):
    context.fleet.store.down = True
    context.starting = context.fleet.begin_host(name)


@then('all {count:d} drafts are answered whole')
def then_whole(context, count):
    talks = context.talks
    assert len(talks) == count
    turned_until(lambda: all(talk.received.endswith(_END) for talk in talks))
    for talk in talks:
        assert b'200' in talk.received.split(b'\r\n')[0], talk.received
        assert talk.received.count(b'data: piece') == 4, talk.received


@then('each piece was made once, and the engine ran each draft once')
def then_once(context):
    made = Counter(
        (piece['request'], piece['step'], piece['number'])
        for piece in context.fleet.results.made
    )
    assert len(made) == 4 * len(context.talks), len(made)
    assert set(made.values()) == {1}, made
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


@then('no stage result is left')
def then_released(context):
    turned_until(lambda: not context.fleet.results.known)


@then('forwarding host "{name}" ends with nothing in flight')
def then_ends(context, name):
    result_of(context.ending)
    ended = [
        fields
        for host, event, fields in context.fleet.logged
        if host == name and event == 'forward-stopped'
    ]
    assert ended == [{'in_flight': 0}], ended


@then('host "{name}" is not ready, and answers a draft with {status:d}')
def then_not_ready(context, name, status):
    assert not context.starting.is_ready()
    talk = context.fleet.send(name, 'early')
    turned_until(lambda: b'\r\n\r\n' in talk.received)
    assert str(status).encode() in talk.received.split(b'\r\n')[0]


@then('host "{name}" goes on serving drafts')
def then_goes_on(context, name):
    _send(context, name, 2)
    then_whole(context, 2)
