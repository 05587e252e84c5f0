"""Steps of cleanup after dead hosts, and of stale backlogs."""

from dataclasses import replace

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import chain_plan, group
from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench.stages import REPAIR, simulate_power_losses
from pollenstile.stagework import Chain, ChainFailed, GroupDone
from pollenstile.stagework._codec import group_bytes
from pollenstile.stagework._subjects import ASK, BACKLOG

_ONE_WAY_SECONDS = 0.0015
# The seed with the longest queue after the loss.
_SEED = 3
_MADE_SECONDS = 1.0


@when(
    '{share:d} in 100 of {hosts:d} hosts lose power for {away:g} seconds at'
    ' {load:g} times the load'
)
def when_most_lose(context, share, hosts, away, load):
    context.lost_at = 5.0
    context.served = simulate_power_losses(
        load, hosts, share / 100, context.lost_at, away, seed=_SEED
    )


@then(
    '{seconds:g} seconds later at least {share:d} in 100 requests meet their'
    ' target latency'
)
def then_in_time(context, seconds, share):
    first = context.served[0].arrived_at
    later = [
        request
        for request in context.served
        if request.arrived_at - first > context.lost_at + seconds
    ]
    in_time = [
        request
        for request in later
        if request.stage_seconds is not None
        and request.stage_seconds + request.read <= request.aim
    ]
    assert len(in_time) * 100 >= share * len(later), (len(in_time), len(later))


def _start_fleet(context, service):
    context.fleet = HostFleet(REPAIR.services, 6, _ONE_WAY_SECONDS)
    context.service = service
    context.owner = context.fleet.owner_of(service)
    others = [host for host in context.fleet.hosts if host is not context.owner]
    context.host = others[-1]


def _start_chain(context):
    now = context.fleet.clock.seconds()
    plan = chain_plan('r', context.service, now)
    context.chain = Chain(context.host.client, plan)
    context.ended = []
    work = Deferred.fromCoroutine(context.chain.handles())
    work.addBoth(context.ended.append)


@given('a host that holds results of the owner of "{service}"')
def given_holds(context, service):
    _start_fleet(context, service)
    _start_chain(context)
    context.fleet.advance(_MADE_SECONDS)
    assert context.chain.held
    context.handles = _results(context)
    assert context.handles


@given('a host that waits for pieces of the owner of "{service}"')
def given_waits(context, service):
    # The workers rest longer than the scenario lasts.
    given_waits_for(context, 60, service)


@given(
    'a host that waits for {seconds:g} more seconds for the owner of "{service}"'
)
def given_waits_for(context, seconds, service):
    _start_fleet(context, service)
    for worker in context.owner.owner(service).workers.values():
        worker.rest_until = context.fleet.clock.seconds() + seconds
    _start_chain(context)
    context.fleet.advance(0.1)
    assert context.owner.owner(service).jobs


def _results(context):
    return [
        handle
        for upstream in context.fleet.upstreams.values()
        for handle in upstream.results
    ]


@when('it loses power and {seconds:g} seconds pass')
def when_loses(context, seconds):
    context.host.lose_power()
    context.fleet.advance(seconds)


@when('its link to the owner is reset and {seconds:g} seconds pass')
def when_reset(context, seconds):
    hub = context.owner.hub
    hub.drop(hub.links[context.host.name], 'reset')
    context.fleet.advance(seconds)


@when('its link to the owner is cut permanently and {seconds:g} seconds pass')
def when_cut(context, seconds):
    pair = frozenset((context.host.name, context.owner.name))
    context.fleet.parted.add(pair)
    context.fleet.advance(seconds)


@when('another host requests work with these results as inputs')
def when_other_requests(context):
    order = context.owner.client.ownership.order(context.service)
    now = context.fleet.clock.seconds()
    requested = group(
        'r',
        step=1,
        due=now + 2,
        deadline=now + 8,
        inputs=tuple(context.handles),
    )
    body = group_bytes(replace(requested, service=context.service), now)
    context.owner.hub.requests.subjects[ASK](order[1], body)


@when('{seconds:g} seconds pass at all hosts')
def when_pass(context, seconds):
    context.fleet.advance(seconds)


@then('its chain has its results')
def then_chain(context):
    assert context.ended
    assert not isinstance(context.ended[0], ChainFailed), context.ended
    assert all(context.ended[0]), context.ended


@when('its process is replaced at once and {seconds:g} seconds pass')
def when_replaced(context, seconds):
    fleet = context.fleet
    context.host.lose_power()
    fleet.restart(context.host)
    fleet.advance(seconds)


@then('the upstreams of "{service}" hold no results')
def then_no_results(context, service):
    assert not _results(context), _results(context)


@then('the upstreams of "{service}" hold its results')
def then_its_results(context, service):
    assert set(context.handles) <= set(_results(context)), context.handles


@given(
    'a host that got a backlog of {wait:g} seconds for "{service}"'
    ' {seconds:g} seconds ago'
)
def given_backlog(context, seconds, service, wait):
    _start_fleet(context, service)
    context.host.client.backlogs.record(
        service, GroupDone((), wait, tight=True)
    )
    context.fleet.advance(seconds)
    context.queries = []
    subjects = context.owner.hub.requests.subjects
    answer = subjects[BACKLOG]

    def record_query(host, body):
        context.queries.append(host)
        return answer(host, body)

    subjects[BACKLOG] = record_query


@when('the owner of "{service}" loses power')
def when_owner_loses(context, service):
    context.owner.lose_power()


@when('the owner of "{service}" answers such queries with bytes of no message')
def when_unreadable(context, service):
    context.owner.hub.requests.subjects[BACKLOG] = lambda host, body: b'none'
    context.lines = []
    context.host.client.log = lambda event, **fields: context.lines.append(
        (event.number, fields.get('peer'))
    )


@then('event {number:d} names the owner of "{service}"')
def then_names_owner(context, number, service):
    owner = context.host.client.owning_host(service)
    assert (number, owner) in context.lines, context.lines


@when('it starts a chain that needs "{service}"')
def when_starts_chain(context, service):
    client = context.host.client
    clock = context.fleet.clock
    started_at = clock.seconds()
    context.results = []
    work = Deferred.fromCoroutine(client.refresh_backlogs((service,)))
    work.addCallback(
        lambda _: context.results.append(
            (clock.seconds() - started_at, client.seconds(service, 1))
        )
    )
    context.fleet.advance(0.3)


@when('a query of the owner of "{service}" is cancelled')
def when_cancelled(context, service):
    context.results = []
    client = context.host.client
    work = Deferred.fromCoroutine(client.refresh_backlogs((service,)))
    work.addBoth(context.results.append)
    assert not context.results
    work.cancel()


@then('the query failed with "{name}"')
def then_failed(context, name):
    assert [failure.type.__name__ for failure in context.results] == [name]


@then('it expects less than a second for "{service}"')
def then_short_wait(context, service):
    _, seconds = context.results[0]
    assert seconds < 1, context.results


@then('the chain starts after {seconds:g} seconds with the last backlog')
def then_last_backlog(context, seconds):
    elapsed, wait = context.results[0]
    assert elapsed <= seconds + 0.01, context.results
    assert round(wait) == 3, context.results


@then('no owner was queried for its backlog')
def then_not_queried(context):
    assert context.results
    assert not context.queries, context.queries
