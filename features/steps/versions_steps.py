"""Steps for streams that go on at the software version that began them."""

from behave import given, then, when

from features.builders.versions import FAULTS, play
from pollenstile.bench._versionworld import Versions

# Rejections of hosts that don't know, or don't have, a stream's version.
_REASONS = frozenset(('unknown version', 'no upstream of its version'))


@given(
    '{hosts:d} hosts in {domains:d} domains, and as many upstreams of {count}'
    ' versions'
)
@given(
    '{hosts:d} hosts in {domains:d} domains, and as many upstreams of {count}'
    ' version'
)
def given_upstreams(context, hosts, domains, count):
    context.size = (hosts, domains)
    context.versions = Versions('v1', 'v1.2' if count == 'two' else 'v1')


@when('{fault} while streams run, with seeds {first:d} and {second:d}')
def when_fault(context, fault, first, second):
    context.worlds = [
        play(context.size, context.versions, FAULTS[fault], seed)
        for seed in (first, second)
    ]


@then(
    'at most {most:d} streams of each run have events of two versions in one'
    ' answer'
)
def then_one_answer(context, most):
    for world in context.worlds:
        mixed = [
            caller for caller in world.callers if caller.is_mixed_in_answer()
        ]
        assert len(mixed) <= most, len(mixed)


@then('at most {most:d} streams of each run have events of two versions')
def then_mixed(context, most):
    for world in context.worlds:
        assert len(world.mixed()) <= most, len(world.mixed())


@then(
    'the streams that callers take up go on at least half as often as new ones'
    ' begin'
)
def then_go_on(context):
    for world in context.worlds:
        assert len(world.taken_up()) >= 12, len(world.taken_up())
        began, went_on = world.shares()
        assert went_on >= began / 2, (went_on, began)


@then('no try is refused for its version')
def then_not_refused(context):
    for world in context.worlds:
        reasons = {
            answer.refusal.reason
            for caller in world.callers
            for answer in caller.answers
            if answer.refusal is not None
        }
        assert not reasons & _REASONS, reasons
