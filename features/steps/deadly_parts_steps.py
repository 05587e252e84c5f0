"""Steps for prompt parts that crash the upstreams that answer on them."""

from dataclasses import replace

from behave import given, then, when
from twisted.internet.task import Clock

from pollenstile.bench._crashworld import is_deadly
from pollenstile.bench._partworld import (
    CONTACT_SECONDS,
    PartLoad,
    PartWorld,
)
from pollenstile.quarantine import Quarantine, Suspect

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


_VARIANTS = {
    'five teams': {'teams': 5},
    'one body, again and again': {'bodies': 1},
    'two bodies, again and again': {'bodies': 2},
    'chance crashes beside it': {'chance': 0.3},
}
_ROUTES = {'repeated requests': 'repeated'}
# Fewer slots than requests arrive while they run, so that some wait for one.
_SLOTS = {'full upstreams': 2}


@given('"{what}"')
def given_variant(context, what):
    context.load = replace(context.load, **_VARIANTS.get(what, {}))
    context.route = _ROUTES.get(what, 'resumed')
    context.slots = _SLOTS.get(what, 8)


@given('{chance:g} crashes a second come without a cause')
def given_chance(context, chance):
    context.load = replace(context.load, chance=chance)


def _world(context, seed=1):
    hosts, domains = context.size
    return PartWorld(
        hosts,
        domains,
        context.load,
        seed,
        getattr(context, 'route', 'resumed'),
        getattr(context, 'slots', 8),
    )


@when('they arrive for {seconds:g} seconds, by seed {seed:d}')
def when_arrive(context, seconds, seed):
    context.load = replace(context.load, seconds=seconds)
    world = _world(context, seed)
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


@then('at most {most:d} upstreams have crashed under it')
def then_few(context, most):
    crashes = context.world.deadly_crashes()
    assert len(crashes) <= most, len(crashes)


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


@when('all hosts are killed, and they arrive for {seconds:g} seconds more')
def when_killed(context, seconds):
    world = context.world
    domains = world.kill_all()
    world.advance(1.0)
    world.start_all(domains)
    world.advance(2.0)
    world.load = replace(world.load, seconds=seconds)
    world.run()


@when('every request crashes its upstream for {seconds:g} seconds')
def when_all_crash(context, seconds):
    world = _world(context)
    world.run_sound(_CALM_SECONDS)
    world.upstreams.is_crashing = bool
    world.run_sound(seconds)
    context.world = world


@when('requests are sound again for {seconds:g} seconds')
def when_sound_again(context, seconds):
    context.world.upstreams.is_crashing = is_deadly
    context.world.run_sound(seconds)


@when(
    '{count:d} upstreams crash at once, shortly after {requests:d} requests with a'
    ' new part'
)
def when_rack_fails(context, count, requests):
    world = _world(context)
    world.run_sound(_CALM_SECONDS)
    for _ in range(requests):
        world.send_sound('new')
    world.advance(0.05)
    busy = [process for process in world.upstreams.running() if process.calls]
    for process in busy[:count]:
        world.upstreams.crash(process)
    assert len(world.upstreams.crashes) == count
    world.run_sound(_CALM_SECONDS)
    context.world = world


def _verdicts(context):
    return [
        verdict
        for host in context.world.fleet.running()
        for verdict in host.core.quarantine.verdicts.all_held()
    ]


@then('nothing is in quarantine')
def then_nothing(context):
    assert not _verdicts(context), _verdicts(context)


@then('no part is in quarantine')
def then_no_part(context):
    held = [verdict for verdict in _verdicts(context) if verdict.is_part]
    assert not held, held


@then('one request is in quarantine, and no part')
def then_request(context):
    held = _verdicts(context)
    assert not any(verdict.is_part for verdict in held), held
    assert len({verdict.fingerprint for verdict in held}) == 1, held


@then('sound requests are served at the end')
def then_end(context):
    now = context.world.now()
    assert context.world.share_served(now - 4.0, now - _ANSWER_SECONDS) >= 1


@given("a host's quarantine that has seen answers")
def given_quarantine(context):
    context.updates = []
    context.clock = Clock()
    context.clock.advance(100.0)
    context.quarantine = Quarantine(context.clock, 'h', lambda service: 9)
    context.quarantine.on_update = context.updates.append
    context.crashes = 0


def _crash(context, request, parts, run_seconds=0.05):
    """Report a crash a second after the one before; answers go on meanwhile."""
    context.crashes += 1
    suspect = Suspect(request, 'team', run_seconds, parts)
    context.quarantine.note_sound_parts('s', ())
    context.quarantine.note_crash(f'i{context.crashes}', 's', (suspect,))
    context.clock.advance(1.0)


@when(
    '{count:d} upstreams crash under different requests with the parts "{first}"'
    ' and "{second}"'
)
def when_two_parts(context, count, first, second):
    for number in range(count):
        _crash(context, f'r{number}', (first, second))


@when(
    '{count:d} upstreams crash under different requests with the part "{part}"'
)
def when_one_part(context, count, part):
    for number in range(count):
        _crash(context, f'r{number}', (part,))


@when('{count:d} upstreams crash under one request with the part "{part}"')
def when_one_request(context, count, part):
    for _ in range(count):
        _crash(context, 'r', (part,))


@when(
    'another request with the part "{part}" ran for {seconds:g} seconds when an'
    ' upstream crashed'
)
def when_victim(context, part, seconds):
    _crash(context, 'other', (part,), seconds)


@when('{seconds:d} seconds pass')
def when_pass(context, seconds):
    context.clock.advance(seconds)
    context.quarantine.expire()


@when('another service answers on the part "{part}"')
def when_other_answers(context, part):
    context.quarantine.note_sound_parts('other', (part,))


@when('the service answers on the part "{part}"')
def when_answers(context, part):
    context.quarantine.note_sound_parts('s', (part,))


@then('other hosts are told that it answers on the part "{part}"')
def then_told(context, part):
    proofs = context.updates[-1].proofs
    assert [proof.part for proof in proofs] == [part], proofs


@then('"{part}" is in quarantine')
def then_held(context, part):
    assert context.quarantine.is_held(part)


@then('"{part}" is not in quarantine')
def then_not_held(context, part):
    assert not context.quarantine.is_held(part)


@then('"{first}" is in quarantine, and "{second}" is not')
def then_one_held(context, first, second):
    assert context.quarantine.is_held(first)
    assert not context.quarantine.is_held(second)
