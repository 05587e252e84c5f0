"""Steps of stage work that is passed on to the owner of its queue."""

from dataclasses import replace

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import chain_plan, group
from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench.stages import REPAIR
from pollenstile.stagework import Chain, ChainFailed
from pollenstile.stagework._codec import group_bytes
from pollenstile.stagework._subjects import ASK

_WAY = 0.0015
# Seconds until cut links count as lost, and new ones are there.
_SETTLE = 4.0


@given(
    '{count:d} hosts of which {parted:d} have lost their links to the owner of'
    ' "{service}"'
)
def given_hosts(context, count, parted, service):
    context.service = service
    context.fleet = HostFleet(REPAIR.services, count, _WAY)
    context.owner = context.fleet.owner_of(service)
    order = context.owner.client.ownership.order(service)
    # The second in the order is asked in the owner's place, and reaches it.
    context.apart = [
        host
        for host in context.fleet.hosts
        if host.name in order[2 : 2 + parted]
    ]
    for host in context.apart:
        pair = frozenset((host.name, context.owner.name))
        context.fleet.parted.add(pair)
    context.fleet.advance(_SETTLE)
    context.fleet.callers.clear()


def _begin(context, number):
    host = context.apart[number % len(context.apart)]
    now = context.fleet.clock.seconds()
    chain = Chain(host.client, chain_plan(f'r{number}', context.service, now))
    ended = []
    Deferred.fromCoroutine(chain.handles()).addBoth(ended.append)
    context.chains.append((chain, ended))


@when('{count:d} chains begin at those {parted:d} within {seconds:g} seconds')
def when_begin(context, count, parted, seconds):
    context.chains = []
    for number in range(count):
        _begin(context, number)
        context.fleet.advance(seconds / count)
    context.fleet.advance(_SETTLE)


@when(
    '{count:d} chains begin at those {parted:d} and the owner of "{service}"'
    ' loses power'
)
def when_power_lost(context, count, parted, service):
    context.chains = []
    for number in range(count):
        _begin(context, number)
    context.fleet.advance(0.1)
    context.owner.lose_power()
    context.fleet.advance(2 * _SETTLE)


@then('only the owner of "{service}" has called its upstreams')
def then_only_owner(context, service):
    callers = {
        host for called, host in context.fleet.callers if called == service
    }
    assert callers == {context.owner.name}, context.fleet.callers


@then('all {count:d} chains have their results')
def then_results(context, count):
    assert len(context.chains) == count
    for _, ended in context.chains:
        assert ended, 'still waiting'
        assert not isinstance(ended[0], ChainFailed), ended[0]
        assert all(ended[0]), ended[0]


@then("after their release the owner's queue counts no results as held")
def then_none_held(context):
    for chain, _ in context.chains:
        chain.release()
    context.fleet.advance(0.1)
    for worker in context.owner.owner(context.service).workers.values():
        assert not worker.held, worker.held


@when('a host that does not own "{service}" gets a group that was passed on')
def when_passed(context, service):
    fleet = context.fleet
    asker = context.apart[0]
    context.asked = context.apart[1]
    now = fleet.clock.seconds()
    one = replace(group('r', due=now + 2, deadline=now + 5), service=service)
    body = group_bytes(replace(one, passed_on=True), now)
    answer = context.asked.hub.requests.subjects[ASK](asker.name, body)
    context.answered = []
    answer.addBoth(context.answered.append)
    fleet.advance(2.0)


@then('it has the group made itself')
def then_made_itself(context):
    assert context.answered
    callers = {host for _, host in context.fleet.callers}
    assert callers == {context.asked.name}, callers


@when('a chain begins at one of those 4 and is withdrawn before it is made')
def when_withdrawn(context):
    context.chains = []
    _begin(context, 0)
    context.fleet.advance(0.1)
    assert context.owner.owner(context.service).jobs
    context.chains[0][0].withdraw()
    context.fleet.advance(0.1)


@then('the owner of "{service}" has no group left')
def then_no_group(context, service):
    jobs = context.owner.owner(service).jobs
    assert not jobs, jobs
