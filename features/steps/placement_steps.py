"""Steps of placement orders, leases and fencing."""

from behave import given, then, use_step_matcher, when
from twisted.internet.defer import Deferred

from features.builders.loop import collect_result
from features.builders.placement import (
    DOMAIN,
    World,
    manifest_of,
    set_held_model,
    succeed_at_once,
)
from pollenstile.manifest import Model
from pollenstile.placement import LeaseTiming, _enginesteps, _leasemanager
from pollenstile.platform import no_pause

use_step_matcher('parse')


def _split_names(text):
    return text.split(', ')


def _world(context, engines='e1', models='draft', fencing='ignored'):
    context.world = World(_split_names(engines), _split_names(models), fencing)
    return context.world


def _patch(context, module, name, function):
    before = getattr(module, name)
    setattr(module, name, function)
    context.add_cleanup(setattr, module, name, before)


# Leases.


@given('placement hosts "{names}" that start together')
def step_together(context, names):
    world = _world(context)
    world.manifest = None
    for name in _split_names(names):
        world.start_host(name)


@given('the placement store answers after {seconds:g} seconds')
def step_latency(context, seconds):
    context.world.store.latency = seconds


@given('placement leases with a margin of {margin:g} seconds')
def step_margin(context, margin):
    context.lease_timing = LeaseTiming(margin=margin)


@given('a placement holder "{first}" and a follower "{second}"')
def step_holder(context, first, second):
    world = _world(context)
    world.timing = getattr(context, 'lease_timing', world.timing)
    step_one_holder(context, first)
    world.start_host(second)
    world.advance(3)


@given(
    'placement host "{name}" reads the lease every second, on a clock at rate {rate:g}'
)
def step_rate(context, name, rate):
    context.world.hosts[name].rate = rate
    context.world.hosts[name].lease_manager.follower_read_interval = 0.0


@given('placement terms count from the {moment}')
def step_moment(context, moment):
    if moment == 'sending':
        return
    apply_write_outcome = _leasemanager.apply_write_outcome
    boot_seconds = context.world.hosts['a'].boot_seconds

    def count_from_answer(lease, action, outcome, sent_at):
        apply_write_outcome(lease, action, outcome, boot_seconds())

    _patch(context, _leasemanager, 'apply_write_outcome', count_from_answer)


@when('placement host "{name}" dies')
def step_die(context, name):
    host = context.world.hosts.pop(name)
    context.old_fence = host.fence


@when('placement host "{name}" leaves')
def step_leave(context, name):
    host = context.world.hosts[name]
    context.old_fence = host.fence
    collect_result(host.placement.leave())


@given('the placement store returns later to now')
def step_copy(context):
    context.copy = _world(context).store.objects.copy()


@when('the placement store returns from its copy')
def step_return(context):
    context.world.store.return_from(context.copy)


@when('placement host "{name}" loses the store')
def step_loses(context, name):
    host = context.world.hosts[name]
    context.old_fence = host.fence
    host.store.cut = True


@when('placement host "{name}" is cut off from the store')
def step_cut(context, name):
    host = context.world.hosts[name]
    # The remaining term is longest just after a renewal.
    written = host.lease_manager.lease.seen_version
    context.world.advance_until(
        lambda: host.lease_manager.lease.seen_version != written
    )
    context.world.advance(1)
    host.store.cut = True


@when('the placement lease is deleted while "{name}" is cut off')
def step_delete(context, name):
    step_cut(context, name)
    context.old_fence = context.world.hosts[name].fence
    collect_result(context.world.store.delete('leases', DOMAIN))


@when('the answers of the next {count:d} placement writes are lost')
def step_lose(context, count):
    context.old_fence = context.world.hosts['a'].fence
    context.world.store.lose_answers = count


@when(
    'the answer to a placement renewal of "{name}" is {seconds:d} seconds late'
)
def step_late_doubt(context, name, seconds):
    world = context.world
    host = world.hosts[name]
    host.store.cut_on_lease_write = True
    context.world.advance_until(lambda: host.store.cut)
    world.advance(seconds - 1)
    host.store.cut = False
    context.world.advance_until(lambda: not host.lease_manager.busy)
    host.store.cut = True


@when('a placement renewal of "{name}" stays in doubt for {seconds:d} seconds')
def step_in_doubt(context, name, seconds):
    host = context.world.hosts[name]
    host.lease_manager.pause = no_pause
    context.old_fence = host.fence
    host.store.cut_on_lease_write = True
    context.world.advance_until(lambda: host.store.cut)
    context.world.advance(seconds)
    host.store.cut_on_lease_write = False
    host.store.cut = False


@when('the placement lease is deleted')
def step_deleted(context):
    collect_result(context.world.store.delete('leases', DOMAIN))


@when('placement host "{name}" is paused for {seconds:d} seconds')
def step_pause(context, name, seconds):
    host = context.world.hosts[name]
    context.old_fence = host.fence
    host.paused = True
    context.world.advance(seconds)
    host.paused = False
    context.world.advance(3)


@when('the placement store is down for {seconds:d} seconds')
def step_outage(context, seconds):
    context.world.store.down = True
    context.world.advance(seconds)
    assert not context.world.holders()
    context.world.store.down = False


@then('exactly {count:d} placement host holds the lease')
@then('exactly {count:d} placement hosts hold the lease')
def step_count(context, count):
    assert len(context.world.holders()) == count, context.world.holders()


@then('the placement lease was never held by two hosts at once')
def step_once(context):
    assert not context.world.overlaps
    fences = [fence for fence, _name in context.world.fences]
    assert len(set(fences)) == len(fences), context.world.fences


@then('the placement lease was held by two hosts at once: {answer}')
def step_twice(context, answer):
    assert (context.world.overlaps > 0) == (answer == 'yes')


@then(
    'placement host "{name}" holds the lease with a higher fence than "a" had'
)
def step_successor(context, name):
    assert context.world.holders() == [name], context.world.holders()
    assert context.world.hosts[name].fence > context.old_fence


@then('placement host "{name}" still holds the lease with its fence')
def step_still(context, name):
    assert context.world.holders() == [name]
    assert context.world.hosts[name].fence == context.old_fence
    assert not context.world.store.lose_answers


# Engines, demand, weights.


@given('placement engines "{engines}" for models "{models}"')
def step_engines(context, engines, models):
    _world(context, engines, models)


@given(
    'placement engines "{engines}" for models "{models}" that {kind} fencing'
)
def step_fencing(context, engines, models, kind):
    fencing = 'checked' if kind == 'check' else 'ignored'
    _world(context, engines, models, fencing)


@given('a placement host "{name}" that holds the lease')
def step_one_holder(context, name):
    host = context.world.start_host(name)
    manifest = host.placer.manifest
    # The first round must not run before the scenario is set up.
    host.placer.manifest = None
    context.world.advance_until(lambda: host.lease_manager.holds())
    host.placer.manifest = manifest


@given('a placement follower "{name}"')
def step_follower(context, name):
    context.world.start_host(name)
    context.world.advance(2)


def _host(context):
    return next(iter(context.world.hosts.values()))


def _hold(context, name, model, version='1'):
    engine = context.world.engines[name]
    for loading in tuple(engine.timers):
        engine._stop_load(loading)
    set_held_model(engine, model, version)
    return engine


@given('placement engine "{name}" holds "{model}"')
def step_holds(context, name, model):
    _hold(context, name, model)


@given(
    'placement engine "{name}" holds "{model}" and has {count:d} calls in flight'
)
def step_calls(context, name, model, count):
    engine = _hold(context, name, model)
    engine.running = lambda: {model: count} if count else {}
    context.world.advance(3)


@given('every placement engine holds "{model}"')
def step_all_hold(context, model):
    for name in context.world.engines:
        _hold(context, name, model)
    context.world.advance(3)


@given(
    'placement demand of "{first}" at {first_rate:g} and "{second}" at {second_rate:g}'
)
@when(
    'placement demand turns to "{first}" at {first_rate:g} and "{second}" at {second_rate:g}'
)
def step_demand(context, first, first_rate, second, second_rate):
    context.world.rates = {first: first_rate, second: second_rate}


@given('the placement weight store refuses all loads')
def step_refuse(context):
    context.world.weights.tokens = 0
    context.world.weights.rate = 0.0001


@when('the placement weight store allows {rate:g} load a second')
def step_allow(context, rate):
    for host in context.world.hosts.values():
        # Skips the retry time that the weight store set.
        host.placer.loads.not_before = 0.0
    context.world.weights.rate = rate


@when('the placement manifest changes to version "{version}"')
def step_version(context, version):
    for name in context.world.hosts:
        step_version_at(context, version, name)


@when('the placement manifest changes to version "{version}" at "{name}" alone')
def step_version_at(context, version, name):
    world = context.world
    upstreams = world.manifest.pools['engines'].upstreams
    world.hosts[name].placer.manifest = manifest_of(
        tuple(world.engines),
        tuple(world.manifest.models),
        next(iter(upstreams.values())).fencing,
        version=version,
    )


@when('the placement manifest adds the adapter "{adapter}" to "{model}"')
def step_adapter(context, adapter, model):
    context.world.manifest.models[model] = Model('1', 8, [adapter])


@when('{seconds:d} placement seconds pass')
def step_pass(context, seconds):
    context.most_loading = getattr(context, 'most_loading', 0)
    for _ in range(seconds):
        context.world.advance(1)
        loading = context.world.loading()
        context.most_loading = max(context.most_loading, loading)


@when(
    '{seconds:d} placement seconds pass, in which "{first}" and "{second}" are always held'
)
def step_pass_held(context, seconds, first, second):
    for _ in range(seconds):
        context.world.advance(1)
        assert context.world.serving(first), first
        assert context.world.serving(second), second


@when(
    '{seconds:d} placement seconds pass, in which {count:d} engines hold "{model}"'
)
def step_pass_count(context, seconds, count, model):
    for _ in range(seconds):
        context.world.advance(1)
        assert len(context.world.serving(model)) >= count


@when('the first {count:d} placement engines die while they load')
def step_die_loading(context, count):
    world = context.world
    context.world.advance_until(lambda: world.loading() >= count)
    for name in tuple(world.engines)[:count]:
        assert world.engines[name].loading
        world.orders.down.add(name)


@when('the calls at placement engine "{name}" end')
def step_calls_end(context, name):
    context.world.engines[name].running = dict


@when('placement engine "{name}" loads, and restarts')
def step_restart(context, name):
    engine = context.world.engines[name]
    context.world.advance_until(lambda: engine.loading)
    context.world.advance(2)
    assert engine.loading
    engine.restart()


@when('the answers of the next {count:d} placement orders are lost')
def step_lose_orders(context, count):
    context.world.orders.lose_answers = count


@when('the next {count:d} placement orders are lost in the network')
def step_drop_orders(context, count):
    context.world.orders.lose_requests = count


@when('the placement store goes down')
def step_down(context):
    context.world.store.down = True
    context.world.advance(15)


@when('the placement store is up again')
def step_up(context):
    context.world.store.down = False


@when('the placement engine that holds "{model}" is leaving')
def step_engine_leaving(context, model):
    world = context.world
    context.leaving = world.serving(model)[0]
    context.orders_before = len(world.engines[context.leaving].orders)
    _host(context).placer.usable = lambda name: name != context.leaving


@when('the placement engine that holds "{model}" can\'t be reached')
def step_unreachable(context, model):
    for name, engine in context.world.engines.items():
        if model in engine.models:
            context.world.orders.down.add(name)


@then('the placement engines hold "{expected}" in some order')
def step_hold(context, expected):
    held = [context.world.held_models(name) for name in context.world.engines]
    assert sorted(held) == _split_names(expected), held
    assert not context.world.orders.lose_requests


@then('placement engine "{name}" was last ordered to hold "{text}"')
def step_is_to_hold(context, name, text):
    last = context.world.engines[name].orders[-1]
    models = [f'{model}:{each.version}' for model, each in last.models.items()]
    assert models == [text], models


@then('{count:d} placement engines hold "{model}"')
def step_hold_count(context, count, model):
    holding = context.world.serving(model)
    assert len(holding) == count, holding


@then('{count:d} reachable placement engines hold "{model}"')
def step_hold_reachable(context, count, model):
    down = context.world.orders.down
    holding = [
        name for name in context.world.serving(model) if name not in down
    ]
    assert len(holding) == count, holding


@then('the leaving placement engine got no order')
def step_no_order(context):
    engine = context.world.engines[context.leaving]
    assert len(engine.orders) == context.orders_before


@then('new work for "{model}" goes only to placement engines that hold it')
def step_only(context, model):
    for host in context.world.hosts.values():
        for name, engine in context.world.engines.items():
            takes = host.placement.holds(name, model)
            assert takes == (model in engine.models), name


@then('new work for "{model}" goes to {count:d} placement engines')
def step_work(context, model, count):
    assert len(context.world.serving(model)) == count


@then('placement engine "{name}" holds "{text}" and gets {kind} work')
def step_engine(context, name, text, kind):
    held = context.world.held_models(name)
    assert held == text, held
    model = text.partition(':')[0]
    assert (name in context.world.serving(model)) == (kind == 'new'), kind


@then('placement engine "{name}" holds the adapter "{adapter}" of "{model}"')
def step_has_adapter(context, name, adapter, model):
    held = context.world.engines[name].models
    assert adapter in held[model].adapters, held


@then('placement engine "{name}" began {count:d} loads')
def step_loads(context, name, count):
    assert not context.world.orders.lose_answers
    assert context.world.engines[name].loaded == count


@then('the placement weight store gave {count:d} tickets')
def step_tickets(context, count):
    assert len(context.world.weights.issued) == count


@then('placement host "{name}" asked the weight store {count:d} times')
def step_asked(context, name, count):
    assert context.world.hosts[name].ticket_requests == count


@then('no placement engine was loaded')
def step_none_loaded(context):
    assert not any(each.loaded for each in context.world.engines.values())


@then('at most {count:d} placement engines loaded at the same time')
def step_most_loading(context, count):
    assert 0 < context.most_loading <= count, context.most_loading


@then('{count:d} placement engine got no new work before its swap')
@then('{count:d} placement engines got no new work before their swap')
def step_drained(context, count):
    times = context.world.drain_times
    # The notice of 2 s, minus the delay of a watch and of one step.
    assert len(times) == count, times
    assert min(times) * 4 >= 5, times


@then('placement host "{name}" logged "{event}"')
def step_logged(context, name, event):
    assert context.world.hosts[name].logged(event)


@then('placement host "{name}" did not log "{event}"')
def step_not_logged(context, name, event):
    assert not context.world.hosts[name].logged(event)


# Fencing.


@given('placement host "{name}" has its term measured by the {clock} clock')
def step_clock(context, name, clock):
    host = context.world.hosts[name]
    if clock == 'monotonic':
        host.lease_manager.suspend_clock = host.clock.seconds


@given('placement host "{name}" works without "{guard}"')
def step_without(context, name, guard):
    if guard == 'intents':
        _patch(
            context, _enginesteps, '_write_intent', lambda *_: succeed_at_once()
        )
    if guard == 'announcements':
        _patch(context, _enginesteps, '_needs_fence', lambda *_: False)


@given('placement engine "{name}" has no memory')
def step_no_memory(context, name):
    context.world.engines[name].memory = 0


@when('the placement state reads are counted for {seconds:d} seconds')
def step_count_looks(context, seconds):
    context.world.orders.state_reads = 0
    context.world.advance(seconds)


@then('from {least:d} to {most:d} placement state reads were counted')
def step_looks(context, least, most):
    assert least <= context.world.orders.state_reads <= most


@then('placement engine "{name}" refused from {least:d} to {most:d} orders')
def step_refused_some(context, name, least, most):
    refused = len(context.world.engines[name].refused)
    assert least <= refused <= most, refused


@when('placement engine "{name}" restarts')
def step_restarts(context, name):
    context.world.engines[name].restart()


@given('placement engine "{name}" has accepted fence {fence:d}')
def step_taken(context, name, fence):
    _hold(context, name, 'draft').fence = fence


def _advance_to_takeover(context):
    context.world.advance_until(lambda: context.world.holders() == ['b'])
    context.world.advance(3)


@when('placement host "{name}" is paused before its order, and "b" takes over')
def step_paused_at_order(context, name):
    world = context.world
    host = world.hosts[name]
    host.ticket_gate = Deferred()
    world.engines['e1'].models = {}
    context.world.advance_until(lambda: host.placer.loads.requesting)
    world.engines['e1'].models = {}
    for other in world.hosts.values():
        other.placer.may_drain = lambda *_: False
    host.paused = True
    world.weights.down = True
    context.orders_before = len(world.accepted_orders(name))
    context.world.advance_until(lambda: world.hosts['b'].fence > 0)
    world.advance(3)


@when('placement host "{name}" resumes')
def step_go_on(context, name):
    host = context.world.hosts[name]
    host.paused = False
    host.ticket_gate.callback(None)


@then('placement engines accepted {count:d} orders of host "{name}"')
def step_took(context, count, name):
    took = len(context.world.accepted_orders(name)) - context.orders_before
    assert took == count, took


@when('an order of placement host "{name}" is delayed, and "b" takes over')
def step_held_order(context, name):
    world = context.world
    _hold(context, 'e1', 'other')
    held = Deferred()
    world.orders.hold = held
    sent = world.hosts[name].logged('order-sent')
    context.world.advance_until(
        lambda: world.hosts[name].logged('order-sent') != sent
    )
    context.delayed_orders = held
    world.orders.hold = None
    world.hosts[name].store.cut = True
    _advance_to_takeover(context)


@when('the delayed placement order arrives')
def step_arrives(context):
    context.delayed_orders.callback(None)


@then('placement engine "{name}" refused {count:d} orders')
def step_refused(context, name, count):
    engine = context.world.engines[name]
    assert len(engine.refused) == count, engine.refused
