"""Steps of requests that crash the upstreams that run them."""

import itertools

from behave import given, then, when

from pollenstile.bench._crashworld import CrashWorld

_DEADLY = b'deadly'


@given(
    '{hosts:d} hosts and {upstreams:d} upstreams in {domains:d} failure'
    ' domains, for {route} requests'
)
def given_world(context, hosts, upstreams, domains, route):
    context.world = CrashWorld(hosts, upstreams, domains, route)


@when(
    'a deadly request comes each {pause:g} seconds for {seconds:g} seconds,'
    ' at all hosts in turn'
)
def when_comes(context, pause, seconds):
    hosts = itertools.cycle(context.world.fleet.hosts)
    for number in range(round(seconds / pause)):
        context.world.later(number * pause, next(hosts), _DEADLY)
    context.world.pass_by(seconds + 1)


@then(
    'from {seconds:g} seconds after its third crash on it reached upstreams at'
    ' most {most:d} times more'
)
def then_kept(context, seconds, most):
    late = context.world.arrivals_after_third(_DEADLY, seconds)
    assert len(late) <= most, late


@then('at most {most:d} upstreams have ended')
def then_few_ends(context, most):
    ends = context.world.upstreams.ends
    assert len(ends) <= most, ends
