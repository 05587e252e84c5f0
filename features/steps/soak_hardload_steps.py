"""Steps of the soak of uneven engines and scarce stage capacity."""

from behave import then, when

from features.builders.mutations import without
from pollenstile.soak import run_hard_load

_MAX_SEEDS = 12


@then(
    'hard-load soak seed {seed:d} of {seconds:g} seconds gives the same digest'
    ' twice'
)
def step_same(context, seed, seconds):
    digests = {run_hard_load(seed, seconds).digest for _ in range(2)}
    assert len(digests) == 1, digests


@when('hard-load soak seed {seed:d} of {seconds:g} seconds is run')
def step_run(context, seed, seconds):
    context.result = run_hard_load(seed, seconds)


@then(
    'the run answered {answered:d} requests or more and promised {promised:d}'
    ' returns or more'
)
def step_counts(context, answered, promised):
    # A run with few answers or promises would test too little.
    outcomes = context.result.outcomes
    assert outcomes['answered'] >= answered, outcomes
    assert outcomes['promised'] >= promised, outcomes


@when('hard-load soaks of {seconds:g} seconds are run without "{guard}"')
def step_run_without(context, seconds, guard):
    context.runs = (
        _run_without(guard, seed, seconds) for seed in range(1, _MAX_SEEDS + 1)
    )


def _run_without(guard, seed, seconds):
    with without(guard):
        return run_hard_load(seed, seconds)


@then('one of the hard-load soaks reports "{invariant}"')
def step_reports(context, invariant):
    for result in context.runs:
        named = {violation.split()[0] for violation in result.violations}
        if invariant in named:
            assert any('VIOLATION' in line for line in result.tail)
            return
    raise AssertionError(f'no soak has reported {invariant}')
