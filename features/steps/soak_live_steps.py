"""Steps of the soak of real entry hosts."""

from behave import then, when
from twisted.internet import reactor

from features.builders.livemutant import noticed
from features.builders.loop import result_of
from pollenstile.soak.live import run_live

_SEEDS = (1, 2, 3)


@when('live hosts are harmed for {seconds:d} seconds by seed {seed:d}')
def when_harmed(context, seconds, seed):
    context.result = result_of(run_live(reactor, seed, float(seconds)))


@when(
    'live hosts without the guard "{guard}" are harmed for {seconds:d} seconds'
)
def when_unguarded(context, guard, seconds):
    context.result = result_of(
        noticed(reactor, guard, _SEEDS, float(seconds)),
    )


@then('no promise of the live hosts was broken')
def then_kept(context):
    assert not context.result.broken, context.result


@then('the live hosts served requests and {count:d} faults or more struck')
def then_served(context, count):
    assert context.result.outcomes.get(200, 0) > 50, context.result.outcomes
    assert len(context.result.faults) >= count, context.result.faults


@then('a promise of the live hosts was broken: "{text}"')
def then_broken(context, text):
    assert context.result is not None
    assert any(text in line for line in context.result.broken), context.result
