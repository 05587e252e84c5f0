"""Steps of random claims stories."""

from collections import Counter

from behave import then

from features.builders.claims_guards import without
from features.builders.claims_random import RandomStory

_MOST_SEEDS = 40


@then('no key of {seeds:d} random claims stories ran twice within its window')
def step_stories(context, seeds):
    context.outcomes = Counter()
    for seed in range(seeds):
        story = RandomStory(seed).told()
        assert not story.faults, (seed, story.faults)
        context.outcomes.update(story.counts)


@then('the random claims stories had every outcome at least {least:d} times')
def step_outcomes(context, least):
    for tag in ('answered', 'not-run', 'failed', 'unknown'):
        assert context.outcomes[tag] >= least, context.outcomes


@then('a random claims story from seed {seed:d} on fails without "{guard}"')
def step_caught(context, seed, guard):
    for number in range(seed, seed + _MOST_SEEDS):
        with without(guard):
            story = RandomStory(number).told()
        if any(' ran at ' in fault for fault in story.faults):
            return
    raise AssertionError(f'{_MOST_SEEDS} seeds do not miss the guard')
