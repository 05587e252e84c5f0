"""Steps of the membership of hosts and upstreams."""

from random import Random

from behave import given, then, when
from twisted.internet.defer import succeed

from features.builders.fleet import started_fleet
from pollenstile.bench.fleetworld import cut_domain
from pollenstile.fleet import (
    HOST,
    UPSTREAM,
    Record,
    Table,
    with_witness,
    with_witnesses_only,
)
from pollenstile.peer import Beat, rank_candidates
from pollenstile.platform import HostEntry
from pollenstile.upstream import Load


@given('a membership fleet of {hosts:d} hosts with {upstreams:d} upstreams')
def step_fleet(context, hosts, upstreams):
    context.world = started_fleet(hosts, 4, upstreams)
    assert len(context.world.dispatching_hosts('engine-1')) == hosts


@given('the membership platform is up')
def step_up(context):
    assert not context.world.store.down


@given('the membership platform is down')
def step_down(context):
    context.world.store.down = True
    context.world.list.down = True
    context.world.run(20)


@given('the membership platform is cut off from domain "{domain}"')
def step_cut(context, domain):
    context.world.cut_platform.add(domain)


@given('the membership platform is cut off from all but "{domain}"')
def step_cut_all_but(context, domain):
    context.world.cut_platform.update('abcd')
    context.world.cut_platform.discard(domain)


@given('membership domain "{domain}" is cut from the other domains')
def step_cut_domain(context, domain):
    cut_domain(context.world, domain)
    context.world.run(8)


@when('membership domain "{domain}" reaches the others again')
def step_reaches(context, domain):
    context.world.cut_pairs.clear()


@when('upstream "{name}" reports that it is leaving')
def step_reports(context, name):
    context.world.upstreams[name].leaving = True


@given('upstream "{name}" has left')
def step_left(context, name):
    context.world.upstreams[name].leaving = True
    context.world.run(4)
    owner = context.world.hosts['b-1'].fleet
    assert owner.upstreams.is_leaving(name)
    context.left = owner.table.record(UPSTREAM, name)


@given('the old membership record of upstream "{name}" is kept')
def step_keep(context, name):
    table = context.world.hosts['a-0'].table
    context.old = table.record(UPSTREAM, name)
    assert not context.old.leaving


@when('a new process takes the address of upstream "{name}"')
def step_new(context, name):
    context.world.upstreams[name].restart()


@when('the previous process takes it again and reports that it is live')
def step_back(context):
    context.world.upstreams['engine-1'].number -= 1


@when('a membership peer sends its old record of "{name}"')
def step_old_record(context, name):
    old = context.old if 'old' in context else context.left
    for host in context.world.hosts.values():
        link = next(iter(host.hub.links.values()))
        host.table.offer(old, link)


@when('a late answer of "{incarnation}" reports that it is {state}')
def step_late(context, incarnation, state):
    load = Load(leaving=state == 'leaving', incarnation=incarnation)
    for host in context.world.hosts.values():
        host.tracker.reported(incarnation.rpartition('-')[0], load)


@given('the host list shows "{name}" as {state} in incarnation {number:d}')
@when('the host list shows "{name}" as {state} in incarnation {number:d}')
def step_list(context, name, state, number):
    entry = HostEntry(name, '10.9.0.1:1', 'b', number, state)
    context.world.list.change(entry)


@given('{seconds:d} membership seconds pass')
@when('{seconds:d} membership seconds pass')
def step_pass(context, seconds):
    context.world.run(seconds)


@then('no membership host gives "{name}" new work after {seconds:d} seconds')
def step_none(context, name, seconds):
    context.world.run(seconds)
    assert not context.world.dispatching_hosts(name), (
        context.world.dispatching_hosts(name)
    )


@then('no membership host gives it new work in the next {seconds:d} seconds')
def step_none_later(context, seconds):
    for _ in range(seconds):
        context.world.run(1)
        assert not context.world.dispatching_hosts('engine-1')


@then(
    'no membership host of domain "{domain}" gives "{name}" new work '
    'after {seconds:d} seconds',
)
def step_none_of(context, domain, name, seconds):
    context.world.run(seconds)
    for giver in context.world.dispatching_hosts(name):
        assert context.world.hosts[giver].domain != domain, giver


@then('membership host "{host}" gives "{name}" new work')
def step_gives(context, host, name):
    assert context.world.dispatching_hosts(name) == [host], (
        context.world.dispatching_hosts(name)
    )


@then('all membership hosts give "{name}" work within {seconds:d} seconds')
def step_all(context, name, seconds):
    world = context.world

    def all_give():
        return len(world.dispatching_hosts(name)) == len(world.hosts)

    assert world.run_until(all_give, seconds) is not None, (
        world.dispatching_hosts(name)
    )


def _watchers(world, name):
    pool = world.manifest.pools['engines']
    domain = pool.upstreams[name].domain
    names = [
        host.name for host in world.hosts.values() if host.domain == domain
    ]
    return rank_candidates(name, names, 2)


@given('one watcher of upstream "{name}" can\'t reach it')
def step_one_unreachable(context, name):
    watcher = _watchers(context.world, name)[0]
    watchers = context.world.hosts[watcher].fleet.watchers
    read_load = watchers.read_load

    def read_other_loads(upstream, declared):
        if upstream == name:
            return succeed(None)
        return read_load(upstream, declared)

    watchers.read_load = read_other_loads
    context.world.run(8)
    record = context.world.hosts['a-0'].table.record(UPSTREAM, name)
    assert record.witnesses == (watcher,), record


@given('both watchers of upstream "{name}" fail')
def step_watchers_fail(context, name):
    for watcher in _watchers(context.world, name):
        context.world.kill(watcher)


@when(
    'one membership poll of "{name}" is answered late, '
    'after a new process was seen',
)
def step_slow_poll(context, name):
    world = context.world
    watcher = _watchers(world, name)[0]
    fleet = world.hosts[watcher].fleet
    old = world.upstreams[name].load(name)
    sent_at = world.clock.seconds()
    world.upstreams[name].restart()
    world.run(5)
    assert fleet.table.record(UPSTREAM, name).incarnation == f'{name}-2'
    fleet.upstreams.record_poll(name, old, sent_at)
    fleet.upstreams.tracker.reported(name, old)
    world.run(0.5)


@when('upstream "{name}" fails')
def step_fails(context, name):
    context.world.upstreams[name].dead = True


@when('upstream "{name}" can be reached again')
def step_reached(context, name):
    context.world.upstreams[name].dead = False


@given('two membership tables with the witnesses "{names}" of one upstream')
def step_two_tables(context, names):
    record = Record(UPSTREAM, 'e1', order=1, incarnation='x')
    for name in names.split(', '):
        record = with_witness(record, name)
    context.tables = {name: Table() for name in names.split(', ')}
    for table in context.tables.values():
        table.offer(record)


@when('each membership witness withdraws at the same time')
def step_withdraw(context):
    records = []
    for name, table in context.tables.items():
        record = table.record(UPSTREAM, 'e1')
        others = set(record.witnesses) - {name}
        records.append(with_witnesses_only(record, others))
    for table in context.tables.values():
        for record in records:
            table.offer(record)


@then('both membership tables have no witness left')
def step_no_witness(context):
    for table in context.tables.values():
        assert not table.record(UPSTREAM, 'e1').witnesses


@when('{count:d} of the upstreams fail')
def step_many_fail(context, count):
    for number in range(count):
        context.world.upstreams[f'engine-{number}'].dead = True


@then('the membership log has "{name}"')
def step_logged(context, name):
    for host in context.world.hosts.values():
        assert name in {event for event, _ in host.events}


@given('membership host "{name}" loses all updates for {seconds:d} seconds')
def step_loses(context, name, seconds):
    fleet = context.world.hosts[name].fleet
    message_handlers = dict(fleet.hub.message_handlers)
    fleet.hub.message_handlers.clear()
    context.world.clock.callLater(
        seconds, fleet.hub.message_handlers.update, message_handlers
    )


@given('no membership host compares sums')
def step_no_sums(context):
    for host in context.world.hosts.values():
        host.hub.message_handlers[Beat] = host.fleet.relay.on_beat


@then('each side considers the membership hosts of the other gone')
def step_gone(context):
    for host in context.world.hosts.values():
        domains = {record.domain for record in host.fleet.hosts.live.values()}
        reached = 'b' if host.domain == 'b' else 'acd'
        assert domains == set(reached), (host.name, domains)


@then('all membership hosts consider all live within {seconds:d} seconds')
def step_all_live(context, seconds):
    world = context.world

    def all_live():
        return all(
            host.fleet.hosts.live.keys() == world.hosts.keys()
            for host in world.hosts.values()
        )

    assert world.run_until(all_live, seconds) is not None


@when('membership host "{name}" leaves and restarts with a lower boot number')
def step_lower_boot(context, name):
    world = context.world
    boot = world.hosts[name].hub.hello.boot
    world.leave(name)
    host = world.start(name, boot=boot - 5000)
    assert host.hub.hello.boot < boot


def _random_records(random, kind):
    records = []
    # A host's incarnation equals its order; an upstream's incarnation may
    # return with another order.
    incarnations = 'ab' if kind == UPSTREAM else ' '
    for _ in range(random.randrange(2, 7)):
        order = random.randrange(1, 4)
        records.append(
            Record(
                kind,
                'e1',
                order=order,
                incarnation=random.choice(incarnations),
                leaving=random.randrange(3) == 0,
                views=tuple(
                    (host, random.randrange(4))
                    for host in sorted(random.sample('xyz', 2))
                ),
                listed=random.randrange(3),
                listed_leaving=random.randrange(2) == 0,
            ),
        )
    return records


@then('in {trials:d} membership trials every order of updates ends the same')
def step_merge(context, trials):
    context.trials = []
    for seed in range(trials):
        random = Random(seed)
        kind = random.choice((HOST, UPSTREAM))
        records = _random_records(random, kind)
        context.trials.append(records)
        ends = set()
        for _ in range(8):
            random.shuffle(records)
            table = Table()
            for record in records + records[:2]:
                table.offer(record)
            ends.add(table.record(kind, 'e1'))
            keys = [(found.order, found.incarnation) for found in records]
            end = table.record(kind, 'e1')
            assert (end.order, end.incarnation) == max(keys)
        assert len(ends) == 1, ends


@then('a leaving membership record never becomes live again in any of them')
def step_sticky(context):
    for records in context.trials:
        table = Table()
        for record in records:
            before = table.record(record.kind, 'e1')
            table.offer(record)
            after = table.record(record.kind, 'e1')
            same = before.incarnation == after.incarnation
            if record.kind == HOST:
                same = before.order == after.order
            if before.leaving and same:
                assert after.leaving, records


@then('the polls per membership host and second are at most these')
def step_polls(context):
    for row in context.table:
        hosts = int(row['hosts'])
        world = started_fleet(hosts, 4, int(row['upstreams']))
        before = sum(upstream.asked for upstream in world.upstreams.values())
        world.run(10)
        polls = (
            sum(upstream.asked for upstream in world.upstreams.values())
            - before
        )
        assert polls / 10 / hosts <= float(row['most']), (row, polls)
        assert polls / 10 >= int(row['upstreams']) * 0.9
        assert len(world.hosts['a-0'].table.of_kind(HOST)) == hosts
