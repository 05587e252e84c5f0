"""Steps for whole hosts whose upstreams leave or ask for rest."""

from behave import given, then, when

from pollenstile.bench._ratefaults import inject_fault
from pollenstile.bench._withdrawalworld import WithdrawalWorld


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
