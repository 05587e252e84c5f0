"""Steps for upstreams that fall over when they turn too many away."""

from behave import given, then, when

from pollenstile.bench._brittleworld import BrittleWorld

# Seconds after the end of the arrivals in which the last requests end.
_DRAIN_SECONDS = 3.0


@given(
    '{hosts:d} hosts and as many upstreams that bear {limit:d} refusals a second'
)
def given_brittle(context, hosts, limit):
    context.world = BrittleWorld(hosts, hosts, 3, limit)


@given('{hosts:d} hosts and as many upstreams that bear any number of refusals')
def given_sound(context, hosts):
    context.world = BrittleWorld(hosts, hosts, 3)


@when(
    'requests for {load:g} of their capacity arrive for {seconds:d} seconds,'
    ' seed {seed:d}'
)
def when_arrive(context, load, seconds, seed):
    world = context.world
    world.rng.seed(seed)
    context.began = world.fleet.clock.seconds()
    world.schedule_share(load, seconds)
    world.advance(seconds + _DRAIN_SECONDS)


@when(
    'the upstreams become sound, and as many arrive for {seconds:d} seconds,'
    ' seed {seed:d}'
)
def when_sound(context, seconds, seed):
    context.world.upstreams.limit = None
    when_arrive(context, 0.5, seconds, seed)


@then(
    'from second {since:d} on the upstreams fall over no more often than is'
    ' allowed'
)
def then_falls(context, since):
    falls = context.world.falls_since(context.began + since)
    assert falls <= context.world.allowed_falls(), falls


@then('at least {share:g} of the requests are served')
def then_served(context, share):
    served = context.world.served_share()
    assert served >= share, served


@then('no request waits or is refused for a place')
def then_none_held(context):
    reasons = {
        sent.answer.refusal.reason
        for sent in context.world.sent
        if sent.answer.refusal
    }
    assert 'brittle' not in reasons, reasons


@then('no host takes the service for brittle')
def then_not_brittle(context):
    for host in context.world.fleet.running():
        assert not host.core.brittle.is_brittle('s')
