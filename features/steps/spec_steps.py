"""Steps that check recorded runs against the specification."""

from behave import then, when

from features.builders.claims_trace import record_scenario
from features.builders.spec import RECORDED_RUNS
from spec.trace import find_deviations


@when('the recorded run "{name}" is checked against the specification')
def step_check(context, name):
    context.deviations = find_deviations(RECORDED_RUNS[name])


@then('the recorded run conforms to the specification')
def step_conforms(context):
    assert not context.deviations, context.deviations


@then('the recorded run deviates at event {number:d} because of "{reason}"')
def step_deviates(context, number, reason):
    found = [
        (deviation.number, deviation.reason) for deviation in context.deviations
    ]
    assert len(found) == 1, found
    assert found[0][0] == number, found
    assert found[0][1].startswith(reason), found


@then('{scenarios:d} recorded claims scenarios conform to the specification')
def step_scenarios(context, scenarios):
    dispatched = 0
    for seed in range(scenarios):
        events = record_scenario(seed)
        assert not find_deviations(events), (seed, find_deviations(events))
        dispatched += sum(event.action == 'dispatch' for event in events)
    assert dispatched > scenarios, dispatched


@then(
    'the recorded claims scenario {seed:d} without "{guard}" deviates at an '
    'event "{action}"',
)
def step_without(context, seed, guard, action):
    found = find_deviations(record_scenario(seed, guard))
    assert action in {deviation.event.action for deviation in found}, found
