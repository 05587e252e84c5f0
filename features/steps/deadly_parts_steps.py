"""Steps for prompt parts that crash the upstreams that answer on them."""

from dataclasses import replace

from behave import given, then, when

from pollenstile.bench._partworld import (
    CONTACT_SECONDS,
    PartLoad,
    PartWorld,
)

_PLACES = ('first', 'second', 'third', 'fourth')
_CALM_SECONDS = 5.0
# Seconds that a sound request may take; later ones may not be over at the end.
_ANSWER_SECONDS = 1.5
# Requests that may reach upstreams once all hosts must know the part.
_ALLOWED_ARRIVALS = 3
# Share of the calm served share that sound requests must keep.
_KEPT_SHARE = 0.5


@given(
    'callers of {hosts:d} hosts in {domains:d} failure domains, {sound:g} sound'
    ' requests a second'
)
def given_callers(context, hosts, domains, sound):
    context.size = (hosts, domains)
    context.load = PartLoad(sound=sound, deadly=0.0)


@given(
    '{deadly:g} requests a second hold a part that crashes upstreams, the'
    ' {place} of {parts:d}'
)
def given_deadly(context, deadly, place, parts):
    context.load = replace(
        context.load, deadly=deadly, place=_PLACES.index(place), parts=parts
    )


@when('they arrive for {seconds:g} seconds, by seed {seed:d}')
def when_arrive(context, seconds, seed):
    hosts, domains = context.size
    context.load = replace(context.load, seconds=seconds)
    world = PartWorld(hosts, domains, context.load, seed)
    calm_since = world.now()
    world.run_sound(_CALM_SECONDS)
    context.began = world.now()
    context.calm = world.share_served(
        calm_since, context.began - _ANSWER_SECONDS
    )
    world.run()
    context.world = world


@then('at most 3 requests with it arrive later than 3 s after its fifth crash')
def then_kept(context):
    late = context.world.late_arrivals()
    assert len(late) <= _ALLOWED_ARRIVALS, len(late)


@then('sound requests are served at the first try as before')
def then_served(context):
    world = context.world
    since = (world.judged_at() or context.began) + 2 * CONTACT_SECONDS
    until = context.began + context.load.seconds
    share = world.share_served(since, until)
    assert share >= _KEPT_SHARE * context.calm, (share, context.calm)


@then('no sound request is refused for crashing upstreams')
def then_none_held(context):
    held = context.world.sound_held()
    assert not held, [caller.body for caller in held]
