"""Steps of random claims scenarios."""

from collections import Counter

from behave import then

from features.builders.claims_guards import without
from features.builders.claims_random import RandomScenario

_MOST_SEEDS = 40


@then('no key of {seeds:d} random claims scenarios ran twice within its window')
def step_stories(context, seeds):
    context.outcomes = Counter()
    for seed in range(seeds):
        scenario = RandomScenario(seed).run()
        assert not scenario.violations, (seed, scenario.violations)
        context.outcomes.update(scenario.counts)


@then('the random claims scenarios had every outcome at least {least:d} times')
def step_outcomes(context, least):
    for tag in ('answered', 'not-run', 'failed', 'unknown'):
        assert context.outcomes[tag] >= least, context.outcomes


@then('a random claims scenario from seed {seed:d} on fails without "{guard}"')
def step_caught(context, seed, guard):
    for number in range(seed, seed + _MOST_SEEDS):
        with without(guard):
            scenario = RandomScenario(number).run()
        if any(' ran at ' in violation for violation in scenario.violations):
            return
    raise AssertionError(f'{_MOST_SEEDS} seeds pass without the guard')
