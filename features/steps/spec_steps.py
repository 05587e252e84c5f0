"""Steps that hold recorded runs against the specification."""

from behave import then, when

from features.builders.claims_trace import record_scenario
from features.builders.spec import RUNS
from spec.trace import departures


@when('the recorded run "{name}" is held against the specification')
def step_hold(context, name):
    context.departures = departures(RUNS[name])


@then('the recorded run is one of the specification')
def step_fits(context):
    assert not context.departures, context.departures


@then('the recorded run departs at event {number:d}, since "{reason}"')
def step_departs(context, number, reason):
    found = [(one.number, one.reason) for one in context.departures]
    assert len(found) == 1, found
    assert found[0][0] == number, found
    assert found[0][1].startswith(reason), found


@then('{stories:d} recorded claims stories are runs of the specification')
def step_stories(context, stories):
    dispatched = 0
    for seed in range(stories):
        events = record_scenario(seed)
        assert not departures(events), (seed, departures(events))
        dispatched += sum(one.action == 'dispatch' for one in events)
    assert dispatched > stories, dispatched


@then(
    'the recorded claims story {seed:d} without "{guard}" departs at an event '
    '"{action}"',
)
def step_without(context, seed, guard, action):
    found = departures(record_scenario(seed, guard))
    assert action in {one.event.action for one in found}, found
