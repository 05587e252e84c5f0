"""Steps of stage work while upstreams, hosts and links stand still."""

from behave import given, then, when

from features.builders.stagework import LIMITS
from pollenstile.bench.stages import simulate_silences
from pollenstile.stagework import expected_wait, full_seconds, may_start

_HOSTS = 9
_LOAD = 0.6
_OWNER_SEED = 1


@then('its stage workers are slow')
def then_slow(context):
    workers = list(context.queue.owner.workers.values())
    now = context.queue.clock.seconds()
    healthy = type(workers[0])('healthy', '10.0.0.9:1')
    for worker in workers:
        assert not may_start(worker, [worker, healthy], LIMITS, 1, now)


@given('none has answered since')
def given_none_answered(context):
    for worker in context.workers:
        worker.answered_at = 0.0


@then('behind {count:d} pieces the wait is that of two workers')
def then_both(context, count):
    wait = expected_wait(count, context.workers, LIMITS, context.now)
    assert wait == full_seconds(LIMITS), wait


@when(
    '{number:d} of 12 stage workers stand still for {seconds:g} seconds, twice'
)
def when_workers(context, number, seconds):
    def silence(fleet, rng):
        fleet.silence_workers(number, seconds, rng)

    context.requests = simulate_silences(_LOAD, _HOSTS, silence)


@when('the host that owns a stage is stopped for {seconds:g} seconds, twice')
def when_owner(context, seconds):
    def silence(fleet, rng):
        fleet.stop_owner(seconds, rng)

    context.requests = simulate_silences(_LOAD, _HOSTS, silence, _OWNER_SEED)


@then('at most {most:d} requests are refused')
def then_refused(context, most):
    refused = [served.refused for served in context.requests if served.refused]
    assert len(refused) <= most, refused


@then('no request waits for ever')
def then_ended(context):
    waiting = [
        served.kind
        for served in context.requests
        if served.stage_seconds is None and not served.refused
    ]
    assert not waiting, waiting


@then('stage request "{request}" is still waiting')
def then_still_waiting(context, request):
    assert request not in context.queue.outcomes, context.queue.outcomes
