"""Steps for whole hosts whose upstreams leave or ask for rest."""

from behave import given, then, when

from pollenstile.bench._ratefaults import inject_fault
from pollenstile.bench._withdrawalworld import WithdrawalWorld
from pollenstile.statements import Statements

_OK = 200


@given(
    '{hosts:d} hosts and {upstreams:d} upstreams in {domains:d} failure domains'
    ' that may leave or ask for rest'
)
def given_world(context, hosts, upstreams, domains):
    context.world = WithdrawalWorld(hosts, upstreams, domains)
    context.address = context.world.addresses()[0]


@given('the fault "{fault}" while an upstream leaves')
def given_fault(context, fault):
    inject_fault(context.world, context.address, fault)


@when(
    'answers of an upstream say that it leaves, with {load:g} requests a second'
    ' for {seconds:g} seconds'
)
def when_leaves(context, load, seconds):
    context.world.state_leaving(context.address)
    context.world.schedule_traffic(load, seconds)
    context.world.advance(seconds)


@then(
    "nothing reaches it from a host over {seconds:g} seconds after that host's"
    ' answer'
)
def then_nothing_reaches(context, seconds):
    upstreams = context.world.upstreams
    assert upstreams.departures
    late = upstreams.arrivals_after_departure(seconds)
    assert not late, (len(late), late[:2])


@when(
    'an upstream turns {share:g} of its requests away and asks for {rest:g}'
    ' seconds of rest, with {load:g} requests a second for {seconds:g} seconds'
)
def when_sheds(context, share, rest, load, seconds):
    context.world.shed(context.address, share, rest)
    context.world.schedule_traffic(load, seconds)
    context.world.advance(seconds)


@then(
    'from {since:g} seconds after such an answer at most {most:d} requests of'
    ' that host reach it in the time'
)
def then_rests(context, since, most):
    upstreams = context.world.upstreams
    assert upstreams.asks
    found = upstreams.most_in_rest(since)
    assert found <= most, found


@then(
    'nothing reaches it from any host over {seconds:g} seconds after the first'
    ' such answer'
)
def then_nothing_from_any(context, seconds):
    upstreams = context.world.upstreams
    assert upstreams.departures
    late = upstreams.arrivals_after_departure(seconds, told_only=False)
    assert not late, (len(late), late[:2])


@when('one host is told that an upstream leaves')
def when_told(context):
    context.name = f'{context.world.ident(context.address)}/0'
    host = context.world.fleet.running()[-1]
    statements = Statements(_OK, leaving=('1',), is_proof=True)
    host.core.permissions.note_answer(context.name, 's', statements)
    context.world.advance(1.0)


@when('another host joins the hosts')
def when_joins(context):
    domain = context.world.fleet.running()[0].domain
    context.world.fleet.add_host('h-new', domain)
    context.world.advance(3.0)


@then('all hosts know within {seconds:g} seconds that it leaves')
def then_all_know(context, seconds):
    context.world.advance(seconds)
    unaware = [
        host.name
        for host in context.world.fleet.running()
        if not host.core.permissions.leaving.is_leaving(context.name)
    ]
    assert not unaware, unaware


@when('its entry is deleted, and written again as ready')
def when_written_again(context):
    world = context.world
    world.delete_entry(context.address)
    world.advance(3.0)
    world.write_entry(context.address, leaving=False)
    world.advance(1.0)


@then('no host sends anything to it in {seconds:g} seconds')
def then_nothing_sent(context, seconds):
    world = context.world
    since = world.fleet.clock.seconds()
    world.schedule_traffic(60, seconds)
    world.advance(seconds)
    arrivals = world.upstreams.arrivals_at(
        context.address, since, since + seconds
    )
    assert not arrivals, arrivals
    assert all(sent.answer.end == 'whole' for sent in world.sent[:-20])


@when('it ends, and another incarnation starts at its address')
def when_reborn(context):
    upstreams = context.world.upstreams
    upstreams.crash(upstreams.processes[context.address])
    context.world.advance(4.0)


@then('the new incarnation gets over {most:d} requests in {seconds:g} seconds')
def then_free(context, most, seconds):
    world = context.world
    since = world.fleet.clock.seconds()
    world.schedule_traffic(60, seconds)
    world.advance(seconds)
    arrivals = world.upstreams.arrivals_at(
        context.address, since, since + seconds
    )
    assert len(arrivals) > most, arrivals
