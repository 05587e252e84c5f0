"""Steps for many hosts that start at the same time."""

from behave import given, then, when

from features.builders.imports import imported_by
from features.builders.starts import SERVICE, StartedHost, fleet_of, lose_all
from pollenstile.bench._domainworld import DomainWorld

_START_SECONDS = 3.0
# Packages of this project and of its adapter.
_OWN_PACKAGES = frozenset(('adapter', 'main', 'pollenstile'))


@given('a store with {upstreams:d} upstreams and {hosts:d} registered hosts')
def given_store(context, upstreams, hosts):
    context.world = DomainWorld(1, has_upstream=False)
    store = context.world.store
    for number in range(upstreams):
        entry = {'service': 's', 'address': f'10.0.0.{number}:1', 'domain': 'd'}
        store.write_at_once('upstreams', f'u{number}', entry)
    for number in range(hosts):
        entry = {'address': f'gone{number}:1', 'domain': 'd', 'capacity': 1.0}
        store.write_at_once('pollenstile-hosts', f'gone{number}', entry)
    # One host runs already.
    context.counts = (upstreams, hosts + 1)


@when('a host starts there')
def when_starts(context):
    host = context.world.add_host('h1', 'd')
    parts = host.daemon.parts
    context.host = host
    context.told = {'upstreams': 0, 'hosts': 0}

    def count_upstreams():
        context.told['upstreams'] += 1

    def count_hosts():
        context.told['hosts'] += 1

    parts.core.registry.listeners.append(count_upstreams)
    parts.members.listeners.append(count_hosts)
    context.world.advance(_START_SECONDS)


@then('it knows them all')
def then_knows(context):
    parts = context.host.daemon.parts
    known = (len(parts.core.registry.upstreams), len(parts.members.hosts))
    assert known == context.counts, known


@then(
    'the parts of the host are told of changes of {kind} at most {most:d} times'
)
def then_told(context, kind, most):
    assert 0 < context.told[kind] <= most, context.told


@given(
    'a host that has started before it is linked to the owner of a stage queue'
)
def given_started(context):
    context.started = StartedHost(3)


@given('a host that has started alone')
def given_alone(context):
    context.started = StartedHost(1)
    context.started.host.client.owner_wait.note_state()
    context.started.host.client.owner_wait.note_joined()


def _never_connect(address, receiver):
    """Leave a connection that is never opened."""


@when('it gets a piece, and its link opens after {seconds:g} seconds')
def when_link_opens(context, seconds):
    started = context.started
    clock = started.fleet.clock
    connect = started.host.hub.dialer.connect

    def connect_late(address, receiver):
        clock.callLater(seconds, connect, address, receiver)

    started.lose_links(connect_late)
    _submit_joined(context)


@when('it gets a piece, and its link never opens')
def when_never_opens(context):
    context.started.lose_links(_never_connect)
    _submit_joined(context)


@when('it gets a piece, and its dials are refused')
def when_refused(context):
    started = context.started
    for host in started.fleet.hosts:
        host.hub.stopped = host is not started.host
    started.lose_links(started.host.hub.dialer.connect)
    _submit_joined(context)


@when('it gets a piece, and its peers are known after {seconds:g} seconds')
def when_known_later(context, seconds):
    started = context.started
    wait = started.host.client.owner_wait
    wait.note_state()
    started.fleet.clock.callLater(seconds, wait.note_joined)
    started.submit()
    started.fleet.advance(_START_SECONDS)


@when('it gets a piece')
def when_piece(context):
    context.started.submit()
    context.started.fleet.advance(_START_SECONDS)


def _submit_joined(context):
    started = context.started
    wait = started.host.client.owner_wait
    wait.note_state()
    wait.note_joined()
    started.submit()
    started.fleet.advance(_START_SECONDS)


@then('the piece is queued at the owner')
def then_at_owner(context):
    _, name = context.started.wait_seconds()
    assert name == context.started.owner.name, context.started.queued_at


@then('the piece is queued there after {seconds:g} seconds')
def then_after(context, seconds):
    waited, name = context.started.wait_seconds()
    assert name == context.started.host.name, name
    assert seconds <= waited <= seconds + 0.1, waited


@then('the piece is queued there within {seconds:g} seconds')
def then_within(context, seconds):
    waited, name = context.started.wait_seconds()
    assert name == context.started.host.name, name
    assert waited <= seconds, waited


@then('the piece is queued there at once')
def then_at_once(context):
    waited, _ = context.started.wait_seconds()
    assert not waited, waited


@given(
    '{hosts:d} hosts that all end, and come back spread over {spread:g} seconds'
)
def given_all_end(context, hosts, spread):
    context.fleet = fleet_of(hosts)
    lose_all(context.fleet, spread)


@then(
    'each is linked to the owner of each queue {seconds:g} seconds after the last'
    ' is back'
)
def then_linked(context, seconds):
    context.fleet.advance(seconds)
    ownership = context.fleet.hosts[0].client.ownership
    owner = ownership.order(SERVICE)[0]
    unlinked = [
        host.name
        for host in context.fleet.hosts
        if host.name != owner and owner not in host.hub.links
    ]
    assert not unlinked, unlinked


@when('{program} is imported in a new process')
def when_imported(context, program):
    context.imported = imported_by(program)


@then('it has imported at most {most:d} modules of libraries')
def then_few_modules(context, most):
    others = [
        name
        for name in context.imported
        if name.split('.')[0] not in _OWN_PACKAGES
    ]
    assert len(others) <= most, len(others)


@then('it has imported none of these packages')
def then_none_of(context):
    unused = {row['package'] for row in context.table}
    found = [
        name
        for name in context.imported
        if any(name == one or name.startswith(f'{one}.') for one in unused)
    ]
    assert not found, found
