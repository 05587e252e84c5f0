"""Steps for a store that comes back from an older copy of itself."""

from behave import given, then, when

from pollenstile.bench._returnworld import (
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


@then('no host sends to it at any moment of the next {seconds:g} seconds')
def then_never_sent(context, seconds):
    senders = set()

    def look():
        for host in context.world.running():
            if context.name in usable_at(host):
                senders.add(host.name)

    context.world.advance(seconds, look)
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
