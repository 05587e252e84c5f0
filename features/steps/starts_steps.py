"""Steps for many hosts that start at the same time."""

from behave import given, then, when

from pollenstile.bench._domainworld import DomainWorld

_START_SECONDS = 3.0


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
