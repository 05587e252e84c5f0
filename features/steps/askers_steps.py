"""Steps of dead hosts' results, and of old words of owners."""

from dataclasses import replace

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.stagework import chain_plan, group
from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench.stages import REPAIR, played_with_losses
from pollenstile.stagework import Chain, ChainFailed, GroupDone
from pollenstile.stagework._codec import group_bytes
from pollenstile.stagework._subjects import ASK, BACKLOG

_WAY = 0.0015
# A seed whose queue was longest after the loss.
_SEED = 3
_MADE = 1.0


@when(
    '{share:d} in 100 of {hosts:d} hosts lose power for {away:g} seconds at'
    ' {load:g} times the load'
)
def when_most_lose(context, share, hosts, away, load):
    context.lost_at = 5.0
    context.served = played_with_losses(
        load, hosts, share / 100, context.lost_at, away, seed=_SEED
    )


@then(
    '{seconds:g} seconds later at least {share:d} in 100 requests are in their aim'
)
def then_in_aim(context, seconds, share):
    first = context.served[0].came
    later = [
        one
        for one in context.served
        if one.came - first > context.lost_at + seconds
    ]
    in_aim = [
        one
        for one in later
        if one.staged is not None and one.staged + one.read <= one.aim
    ]
    assert len(in_aim) * 100 >= share * len(later), (len(in_aim), len(later))


def _host_apart(context, service):
    context.fleet = HostFleet(REPAIR.services, 6, _WAY)
    context.service = service
    context.owner = context.fleet.owner_of(service)
    others = [one for one in context.fleet.hosts if one is not context.owner]
    context.host = others[-1]


def _begin(context):
    now = context.fleet.clock.seconds()
    plan = chain_plan('r', context.service, now)
    context.chain = Chain(context.host.client, plan)
    context.ended = []
    work = Deferred.fromCoroutine(context.chain.handles())
    work.addBoth(context.ended.append)


@given('a host that holds results of the owner of "{service}"')
def given_holds(context, service):
    _host_apart(context, service)
    _begin(context)
    context.fleet.advance(_MADE)
    assert context.chain.held
    context.kept = _results(context)
    assert context.kept


@given('a host that waits for pieces of the owner of "{service}"')
def given_waits(context, service):
    # The workers rest for longer than the story takes.
    given_waits_for(context, 60, service)


@given(
    'a host that waits for {seconds:g} more seconds for the owner of "{service}"'
)
def given_waits_for(context, seconds, service):
    _host_apart(context, service)
    for worker in context.owner.owner(service).workers.values():
        worker.rest_until = context.fleet.clock.seconds() + seconds
    _begin(context)
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


@when('its link to the owner is cut for good and {seconds:g} seconds pass')
def when_cut(context, seconds):
    pair = frozenset((context.host.name, context.owner.name))
    context.fleet.parted.add(pair)
    context.fleet.advance(seconds)


@when('another host asks for work with these results as inputs')
def when_asked_through(context):
    order = context.owner.client.ownership.order(context.service)
    now = context.fleet.clock.seconds()
    one = group(
        'r', step=1, due=now + 2, deadline=now + 8, inputs=tuple(context.kept)
    )
    body = group_bytes(replace(one, service=context.service), now)
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
    fleet.start_again(context.host)
    fleet.advance(seconds)


@then('the upstreams of "{service}" hold no results')
def then_no_results(context, service):
    assert not _results(context), _results(context)


@then('the upstreams of "{service}" hold its results')
def then_its_results(context, service):
    assert set(context.kept) <= set(_results(context)), context.kept


@given(
    'a host that was told {seconds:g} seconds ago that "{service}" is {wait:g}'
    ' seconds long'
)
def given_told(context, seconds, service, wait):
    _host_apart(context, service)
    context.host.client.backlogs.note(service, GroupDone((), wait, tight=True))
    context.fleet.advance(seconds)
    context.questions = []
    subjects = context.owner.hub.requests.subjects
    answer = subjects[BACKLOG]

    def asked(host, body):
        context.questions.append(host)
        return answer(host, body)

    subjects[BACKLOG] = asked


@when('the owner of "{service}" loses power')
def when_owner_loses(context, service):
    context.owner.lose_power()


@when('it has a chain begun that goes through "{service}"')
def when_chain(context, service):
    client = context.host.client
    clock = context.fleet.clock
    began = clock.seconds()
    context.told = []
    work = Deferred.fromCoroutine(client.refresh_backlogs((service,)))
    work.addCallback(
        lambda _: context.told.append(
            (clock.seconds() - began, client.seconds(service, 1))
        )
    )
    context.fleet.advance(0.3)


@then('it counts on less than a second for "{service}"')
def then_served(context, service):
    _, seconds = context.told[0]
    assert seconds < 1, context.told


@then('the chain begins after {seconds:g} seconds by the last word')
def then_last_word(context, seconds):
    took, wait = context.told[0]
    assert took <= seconds + 0.01, context.told
    assert round(wait) == 3, context.told


@then('no owner was asked how long its queue is')
def then_not_asked(context):
    assert context.told
    assert not context.questions, context.questions
