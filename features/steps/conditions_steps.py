"""Steps for engines that differ in speed."""

from random import Random

from behave import given, step, then, when

from features.builders.conditions import ConditionDomain, EngineLoop
from features.builders.forward import SERVICE, ForwardScenario, event_bytes
from pollenstile.conditions import (
    CONDITIONS_SUBJECT,
    SpeedMessage,
    SpeedRow,
    encode_ask,
    incarnation_key,
    usual_time,
)
from pollenstile.forward import UpstreamView, select_engine
from pollenstile.forward._enginespeeds import add_speed_gauges
from pollenstile.ops.logs import silent_log
from pollenstile.ops.measures import Measures

_PROMPT = (('own', 600),)
_RUN_SECONDS = 50.0


@given('a request to a model engine')
def given_request(context):
    context.story = ForwardScenario('stream', upstreams=1)
    context.story.start(prompt=_PROMPT)
    context.view = context.story.registry.views['i0']


@when('its answer reports the load "{load}"')
def when_answered(context, load):
    context.story.calls[0].answer(load=load)


@when('it reports the load "{load}" {count:d} times')
def when_reported(context, load, count):
    for _ in range(count):
        story = ForwardScenario('stream', upstreams=1)
        story.core.registry = context.story.registry
        story.core.conditions = context.story.core.conditions
        story.start(prompt=_PROMPT)
        story.calls[0].answer(load=load)


def _factor(context):
    conditions = context.story.core.conditions
    return conditions.time_factor(SERVICE)(context.view)


@then(
    'that engine has {running:d} running requests and the time factor'
    ' {factor:f}'
)
def then_engine(context, running, factor):
    assert context.view.running == running, context.view
    assert _factor(context) == factor, _factor(context)


@then('{seconds:f} seconds later the time factor {factor:f}')
def then_later(context, seconds, factor):
    context.story.clock.advance(seconds)
    assert _factor(context) == factor, _factor(context)


@then('{count:d} line tells of an unreadable load')
def then_lines(context, count):
    lines = context.story.lines('load-unreadable')
    assert len(lines) == count, lines


@then('time factors do not apply to its service')
def then_unchanged(context):
    conditions = context.story.core.conditions
    assert context.view.running == 3
    assert conditions.time_factor(SERVICE) is usual_time
    assert not conditions.applies()


@when('its first token comes after {times:f} times the expected time')
def when_first(context, times):
    tokens = context.story.core.first_tokens
    expected = tokens.seconds(SERVICE, _PROMPT[-1][1])
    context.story.clock.advance(times * expected)
    call = context.story.calls[0]
    context.view.slowdown_at = context.story.clock.seconds()
    call.on_data(event_bytes(1))


@then('its measured speed ratio is about {ratio:f}')
def then_measured(context, ratio):
    estimates = context.story.core.conditions.estimates
    rows = estimates.take_unsent(2)
    assert [round(row.ratio, 2) for row in rows] == [ratio], rows


@then('its gauge of the estimated one lies between {low:f} and {high:f}')
def then_gauge(context, low, high):
    measures = Measures(silent_log, ())
    add_speed_gauges(measures, context.story.core)
    lines = measures.text().decode().splitlines()
    label = f'engine_time_ratio{{upstream="{context.view.incarnation}"}} '
    found = [line.split()[-1] for line in lines if label in line]
    assert low < float(found[0]) < high, lines


@given('{count:d} engines with the time factors "{factors}"')
def given_factors(context, count, factors):
    context.views = [
        UpstreamView(f'e{place}', f'e{place}:1', 'd', 64)
        for place in range(count)
    ]
    values = map(float, factors.split(','))
    idents = [view.ident for view in context.views]
    context.factors = dict(zip(idents, values, strict=True))


def _chosen(context, prompt, count):
    rng = Random(1)

    def factor(view):
        return context.factors[view.ident]

    return {
        select_engine(
            context.views,
            0,
            'd',
            rng,
            prompt,
            1e-4,
            time_factor=factor,
        ).ident
        for _ in range(count)
    }


@then('{count:d} requests about one subject go to its home engine')
def then_home(context, count):
    for number in range(8):
        prompt = ((f'unit{number}', 60), ('own', 900))
        assert len(_chosen(context, prompt, count)) == 1


@then('{count:d} requests without subject go to at least {least:d} engines')
def then_spread(context, count, least):
    assert len(_chosen(context, _PROMPT, count)) >= least


@given('the hosts "{names}" of a domain')
def given_domain(context, names):
    context.domain = ConditionDomain(names.split(','))


@given('the hosts "{names}" of a domain with engines that report a slowdown')
def given_reporting_domain(context, names):
    given_domain(context, names)
    context.domain.report()


@when('"{names}" measures the ratio {ratio:f} at "{engine}" {count:d} times')
@when('"{names}" measure the ratio {ratio:f} at "{engine}" {count:d} times')
def when_measured(context, names, ratio, engine, count):
    for name in names.split(','):
        context.domain.measure(name, engine, ratio, count)


@step('{seconds:f} seconds of exchange pass')
def step_pass(context, seconds):
    for _ in range(round(seconds)):
        if context.domain.sharings[-1].conditions.reported_at:
            context.domain.report()
        context.domain.run(1.0)


@when('the host "{name}" dies')
def when_dies(context, name):
    context.domain.names.remove(name)
    context.domain.world.hubs[name].stop()


@then('"{name}" has a ratio over {ratio:f} for "{engine}"')
def then_over(context, name, ratio, engine):
    found = context.domain.ratio(name, engine)
    assert found > ratio, found


@then('"{name}" has a ratio under {ratio:f} for "{engine}"')
def then_under(context, name, ratio, engine):
    found = context.domain.ratio(name, engine)
    assert found < ratio, found


@then('no host has told another anything')
def then_silent(context):
    assert not any(sharing.known[0] for sharing in context.domain.sharings)


@then('"{name}" has the ratio {ratio:f} for "{engine}"')
def then_ratio(context, name, ratio, engine):
    found = context.domain.ratio(name, engine)
    assert found == ratio, found


def _message(rows):
    return encode_ask(SpeedMessage(0, 0, rows))


def _malformed(kind):
    row = SpeedRow(incarnation_key('i/1'), 3.0, 9.0)
    if kind == 'truncated':
        return _message([row])[:-8]
    if kind == 'long':
        return _message([row for _ in range(200)])
    return _message([SpeedRow(row.key[:5], row.ratio, row.weight)])


@when('"{name}" sends "{reader}" a {kind} message of speeds')
def when_malformed(context, name, reader, kind):
    replies = []
    hub = context.domain.world.hubs[name]
    reply = hub.ask(reader, CONDITIONS_SUBJECT, _malformed(kind), 0.5)
    reply.addCallback(replies.append)
    context.domain.world.run(1.0)
    context.reply = replies[0]


@then('the message was answered empty, and logged once')
def then_refused(context):
    assert context.reply == b'', context.reply
    assert context.domain.world.count('speeds-unreadable') == 1


@given('16 engines, a quarter of them at {slow:f} and the others at {fast:f}')
def given_uneven(context, slow, fast):
    context.speeds = (slow, fast, fast, fast) * 4


@given('16 equal engines')
def given_equal(context):
    context.speeds = (1.0,) * 16


@when(
    '{hosts:d} hosts choose among them at {load:f} of the capacity, reports'
    ' {age:f} s old'
)
def when_choose(context, hosts, load, age):
    def share(chooser):
        loop = EngineLoop(chooser, context.speeds, load, hosts, age)
        return loop.run(_RUN_SECONDS)

    context.share = share
    context.found = share('estimates')


@then('they answer in time at least {least:f} of what full knowledge does')
def then_near_full(context, least):
    full = context.share('full')
    assert context.found >= least * full, (context.found, full)


@then('they answer in time more than without speeds')
def then_better(context):
    blind = context.share('blind')
    assert context.found > blind, (context.found, blind)


@then('they answer in time at least as many as without speeds, less {margin:f}')
def then_no_worse(context, margin):
    blind = context.share('blind')
    assert context.found >= blind - margin, (context.found, blind)
