"""Steps of the distribution of the configuration in the fleet."""

from random import Random

from behave import given, then, when

from features.builders.fleet import (
    is_connected,
    link_graph,
    next_text,
    start_apply,
    started_fleet,
)
from pollenstile.bench.fleetworld import (
    changed_text,
    cut_domain,
    fleet_manifest,
)
from pollenstile.fleet import (
    InForce,
    Snapshot,
    hosts_behind,
)
from pollenstile.manifest import text_from_manifest
from pollenstile.ops.logs import silent_log
from pollenstile.peer import apply_patch, patch_between, schema


@given(
    'a fleet of {hosts:d} hosts over {domains:d} domains '
    'with {upstreams:d} upstreams',
)
def step_fleet(context, hosts, domains, upstreams):
    context.world = started_fleet(hosts, domains, upstreams)
    assert context.world.all_have(1), context.world.versions()


@given('domain "{domain}" of the fleet is cut from the platform')
def step_cut_platform(context, domain):
    context.world.cut_platform.add(domain)


@when('domain "{domain}" of the fleet reaches the platform again')
def step_platform_again(context, domain):
    context.world.cut_platform.discard(domain)


@given('domain "{domain}" of the fleet is cut from its peers')
@when('domain "{domain}" of the fleet is cut from its peers')
def step_cut_peers(context, domain):
    cut_domain(context.world, domain)


@when('domain "{domain}" of the fleet reaches its peers again')
def step_peers_again(context, domain):
    context.world.cut_pairs.clear()


@given('no fleet host asks its peers for a configuration')
def step_no_relay(context):
    for host in context.world.hosts.values():
        host.fleet.relay.is_asking = True


@given('the next {lost} of a fleet apply is lost')
def step_lost(context, lost):
    if lost == 'answer':
        context.world.store.lose_answers = 1
    else:
        context.world.store.lose_requests = 1


@given("the fleet's watches fall silent for {seconds:d} seconds")
def step_silent(context, seconds):
    store = context.world.store
    store.silent_watches = True

    def work_again():
        store.silent_watches = False

    context.world.clock.callLater(seconds, work_again)


@given('the fleet hosts of domain "{domain}" send corrupt configurations')
def step_garble(context, domain):
    for host in _of_domain(context, domain):
        answer = host.fleet.relay.answer_request
        host.fleet.answer('config', _garble(answer))


def _garble(answer):
    def garbled(name, body):
        with schema.ConfigContent.from_bytes(answer(name, body)) as reader:
            fields = reader.to_dict()
        fields['prefix'] += 1
        return schema.ConfigContent.new_message(**fields).to_bytes()

    return garbled


def _of_domain(context, domain):
    hosts = context.world.hosts.values()
    return [host for host in hosts if host.domain == domain]


@when('the next fleet configuration is applied')
def step_apply(context):
    context.outcomes = start_apply(context.world, 'second', 1, 'one')


@when('the next fleet configuration is applied and another right after it')
def step_apply_twice(context):
    world = context.world
    context.outcomes = start_apply(world, 'second', 1, 'one')
    world.run(0.1)
    version = world.store.objects.found('config', 'manifest').version
    other = start_apply(world, 'third', version, 'two')
    world.run(0.1)
    assert type(other[0]).__name__ == 'Accepted', other
    world.run(10)


@when(
    'two fleet configurations reviewed against version {version:d} are applied'
)
def step_race(context, version):
    world = context.world
    first = start_apply(world, 'second', version, 'one')
    second = start_apply(world, 'third', version, 'two')
    world.run(1)
    context.outcomes = first + second


@then(
    'one of the fleet appliers gets "{won}" and one "{lost}"',
)
def step_race_outcomes(context, won, lost):
    kinds = [type(outcome).__name__ for outcome in context.outcomes]
    assert sorted(kinds) == sorted([won, lost]), kinds


@then('the fleet applier gets "{kind}"')
@then('the first fleet applier gets "{kind}"')
def step_outcome(context, kind):
    kinds = [type(outcome).__name__ for outcome in context.outcomes]
    assert kinds == [kind], context.outcomes


@when('{seconds:d} fleet seconds pass')
def step_pass(context, seconds):
    context.world.run(seconds)


@then('all fleet hosts have version {version:d} within {seconds:d} seconds')
def step_all_have(context, version, seconds):
    world = context.world
    took = world.run_until(lambda: world.all_have(version), seconds)
    assert took is not None, world.versions()


@then('the fleet hosts of domain "{domain}" have version {version:d}')
def step_domain_has(context, domain, version):
    versions = {host.version for host in _of_domain(context, domain)}
    assert versions == {version}, versions


@then('the fleet hosts of domain "{domain}" serve')
def step_domain_serves(context, domain):
    hosts = _of_domain(context, domain)
    assert hosts
    for host in hosts:
        assert host.node.refusal() is None


@when("the fleet's platform is down")
def step_platform_down(context):
    context.world.store.down = True


@when("the fleet's platform is back")
def step_platform_back(context):
    context.world.store.down = False


@when('every fleet host leaves and restarts, one by one')
def step_rolling(context):
    world = context.world
    for name in list(world.host_locations):
        world.leave(name)
        world.run(1)
        host = world.start(name)
        world.run(3)
        assert host.version, name


@then(
    'in {orders:d} random orders of {count:d} versions '
    'a fleet host never returns to an older version',
)
def step_orders(context, orders, count):
    manifest = fleet_manifest('ab', 2)
    updates = []
    for version in range(1, count + 1):
        text = changed_text(manifest, name=f'v{version}')
        updates.append((version, 'broken' if version == 4 else text))
    for seed in range(orders):
        _offer_shuffled(Random(seed), updates, count)


def _offer_shuffled(random, updates, highest):
    mixed = updates * 2
    random.shuffle(mixed)
    in_force = InForce(silent_log)
    before = 0
    for version, text in mixed:
        in_force.offer(version, text, 'mixed')
        assert in_force.version >= before
        before = in_force.version
    assert before == highest
    assert in_force.snapshot.manifest.name == f'v{highest}'


@then('all fleet hosts have the applied configuration in force')
def step_only_applied(context):
    texts = {host.node.in_force.text for host in context.world.hosts.values()}
    assert texts == {next_text(context.world, 'second')}


@when('a fleet configuration is written that only host "{name}" can read')
def step_broken(context, name):
    context.request_count = 0
    for host in context.world.hosts.values():
        host.fleet.answer('config', _count_requests(context, host.fleet.relay))
    context.world.put('name: 7', 1)
    context.world.run(1)
    newer = context.world.hosts[name].node.in_force
    newer.refused = 0
    newer.snapshot = Snapshot(2, newer.snapshot.manifest)
    newer.text = 'name: 7'
    for listener in newer.listeners:
        listener(newer.snapshot)


def _count_requests(context, relay):
    def counted(name, body):
        context.request_count += 1
        return relay.answer_request(name, body)

    return counted


@then('fleet hosts requested configurations at most {most:d} times')
def step_asked(context, most):
    assert context.request_count <= most, context.request_count


@then('fleet host "{name}" alone has version {version:d}')
def step_alone(context, name, version):
    versions = context.world.versions()
    assert versions.pop(name) == version
    assert set(versions.values()) == {1}, versions


def _hosts_behind(context, name, version):
    documents = []
    answer = context.world.hosts[name].fleet.document(2.0)
    answer.addCallback(documents.append)
    context.world.run(3)
    assert len(documents[0]['hosts']) == len(context.world.hosts)
    return hosts_behind(documents[0], version)


@then(
    'fleet host "{name}" reports that hosts "{names}" lack version {version:d}'
)
def step_says(context, name, names, version):
    behind = _hosts_behind(context, name, version)
    assert behind == names.split(', '), behind


@then('fleet host "{name}" reports that no host lacks version {version:d}')
def step_says_none(context, name, version):
    behind = _hosts_behind(context, name, version)
    assert not behind, behind


@given('a fleet manifest of {teams:d} teams')
def step_large(context, teams):
    manifest = fleet_manifest('abcd', 100, teams=teams)
    context.manifest = manifest
    context.old = text_from_manifest(manifest)


@then(
    'changing one weight sends less than {most:d} bytes to a peer '
    'that has the previous version',
)
def step_patch(context, most):
    teams = dict(context.manifest.teams)
    other = fleet_manifest('abcd', 100, weight=2.5, teams=1).teams['team-0']
    teams['team-700'] = other
    context.new = changed_text(context.manifest, teams=teams)
    patch = patch_between(context.old, context.new)
    assert len(patch.middle) < most, len(patch.middle)
    assert apply_patch(context.old, patch) == context.new


@then('a peer without a version gets the full manifest')
def step_full(context):
    patch = patch_between('', context.new)
    assert apply_patch('', patch) == context.new
    assert apply_patch(context.old[:-1], patch) != context.old


@then('fleets of these sizes are connected with at most this many links')
def step_graphs(context):
    for row in context.table:
        links = link_graph(int(row['hosts']), int(row['domains']))
        assert is_connected(links), row
        most = max(len(others) for others in links.values())
        assert most <= int(row['most']), (most, row)


@then('they stay connected when any single host is gone')
def step_graph_without(context):
    for hosts, domains in ((3, 4), (9, 4), (36, 4), (72, 8)):
        for number in range(hosts):
            links = link_graph(hosts, domains, without=f'h{number}')
            assert is_connected(links), (hosts, number)


@then('6 fleet hosts that rendezvous hashing alone partitions are connected')
def step_ring(context):
    # Found by a search: about one of a hundred thousand sets of six names.
    assert is_connected(link_graph(6, 1, prefix='115622-'))


@when("the fleet's platform calls are counted for {seconds:d} seconds")
def step_count_calls(context, seconds):
    world = context.world
    world.run(30)
    before = world.store.calls['watch']
    world.run(seconds)
    counted = world.store.calls['watch'] - before
    context.watches = [*getattr(context, 'watches', []), counted]


@when('the fleet has {hosts:d} hosts instead')
def step_other_fleet(context, hosts):
    step_fleet(context, hosts, 4, 4)


@then('the watches of the larger fleet are at most {most:f} times as many')
def step_flat(context, most):
    small, large = context.watches
    assert small > 20
    assert large <= most * small, context.watches
