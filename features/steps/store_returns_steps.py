"""Steps for a store that comes back from an older copy of itself."""

from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.bench._domainworld import STEP
from pollenstile.bench._returnworld import (
    UPSTREAMS,
    ReturnWorld,
    hosts_refusing_keys,
    hosts_with_old_version,
    hosts_with_wrong_upstreams,
    restart_all,
    usable_at,
)
from pollenstile.forward import DRAINED, PEER_KEY, Configuration
from pollenstile.forward._configreads import ConfigRead
from pollenstile.origins import SOFTWARE_KIND
from pollenstile.peer import place_of
from pollenstile.platform import Found, position
from pollenstile.quarantine import QUARANTINE_KIND, QuarantineUpdate, Verdict
from pollenstile.relay._messages import RelayUpdate
from pollenstile.routes import RouteTable

# Seconds between the return of the store and the changes after it, at least;
# late writers need them to write all again.
_LATE_SECONDS = 4.5


def _found_meanwhile(world, seconds, find):
    """Return all that a function finds at any host after any step."""
    found = set()

    def look():
        for host in world.running():
            found.update(find(host))

    world.advance(seconds, look)
    return found


def _hosts_meanwhile(world, seconds, condition):
    """Return the names of hosts for which a condition held at any moment."""
    return _found_meanwhile(
        world, seconds, lambda host: [host.name] if condition(host) else ()
    )


@given(
    '{hosts:d} hosts in {domains:d} failure domains and a store that states its'
    ' era'
)
def given_world(context, hosts, domains):
    context.world = ReturnWorld(hosts, domains)


@given(
    '{hosts:d} hosts in {domains:d} failure domains and a store that states its'
    ' era, seed {seed:d}'
)
def given_seeded_world(context, hosts, domains, seed):
    context.world = ReturnWorld(hosts, domains, seed)


@when(
    'the store loses {lost:d} changes in {seconds:g} seconds, written again'
    ' {rewriting}'
)
def when_lost(context, lost, seconds, rewriting):
    world = context.world
    world.take_copy()
    world.change_often(lost)
    world.advance(1.0)
    context.lists = {
        (host.name, kind): host.path.lists[kind]
        for host in world.running()
        for kind in ('config', UPSTREAMS)
    }
    world.stay_away(seconds)
    world.come_back(rewriting)
    world.advance(_LATE_SECONDS if rewriting == 'late' else 1.0)


@when(
    'the store forgets in {seconds:g} seconds that an upstream leaves, which is'
    ' never written again'
)
def when_leaving_lost(context, seconds):
    world = context.world
    context.name = world.usable()[0]
    world.take_copy()
    world.say_leaving(context.name)
    world.advance(1.0)
    world.stay_away(seconds)
    world.come_back('never')


@when('a host starts {seconds:g} seconds later')
def when_host_starts(context, seconds):
    context.world.advance(seconds)
    context.world.add_host('h-new', 'd')


@when(
    'the store forgets in {seconds:g} seconds that an upstream is gone, which is'
    ' never written again'
)
def when_removal_lost(context, seconds):
    world = context.world
    context.name = world.usable()[0]
    world.take_copy()
    world.write(UPSTREAMS, context.name, None)
    world.advance(1.0)
    world.stay_away(seconds)
    world.come_back('never')


@when(
    'the store forgets in {seconds:g} seconds {count:d} upstreams, which are'
    ' written again late'
)
def when_upstreams_lost(context, seconds, count):
    world = context.world
    world.take_copy()
    context.names = {world.add_upstream() for _ in range(count)}
    world.advance(1.0)
    world.stay_away(seconds)
    world.come_back('late')


@then('all hosts send to them at every moment of the next {seconds:g} seconds')
def then_always_sent(context, seconds):
    missing = _found_meanwhile(
        context.world,
        seconds,
        lambda host: context.names.difference(usable_at(host)),
    )
    assert not missing, missing


@then('all hosts send to it')
def then_all_send(context):
    for host in context.world.running():
        assert context.name in usable_at(host), host.name


@when('an upstream leaves, and the store is only away')
def when_only_away(context):
    _leave(context)
    context.world.stay_away(1.5)
    context.world.come_back('never')


@when('an upstream leaves, and the store forgets its history')
def when_compacted(context):
    _leave(context)
    context.world.stay_away(1.5)
    context.world.store.objects.compact()
    context.world.come_back('never')


@when('an upstream leaves, and the store returns twice')
def when_returns_twice(context):
    context.world.take_copy()
    _leave(context)
    context.world.advance(1.0)
    for seconds in (1.5, 0.5):
        context.world.stay_away(seconds)
        context.world.come_back('never')
        context.world.advance(0.3)


@when('an upstream leaves, and the store returns to an old copy')
def when_old_copy(context):
    context.world.take_copy()
    context.world.advance(20.0)
    _leave(context)
    context.world.change_often(20)
    context.world.stay_away(1.5)
    context.world.come_back('never')


def _leave(context):
    context.name = context.world.usable()[0]
    context.world.say_leaving(context.name)


@then('no host sends to it at any moment of the next {seconds:g} seconds')
def then_never_sent(context, seconds):
    then_not_sent(context, seconds, 0)


@then(
    'no host sends to it at any moment of the next {seconds:g} seconds, from'
    ' {since:g} seconds on'
)
def then_not_sent(context, seconds, since):
    context.world.advance(since)
    senders = _hosts_meanwhile(
        context.world,
        seconds - since,
        lambda host: context.name in usable_at(host),
    )
    assert not senders, senders


@when(
    'hosts lose the store, and {seconds:g} seconds later a version is written'
)
def when_unread(context, seconds):
    world = context.world
    world.take_copy()
    for host in world.running():
        host.path.refuses = True
    world.advance(seconds)
    world.write_version(world.newest + 1)
    context.acked_at = world.clock.seconds()


@when('the store loses it in {seconds:g} seconds, written again slowly')
def when_unread_lost(context, seconds):
    context.world.stay_away(seconds)
    for host in context.world.running():
        host.path.end_faults()
    context.world.come_back('slowly')


@then(
    'no host trusts keys with it {seconds:g} seconds after its acknowledgement'
)
def then_no_trust_after(context, seconds):
    world = context.world
    world.advance(context.acked_at + seconds - world.clock.seconds())
    then_no_old_trust(context, 4.0)


@when('a host registers, and the store returns to before at once')
def when_registers(context):
    world = context.world
    world.take_copy()
    world.add_host('h-new', 'd')
    objects = world.store.objects
    while 'h-new' not in objects.names['pollenstile-hosts']:
        world.clock.advance(STEP)
    world.come_back('early')


@when(
    'the store forgets in {seconds:g} seconds that a domain is drained, written'
    ' again {rewriting}'
)
def when_drain_lost(context, seconds, rewriting):
    world = context.world
    world.take_copy()
    world.write(DRAINED, 'd', {})
    world.advance(1.0)
    world.stay_away(seconds)
    world.come_back(rewriting)


@when('a drained domain is taken back, and the store returns to before')
def when_taken_back(context):
    world = context.world
    world.write(DRAINED, 'd', {})
    world.advance(2.0)
    world.take_copy()
    world.write(DRAINED, 'd', None)
    world.advance(2.0)
    world.stay_away(1.5)
    world.come_back('late')


@then(
    'no host sends to the domain at any moment of the next {seconds:g} seconds'
)
def then_domain_unused(context, seconds):
    senders = _hosts_meanwhile(context.world, seconds, usable_at)
    assert not senders, senders


@then(
    'at most {most:d} hosts have read the configuration in full, and the'
    ' upstreams'
)
def then_few_read(context, most):
    for kind in ('config', UPSTREAMS):
        readers = [
            host.name
            for host in context.world.running()
            if host.path.lists[kind] > context.lists[host.name, kind]
        ]
        assert len(readers) <= most, (kind, len(readers))


@when('{count:d} versions are written after it')
def when_versions(context, count):
    for _ in range(count):
        context.world.write_version(context.world.newest + 1)


@when('{count:d} upstreams say that they leave after it')
def when_leaving(context, count):
    for name in context.world.usable()[:count]:
        context.world.say_leaving(name)


@when('{seconds:g} seconds pass after the return')
def when_seconds_pass(context, seconds):
    context.world.advance(seconds)


@then('all hosts have the newest version in force')
def then_newest(context):
    behind = hosts_with_old_version(context.world)
    assert not behind, behind


@then("all hosts send to the upstreams that don't leave")
def then_upstreams(context):
    wrong = hosts_with_wrong_upstreams(context.world)
    assert not wrong, wrong


@given('hosts have written {what}')
def given_written(context, what):
    world = context.world
    if what == 'a verdict':
        _write_verdict(context)
    if what == 'a record of versions':
        for number, software in enumerate(('v1', 'v2'), start=90):
            entry = {
                'address': f'10.1.0.{number}:1',
                'domain': 'd',
                'leaving': False,
                'software': software,
            }
            world.write(UPSTREAMS, f'u{number}', entry)
    world.advance(4.0)
    then_has_again(context, what)


def _write_verdict(context):
    quarantine = context.world.running()[0].core.quarantine
    context.verdict = Verdict(
        'f' * 16,
        'team',
        's',
        3,
        quarantine.now_ms(),
        is_held=True,
        expires_at=quarantine.clock.seconds() + 600.0,
    )
    for host in context.world.running():
        host.core.quarantine.apply(
            QuarantineUpdate(verdicts=(context.verdict,))
        )
        host.daemon.parts.record.note_return()


@when('the store returns to a copy that has nothing of hosts')
def when_nothing_of_hosts(context):
    world = context.world
    world.take_copy()
    world.forget_hosts_writes()
    world.stay_away(1.5)
    world.come_back('early')


@when('{hosts} are refused for good once they know it')
def when_refused(context, hosts):
    _once_they_know(context.world, _chosen(context.world, hosts), _refuse)


@when('{hosts} are refused for {seconds:g} seconds once they know it')
def when_refused_for(context, hosts, seconds):
    chosen = _chosen(context.world, hosts)
    _once_they_know(context.world, chosen, _refuse)
    context.world.advance(seconds)
    for host in chosen:
        host.path.refuses = False


@when('{hosts} end once they know it')
def when_ended(context, hosts):
    chosen = _chosen(context.world, hosts)
    _once_they_know(context.world, chosen, lambda host: host.end())


@when('the new host is refused from {since:g} to {until:g} seconds after that')
def when_new_refused(context, since, until):
    host = context.world.hosts['h-new']
    context.world.advance(since)
    host.path.refuses = True
    context.world.advance(until - since)
    host.path.refuses = False


def _chosen(world, hosts):
    """Return the hosts that write the key first, or all."""
    running = world.running()
    if hosts == 'all hosts':
        return running
    names = {host.name for host in running}
    return sorted(
        running, key=lambda host: place_of(host.name, PEER_KEY[1], names)
    )[:3]


def _refuse(host):
    host.path.refuses = True


def _once_they_know(world, chosen, harm):
    """Harm hosts, each in the step in which it knows of the return."""
    waiting = list(chosen)

    def look():
        for host in list(waiting):
            peer_key = host.daemon.parts.peer_key
            if peer_key.store.eras.number:
                harm(host)
                waiting.remove(host)

    while waiting:
        world.advance(STEP, look)


@when('an operator lifts it, and the store returns to before')
def when_lifted(context):
    world = context.world
    world.take_copy()
    world.store.write_at_once(
        QUARANTINE_KIND, context.verdict.fingerprint, None
    )
    world.advance(2.0)
    then_no_verdict(context)
    world.stay_away(1.5)
    world.come_back('early')


@when('a host leaves, and the store returns to before')
def when_host_leaves(context):
    world = context.world
    host = world.running()[-1]
    context.name = host.name
    world.take_copy()
    Deferred.fromCoroutine(host.daemon.parts.members.leave())
    world.advance(2.0)
    host.end()
    world.stay_away(1.5)
    world.come_back('early')


@when('{count:d} hosts start, and the store returns once more a second later')
def when_hosts_start_between(context, count):
    world = context.world
    for number in range(count):
        world.add_host(f'h-new{number}', 'd')
    world.advance(1.0)
    world.come_back('early')


@then('the hosts share one key, and each is linked to others')
def then_all_linked(context):
    hosts = context.world.running()
    keys = {host.daemon.parts.peer_key.key for host in hosts}
    assert keys == {'simulated'}, keys
    assert all(host.daemon.parts.hub.links for host in hosts)


@when('all hosts are killed and start again')
def when_all_restart(context):
    restart_all(context.world)


@then('the store has {what} again')
def then_has_again(context, what):
    world = context.world
    objects = world.store.objects
    if what == 'the entries of hosts':
        names = set(objects.names.get('pollenstile-hosts', ()))
        assert names == {host.name for host in world.running()}, names
    elif what == 'the key that they share':
        assert objects.found(*PEER_KEY).value['key'] == 'simulated'
    elif what == 'a verdict':
        names = objects.names.get(QUARANTINE_KIND)
        assert names == [context.verdict.fingerprint], names
    else:
        found = objects.found(SOFTWARE_KIND, 's')
        assert {'v1', 'v2'}.issubset(found.value['versions']), found


@then(
    'all hosts hold the verdict at every moment of the next {seconds:g} seconds'
)
def then_hold(context, seconds):
    name = context.verdict.fingerprint
    released = _hosts_meanwhile(
        context.world,
        seconds,
        lambda host: not host.core.quarantine.is_held(name),
    )
    assert not released, released


@then('no host holds the verdict, and the store has none')
def then_no_verdict(context):
    name = context.verdict.fingerprint
    for host in context.world.running():
        assert not host.core.quarantine.is_held(name), host.name
    assert not context.world.store.objects.names.get(QUARANTINE_KIND)


@then(
    'all hosts know each other at every moment of the next {seconds:g} seconds'
)
def then_know_each_other(context, seconds):
    fewest = []

    def look():
        for host in context.world.running():
            fewest.append(len(host.daemon.parts.members.hosts))

    context.world.advance(seconds, look)
    assert min(fewest) == len(context.world.hosts) - 1, min(fewest)


@then('no host knows the one that left, and the store has no entry of it')
def then_left(context):
    for host in context.world.running():
        assert context.name not in host.daemon.parts.members.hosts, host.name
    names = context.world.store.objects.names['pollenstile-hosts']
    assert context.name not in names, names


@then('the hosts share one key, and the new host is linked to others')
def then_one_key(context):
    keys = {host.daemon.parts.peer_key.key for host in context.world.running()}
    assert keys == {'simulated'}, keys
    new = context.world.hosts['h-new']
    assert new.daemon.parts.hub.links


@then('no host trusts keys with an old version in the next {seconds:g} seconds')
def then_no_old_trust(context, seconds):
    world = context.world
    trusting = set()

    def look():
        for host in world.running():
            configuration = host.configuration
            if configuration.is_verified() and host.version != world.newest:
                trusting.add(host.name)

    world.advance(seconds, look)
    assert not trusting, trusting
    assert not hosts_refusing_keys(world), hosts_refusing_keys(world)


@then('all hosts trust keys within {seconds:g} seconds')
def then_trust(context, seconds):
    context.world.advance(seconds)
    refusing = hosts_refusing_keys(context.world)
    assert not refusing, refusing


@when(
    'the readers {fault} from the middle of {seconds:g} seconds in which the'
    ' store loses {lost:d} changes'
)
def when_lost_beside_readers(context, fault, seconds, lost):
    world = context.world
    world.take_copy()
    world.change_often(lost)
    world.advance(1.0)
    world.stay_away(seconds / 2)
    for host in world.readers():
        host.frozen = fault == 'stand still'
        host.path.refuses = fault == "don't reach the store"
    world.stay_away(seconds / 2)
    world.come_back('early')


@then('all hosts that the store answers have the newest version in force')
def then_newest_in_contact(context):
    world = context.world
    behind = [
        host.name
        for host in world.hosts_in_contact()
        if host.version != world.newest
    ]
    assert len(world.hosts_in_contact()) == 24, len(world.hosts_in_contact())
    assert not behind, behind


@given('a host that has read the store itself')
def given_read(context):
    context.clock = Clock()
    context.configuration = Configuration(
        None,
        context.clock,
        context.clock.seconds,
        Random(1),
        RouteTable,
        5.0,
    )
    context.configuration.apply_read(
        ConfigRead(position(1, 9), changed=True, found=_stored(1, 9, 2)),
        context.clock.seconds(),
        is_full=True,
    )


@when(
    "the store returns, and the host's reader tells it a newer version of the"
    ' copy'
)
def when_told(context):
    context.clock.advance(1)
    context.configuration.note_return()
    found = _stored(2, 8, 3)
    update = RelayUpdate(
        'reader',
        has_store=True,
        aged=1.0,
        config_revision=found.version,
        config=found,
        config_version=3,
    )
    context.configuration.apply_update(update, context.clock.seconds())


@then('an answer of the store proves nothing to the host')
def then_unproved(context):
    configuration = context.configuration
    assert configuration.version == 3, configuration.version
    verified_at = configuration.verified_at
    context.clock.advance(1)
    configuration.apply_read(
        ConfigRead(position(2, 8), changed=False),
        context.clock.seconds(),
        is_full=False,
    )
    assert configuration.verified_at == verified_at, verified_at


def _stored(era, revision, version):
    return Found('config', 'main', position(era, revision), version)
