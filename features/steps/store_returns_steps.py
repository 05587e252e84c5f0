"""Steps for a store that comes back from an older copy of itself."""

from behave import given, then, when

from pollenstile.bench._returnworld import (
    UPSTREAMS,
    ReturnWorld,
    hosts_with_old_version,
    hosts_with_wrong_upstreams,
    usable_at,
)

# Seconds between the return of the store and the changes after it, at least;
# late writers need them to write all again.
_LATE_SECONDS = 4.5


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
    missing = set()

    def look():
        for host in context.world.running():
            missing.update(context.names.difference(usable_at(host)))

    context.world.advance(seconds, look)
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
    senders = set()

    def look():
        for host in context.world.running():
            if context.name in usable_at(host):
                senders.add(host.name)

    context.world.advance(seconds - since, look)
    assert not senders, senders


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
