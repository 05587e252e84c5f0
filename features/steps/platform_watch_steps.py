"""Steps for the watch loop of the platform client."""

from behave import given, then, when

from features.builders.loop import advance_in_steps, collect_result
from features.builders.platform import SplitStore, World
from pollenstile.standin.objectapi import MemoryStore


def _put(store, name, writer):
    collect_result(store.put('config', name, {'writer': writer}))


@given('a platform watch on a store with the manifest of "{writer}"')
def step_watch(context, writer):
    context.world = World()
    _put(context.world.store, 'manifest', writer)
    context.watch = context.world.start_watch()


@given('watch calls of the platform store get no response')
def step_silent(context):
    context.world.store.silent_watches = True


@given('watch calls of the platform store report no changes')
def step_no_changes(context):
    context.world.store.empty_watches = True


@given('the watched platform store has an extra object')
def step_extra(context):
    _put(context.world.store, 'extra', 'extra')
    advance_in_steps(context.world.clock, 1)


@given('a stale replica of the watched platform store')
def step_replica(context):
    context.replica = MemoryStore(context.world.clock)
    _put(context.replica, 'manifest', 'first')


@given('the platform replica and the watched store have an extra object')
def step_extra_in_both(context):
    _put(context.replica, 'extra', 'extra')
    step_extra(context)


@when('the extra object is deleted from the watched platform store')
def step_delete_extra(context):
    collect_result(context.world.store.delete('config', 'extra'))


@given('the callback of the platform watch fails on "{writer}"')
def step_failing_callback(context, writer):
    callback = context.watch.callback

    def failing(change):
        if change.value['writer'] == writer:
            raise ValueError(writer)
        callback(change)

    context.watch.callback = failing


@given('{count:d} further platform watches')
def step_more_watches(context, count):
    for _ in range(count):
        context.world.start_watch()


@when('the manifest of "{writer}" is put on the watched platform store')
def step_change(context, writer):
    _put(context.world.store, 'manifest', writer)


@when('watch calls of the platform store work again')
def step_work_again(context):
    assert len(context.world.recorder.changes) == 1
    context.world.store.silent_watches = False


@when('the platform store is down for {seconds:d} seconds')
def step_outage(context, seconds):
    context.world.store.down = True
    advance_in_steps(context.world.clock, seconds)
    context.world.store.down = False


@when('the platform store is down for {seconds:d} seconds and compacts changes')
def step_outage_compacts(context, seconds):
    store = context.world.store
    store.down = True
    advance_in_steps(context.world.clock, seconds)
    store.objects.delete('config', 'extra', None)
    store.objects.put('config', 'manifest', b'{"writer":"second"}', None)
    store.objects.compact()
    store.down = False


@when('the next {count:d} platform watches are answered with old events')
def step_stale(context, count):
    context.world.store.stale_watches = count


@when('the replica answers the platform lists for {seconds:d} seconds')
def step_old_lists(context, seconds):
    context.watch.store = SplitStore(context.replica, context.world.store)
    advance_in_steps(context.world.clock, seconds)
    assert context.replica.calls['list']


@when('the platform watch is stopped')
def step_stop(context):
    context.watch.stop()


@then('the platform watch reported the writers "{writers}"')
def step_reported(context, writers):
    reported = [
        change.value['writer'] if change.value else 'gone'
        for change in context.world.recorder.changes
    ]
    assert reported == writers.split(', '), reported
    assert not context.world.store.stale_watches


@then('the watched platform store received at most {count:d} calls')
def step_few_calls(context, count):
    seen = context.world.store.calls.total()
    assert seen <= count, seen


@then('no interval of 10 milliseconds has more than {count:d} platform watches')
def step_spread(context, count):
    world = context.world
    world.clock.advance(0)
    ticks = []
    for _ in range(50):
        before = world.store.calls['watch']
        world.clock.advance(0.01)
        ticks.append(world.store.calls['watch'] - before)
    assert sum(ticks) >= 200, ticks
    assert max(ticks) <= count, ticks


@then('no platform call is pending')
def step_nothing_pending(context):
    assert not context.world.clock.getDelayedCalls()
    assert not context.world.store.waiting
