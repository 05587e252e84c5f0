"""Steps of stage work while upstreams, hosts and links stand still."""

from behave import then

from features.builders.stagework import LIMITS
from pollenstile.stagework import may_start


@then('its stage workers are slow')
def then_slow(context):
    workers = list(context.queue.owner.workers.values())
    now = context.queue.clock.seconds()
    healthy = type(workers[0])('healthy', '10.0.0.9:1')
    for worker in workers:
        assert not may_start(worker, [worker, healthy], LIMITS, 1, now)
