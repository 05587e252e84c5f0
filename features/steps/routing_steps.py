"""Steps of the choice of an upstream."""

import random
from dataclasses import replace

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.limits import SLOTS, Story, small_manifest
from pollenstile.routing import Hints, Tracker, choose_upstream
from pollenstile.upstream import Load


class _Pool:
    """A pool, what is known of it, and choices from it."""

    def __init__(self, *domains):
        self.pool = small_manifest().pools['workers']
        upstreams = {}
        for place, (name, one) in enumerate(self.pool.upstreams.items()):
            domain = domains[place % len(domains)] if domains else 'here'
            upstreams[name] = replace(one, domain=domain)
        self.pool = replace(self.pool, upstreams=upstreams)
        self.tracker = Tracker(Clock())
        self.rng = random.Random(3)

    def choose(self, **hints):
        return choose_upstream(
            self.pool,
            self.tracker,
            'here',
            self.rng,
            hints=Hints(**hints),
        )

    def send(self, count, **hints):
        """Choose and start so many calls; return them by worker."""
        sent = dict.fromkeys(self.pool.upstreams, 0)
        for _ in range(count):
            name = self.choose(**hints).name
            self.tracker.started(name)
            sent[name] += 1
        return sent


def _slow_call(*, hedged=True):
    story = Story(1)
    for _ in range(60):
        story.ask('large', 'urgent')
        story.drain(0.15)
    if not hedged:
        story.nodes[0].core.retries.tokens = 0
        story.nodes[0].core.retries.ratio = 0
    story.ask('large', 'urgent')
    for upstream in story.upstreams.values():
        upstream.faults.slow = 50.0
    story.clock.advance(0.01)
    for upstream in story.upstreams.values():
        upstream.faults.slow = 1.0
    story.drain(2)
    return story


@given('a routing host whose worker turns slow under a call')
def step_slow(context):
    context.story = _slow_call()


@then('the routing request is answered by another worker in time')
def step_answered(context):
    told = context.story.told[-1]
    assert told['outcome'].tag == 'answered', told
    assert told['at'] <= told['deadline'], told
    assert context.story.nodes[0].metrics.total('stage.hedged') >= 1


@then('the routing cost of what was in vain is counted')
def step_cost(context):
    costs = context.story.nodes[0].core.costs
    vain = costs.total(team='large') - costs.total(kind='useful')
    assert vain > 0, costs.document()
    assert 0 < costs.wasted_share() < 1 / 2, costs.wasted_share()


@then('without routing hedges the request is late')
def step_late(context):
    told = _slow_call(hedged=False).told[-1]
    assert told['outcome'].tag != 'answered', told


@given('a routing pool in which every worker has just failed often')
def step_failed(context):
    context.pool = _Pool()
    for name in context.pool.pool.upstreams:
        for _ in range(6):
            context.pool.tracker.started(name)
            context.pool.tracker.ended(name, failed=True)


@then('a routing choice is still made')
def step_made(context):
    assert context.pool.choose() is not None


@then('without the routing panic threshold there is none')
def step_no_panic(context):
    from pollenstile.routing import _choose

    guard = _choose.is_panic
    _choose.is_panic = lambda members, barred: False
    try:
        assert context.pool.choose() is None
    finally:
        _choose.is_panic = guard


@given('the routing worker "{name}" leaves')
def step_leaves(context, name):
    context.pool.tracker.state(name).leaving = True


@then('no routing choice in {count:d} is "{name}"')
def step_never(context, count, name):
    for _ in range(count):
        assert context.pool.choose().name != name


def _stale():
    pool = _Pool()
    for name in pool.pool.upstreams:
        running = 0 if name == 'u0' else SLOTS
        pool.tracker.reported(name, Load(running, 0))
    return pool


@given('routing load reports that call only "u0" idle')
def step_stale(context):
    context.pool = _stale()


@when('{count:d} routing calls are sent without a new report')
def step_send(context, count):
    context.sent = context.pool.send(count)


@then('no routing worker has more than {most:d} of them')
def step_spread(context, most):
    assert max(context.sent.values()) <= most, context.sent


@then('believing routing reports alone "u0" has all {count:d}')
def step_believed(context, count):
    pool = _stale()
    sent = 0
    for _ in range(count):
        sent += pool.choose().name == 'u0'
    assert sent == count, sent


@given('a routing pool with idle workers')
def step_idle(context):
    context.pool = _Pool()


@then(
    '{count:d} routing calls with one prefix go to one worker, '
    'other prefixes elsewhere',
)
def step_prefix(context, count):
    names = {context.pool.choose(key=12345).name for _ in range(count)}
    assert len(names) == 1, names
    others = {context.pool.choose(key=key).name for key in range(1, 40)}
    assert len(others) > 1, others


@then(
    '{count:d} routing calls with one prefix leave no worker above '
    '{most:g} calls a slot',
)
def step_bound(context, count, most):
    pool = _Pool()
    sent = pool.send(count, key=12345)
    even = count / len(sent) / SLOTS
    assert max(sent.values()) / SLOTS <= max(most, even + 1 / SLOTS), sent


@given('a routing pool with workers in two domains')
def step_domains(context):
    context.pool = _Pool('here', 'there')


@then('the first routing calls stay in the own domain')
def step_own(context):
    for _ in range(2):
        choice = context.pool.choose()
        assert choice.upstream.domain == 'here', choice
        context.pool.tracker.started(choice.name)


@then('{count:d} routing calls use both domains')
def step_both(context, count):
    sent = context.pool.send(count)
    assert min(sent.values()) > 0, sent


@given('a routing pool in which only "{name}" holds the model')
def step_holds(context, name):
    context.pool = _Pool()
    context.holder = name


@then('every routing choice for the model is "{name}"')
def step_holder(context, name):
    for _ in range(50):
        choice = context.pool.choose(holds=context.holder.__eq__)
        assert choice.name == name
