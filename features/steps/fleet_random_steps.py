"""Steps of random faults of the fleet."""

from behave import given, then, when

from features.builders.fleetfaults import FaultRun


@given('a random fleet of {hosts:d} hosts with seed {seed:d}')
def step_random_fleet(context, hosts, seed):
    context.run = FaultRun(hosts, seed)


@when('{steps:d} random faults occur in the random fleet')
def step_faults(context, steps):
    for _ in range(steps):
        context.run.inject_fault()


@when('all faults of the random fleet are cleared for {seconds:d} seconds')
def step_clear_faults(context, seconds):
    context.run.clear_faults(seconds)


@then('no host of the random fleet ever returned to a lower version')
def step_no_revert(context):
    assert context.run.number, 'no configuration was applied'
    assert not context.run.reverted, context.run.reverted


@then('no reachable host of the random fleet gave work 3 s after leaving')
def step_no_late(context):
    assert not context.run.late, context.run.late[:5]


@then('the hosts of the random fleet agree on everything')
def step_agree(context):
    run = context.run
    world = run.world
    version = world.store.objects.found('config', 'manifest').version
    assert world.all_have(version), (version, world.versions())
    tables = {host.table.total() for host in world.hosts.values()}
    assert len(tables) == 1, len(tables)
    for host in world.hosts.values():
        assert host.fleet.hosts.live.keys() == world.hosts.keys()
    for name, upstream in world.upstreams.items():
        dispatching_hosts = [] if upstream.leaving else sorted(world.hosts)
        assert sorted(world.dispatching_hosts(name)) == dispatching_hosts, (
            name,
            dispatching_hosts,
        )
    assert not run.late, run.late[:5]
    assert not run.reverted
