"""Steps of stage work that is forwarded to the owner of its queue."""

from dataclasses import replace

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import chain_plan, group
from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench.stages import REPAIR
from pollenstile.stagework import Chain, ChainFailed
from pollenstile.stagework._codec import group_bytes
from pollenstile.stagework._subjects import ASK

_ONE_WAY_SECONDS = 0.0015
# Seconds until cut links count as lost and new ones are open.
_SETTLE_SECONDS = 4.0


@given(
    '{count:d} hosts of which {parted:d} have lost their links to the owner of'
    ' "{service}"'
)
def given_hosts(context, count, parted, service):
    context.service = service
    context.fleet = HostFleet(REPAIR.services, count, _ONE_WAY_SECONDS)
    context.owner = context.fleet.owner_of(service)
    order = context.owner.client.ownership.order(service)
    # The second host in the order receives requests instead of the owner, and
    # has a link to it.
    context.cut_hosts = [
        host
        for host in context.fleet.hosts
        if host.name in order[2 : 2 + parted]
    ]
    for host in context.cut_hosts:
        pair = frozenset((host.name, context.owner.name))
        context.fleet.parted.add(pair)
    context.fleet.advance(_SETTLE_SECONDS)
    context.fleet.callers.clear()


def _start_chain(context, number):
    host = context.cut_hosts[number % len(context.cut_hosts)]
    now = context.fleet.clock.seconds()
    chain = Chain(host.client, chain_plan(f'r{number}', context.service, now))
    ended = []
    Deferred.fromCoroutine(chain.handles()).addBoth(ended.append)
    context.chains.append((chain, ended))


@when('{count:d} chains start at those {parted:d} within {seconds:g} seconds')
def when_start(context, count, parted, seconds):
    context.chains = []
    for number in range(count):
        _start_chain(context, number)
        context.fleet.advance(seconds / count)
    context.fleet.advance(_SETTLE_SECONDS)


@when(
    '{count:d} chains start at those {parted:d} and the owner of "{service}"'
    ' loses power'
)
def when_power_lost(context, count, parted, service):
    context.chains = []
    for number in range(count):
        _start_chain(context, number)
    context.fleet.advance(0.1)
    context.owner.lose_power()
    context.fleet.advance(2 * _SETTLE_SECONDS)


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


@when('a host that does not own "{service}" receives a forwarded group')
def when_forwarded(context, service):
    fleet = context.fleet
    requester = context.cut_hosts[0]
    context.receiver = context.cut_hosts[1]
    now = fleet.clock.seconds()
    forwarded = replace(
        group('r', due=now + 2, deadline=now + 5), service=service
    )
    body = group_bytes(replace(forwarded, is_forwarded=True), now)
    answer = context.receiver.hub.requests.subjects[ASK](requester.name, body)
    context.answered = []
    answer.addBoth(context.answered.append)
    fleet.advance(2.0)


@then('it processes the group in its own queue')
def then_own_queue(context):
    assert context.answered
    callers = {host for _, host in context.fleet.callers}
    assert callers == {context.receiver.name}, callers


@when('a chain starts at one of those 4 and is withdrawn before it is made')
def when_withdrawn(context):
    context.chains = []
    _start_chain(context, 0)
    context.fleet.advance(0.1)
    assert context.owner.owner(context.service).jobs
    context.chains[0][0].withdraw()
    context.fleet.advance(0.1)


@then('the owner of "{service}" has no remaining group')
def then_no_group(context, service):
    jobs = context.owner.owner(service).jobs
    assert not jobs, jobs
