"""Steps for requests whose upstreams, or whose host, fall silent and go on."""

from behave import then, when

# Seconds between two upstreams that go on one after the other, and after the
# end of a pause.
_BETWEEN_SECONDS = 0.01


def _perform(context, action):
    context.actions.append(action)
    action(context.world)


def _check(context, check):
    context.checks.append(check)
    check(context.world)


@when('the retry budget of requests is spent')
def when_budget_spent(context):
    def spend(world):
        world.node.core.retries.tokens = 0

    _perform(context, spend)


@when('the retry budget of requests is filled')
def when_budget_filled(context):
    def fill(world):
        retries = world.node.core.retries
        retries.tokens = retries.burst

    _perform(context, fill)


@when('the called upstream stands still')
def when_called_still(context):
    _perform(context, lambda world: world.still.add(world.called_names[-1]))


@when('all upstreams of the pipeline stand still')
def when_all_still(context):
    _perform(context, lambda world: world.still.update(world.upstreams))


@when('the upstreams go on')
def when_go_on(context):
    _perform(context, lambda world: world.go_on())


@when('the called upstream goes on last')
def when_called_last(context):
    def go_on(world):
        last = world.called_names[-1]
        world.go_on(world.upstreams.keys() - {last})
        world.wait(_BETWEEN_SECONDS)
        world.go_on()

    _perform(context, go_on)


@when('the other upstreams are leaving for requests')
def when_others_leave(context):
    def leave(world):
        for name in world.upstreams.keys() - set(world.called_names):
            world.node.core.tracker.state(name).leaving = True

    _perform(context, leave)


@when('the host of requests is paused for {seconds:g} seconds')
def when_host_paused(context, seconds):
    def pause(world):
        world.process.freeze()
        world.wait(seconds)
        world.process.thaw()
        world.wait(_BETWEEN_SECONDS)

    _perform(context, pause)


@then('each request ends as "{tag}"')
def then_each_ends(context, tag):
    def check(world):
        tags = {sent.outcome.tag for sent in world.sent}
        assert tags == {tag}, tags

    _check(context, check)


@then("the request's call {number:d} needs a new connection")
def then_fresh(context, number):
    def check(world):
        assert world.calls[number - 1].fresh

    _check(context, check)


@then(
    'the requests host counts the first upstream as at most {factor:g} times'
    ' slower'
)
def then_slowness(context, factor):
    def check(world):
        slowness = world.node.core.concurrency.slowness(world.called_names[0])
        assert 1 < slowness <= factor, slowness

    _check(context, check)
