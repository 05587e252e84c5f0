"""Steps of claims; a scenario can be replayed with one guard disabled."""

from behave import given, then, when

from features.builders.claims import WINDOW, ClaimsWorld
from features.builders.claims_guards import without
from features.builders.loop import collect_result
from pollenstile.claims import Held, Record, Segment
from pollenstile.claims._digests import key_digest, object_name


def _act(context, action):
    """Run an action now, and again whenever the scenario is replayed."""
    context.actions.append(action)
    action(context.world)


def _replay_without(context, guard):
    world = ClaimsWorld(len(context.world.hosts))
    with without(guard):
        for action in context.actions:
            action(world)
    return world


def _outcome(context, label):
    answers = context.world.answers[label]
    assert len(answers) == 1, (label, answers)
    return answers[0]


@given('claims hosts "{names}"')
def step_hosts(context, names):
    context.world = ClaimsWorld(len(names.split(', ')))
    context.actions = []


@given('the claims upstream is frozen')
def step_frozen(context):
    _act(context, lambda world: _set(world.booking.faults, 'frozen', True))


@given('the claims upstream refuses')
def step_refuses(context):
    _act(context, lambda world: _set(world.booking.faults, 'refusing', True))


@when('the claims upstream recovers')
def step_recovers(context):
    def recover(world):
        world.booking.faults.frozen = False
        world.booking.faults.refusing = False

    _act(context, recover)


def _set(thing, name, value):
    setattr(thing, name, value)


@given('the claims store is down')
@when('the claims store goes down')
def step_down(context):
    _act(context, lambda world: _set(world.store, 'down', True))


@when('the claims store is up')
def step_up(context):
    _act(context, lambda world: _set(world.store, 'down', False))


@given('the claims store takes {seconds:f} seconds for each call')
@when('the claims store takes {seconds:f} seconds for each call')
def step_latency(context, seconds):
    _act(context, lambda world: _set(world.store, 'latency', seconds))


@given('a claims log of {total:d} segments of which {expired:d} have expired')
def step_long_log(context, total, expired):
    def write(world):
        now = world.clock.seconds()
        for number in range(1, total + 1):
            left = -WINDOW if number <= expired else WINDOW
            record = Record(
                'claim',
                f'key-{number}',
                f'old-{number}',
                'c',
                'old',
                now + left,
            )
            segment = Segment(f'b-{number}', now + left - WINDOW, [record])
            world.store_segment(number, segment)

    _act(context, write)


@when('the claims segments {first:d} to {last:d} are deleted')
def step_delete(context, first, last):
    def delete(world):
        for number in range(first, last + 1):
            name = object_name(0, number)
            world.store.objects.delete('claims', name, None)

    _act(context, delete)


def _asks(context, label, key, host, **named):
    def ask(world):
        world.copies.append(world.store.objects.copy())
        world.answers[label] = world.hosts[host].ask(key, **named)
        world.labels[label] = list(world.requests)[-1]

    _act(context, ask)


@when('claims request "{label}" with key "{key}" reaches "{host}"')
def step_ask(context, label, key, host):
    _asks(context, label, key, host)


@when(
    'claims request "{label}" with key "{key}" and {minutes:d} minutes '
    'reaches "{host}"',
)
def step_ask_other(context, label, key, minutes, host):
    _asks(context, label, key, host, minutes=minutes)


@when(
    'team "{team}" sends claims request "{label}" with key "{key}" to "{host}"',
)
def step_ask_team(context, label, key, team, host):
    _asks(context, label, key, host, team=team)


@when(
    'pipeline "{pipeline}" gets claims request "{label}" with key "{key}" '
    'at "{host}"',
)
def step_ask_pipeline(context, label, key, pipeline, host):
    _asks(context, label, key, host, pipeline=pipeline)


@when('{total:d} claims keys reach hosts in turn, {seconds:d} seconds apart')
def step_many(context, total, seconds):
    def ask_all(world):
        names = sorted(world.hosts)
        for number in range(total):
            world.hosts[names[number % len(names)]].ask(f'many-{number}')
            world.advance(seconds)

    context.many = total
    _act(context, ask_all)


@when('{seconds:g} claims seconds pass')
def step_pass(context, seconds):
    _act(context, lambda world: world.advance(seconds))


@when('the claims store returns to before it')
def step_returns(context):
    _act(context, lambda world: world.return_to(-1))


@when('the claims store returns to before the last request but one')
def step_returns_further(context):
    _act(context, lambda world: world.return_to(-2))


@when('claims host "{host}" crashes')
def step_crashes(context, host):
    _act(context, lambda world: world.hosts[host].kill())


@when('claims host "{host}" is replaced')
def step_replaced(context, host):
    def replace(world):
        world.hosts[host].kill()
        world.start(host)

    _act(context, replace)


@when('claims host "{host}" is paused')
def step_paused(context, host):
    _act(context, lambda world: _set(world.hosts[host].clock, 'paused', True))


@when('claims host "{host}" resumes')
def step_resumes(context, host):
    _act(context, lambda world: world.hosts[host].clock.resume())


@when('claims host "{host}" is cut off from its peers')
def step_cut(context, host):
    _act(context, lambda world: world.cut.add(host))


@when('all claims hosts reach each other again')
def step_healed(context):
    _act(context, lambda world: world.cut.clear())


@when('claims host "{host}" is cut off from the store')
def step_cut_store(context, host):
    _act(context, lambda world: _set(world.hosts[host].store_link, 'cut', True))


@when('the claims writes of "{host}" fail with "{faults}"')
def step_faults(context, host, faults):
    def fail(world):
        world.store.timeout = 0.5
        world.hosts[host].store_link.faults = faults.split(', ')

    _act(context, fail)


@when('claims host "{host}" forwards to "{owner}" and loses its answers')
def step_forwards(context, host, owner):
    def forward(world):
        world.hosts[host].forward(lambda: [owner], lambda: True)

    _act(context, forward)


def _submit_delayed(world, host, key):
    entry = world.hosts[host]
    entry.store_link.faults = ['held']
    record = Record(
        'claim',
        key_digest('salons', 'log-minutes', key),
        f'{host}-held',
        'c',
        host,
        world.clock.seconds() + 100000,
    )
    pending = entry.claims.shard_log(record.key).submit(record)
    world.answers['held'] = collect_result(pending.done)


@when(
    'the claims log of "{host}" is given key "{key}" and its write is delayed'
)
def step_delayed(context, host, key):
    _act(context, lambda world: _submit_delayed(world, host, key))
    _act(context, lambda world: world.advance(0.1))


@when('the delayed claims write of "{host}" arrives')
def step_delayed_arrives(context, host):
    _act(context, lambda world: world.hosts[host].store_link.deliver_delayed())


@then('the claims log of "{host}" did not claim key "{key}"')
def step_not_claimed(context, host, key):
    outcome = _outcome(context, 'held')
    assert not isinstance(outcome, Held), outcome


@then('without "{guard}" the claims log of "{host}" would claim it')
def step_would_claim(context, guard, host):
    world = _replay_without(context, guard)
    outcome = world.answers['held'][0]
    assert outcome.record.ident == f'{host}-held', outcome


@then('the claims log no longer has segment {number:d}')
def step_segment_deleted(context, number):
    assert object_name(0, number) not in context.world.objects()


@then('the claims log has at most {most:d} segments')
def step_few_segments(context, most):
    assert 0 < len(context.world.objects()) <= most, context.world.objects()


@then('the claims log has key "{key}" {times:d} time')
@then('the claims log has key "{key}" {times:d} times')
def step_in_log(context, key, times):
    digest = key_digest('salons', 'log-minutes', key)
    found = [
        record
        for record in context.world.records()
        if record.key == digest and record.step == 'claim'
    ]
    assert len(found) == times, found


@then('claims request "{label}" has no outcome')
def step_no_outcome(context, label):
    assert not context.world.answers[label]


@then('claims request "{label}" ends as "{tag}"')
def step_ends(context, label, tag):
    outcome = _outcome(context, label)
    assert outcome.tag == tag, outcome


@then('claims request "{label}" ends as "{tag}", status {status:d}')
def step_ends_status(context, label, tag, status):
    outcome = _outcome(context, label)
    assert (outcome.tag, outcome.status) == (tag, status), outcome


@then('claims request "{label}" gets a time to retry after')
def step_retry_after(context, label):
    assert _outcome(context, label).retry_after >= 1


@then(
    'claims request "{label}" ends as "{tag}" from "{peer}", '
    'to be retried after {seconds:d} s',
)
def step_ends_from(context, label, tag, peer, seconds):
    outcome = _outcome(context, label)
    found = (outcome.tag, outcome.peer, outcome.retry_after)
    assert found == (tag, peer, seconds), outcome


@then('claims requests "{labels}" end with the answer to "{label}"')
def step_same_answer(context, labels, label):
    expected = context.world.labels[label]
    for repeat in labels.split(', '):
        outcome = _outcome(context, repeat)
        assert outcome.tag == 'answered', (repeat, outcome)
        assert outcome.output['for'] == expected, (repeat, outcome)


@then('claims key "{key}" ran {times:d} time')
@then('claims key "{key}" ran {times:d} times')
def step_ran(context, key, times):
    assert context.world.count_runs(key) == times, context.world.booking.keys
    assert not context.world.broken_invariants()


@then('each claims key ran {times:d} time')
def step_each_ran(context, times):
    for number in range(context.many):
        runs = context.world.count_runs(f'many-{number}')
        assert runs == times, (number, runs)


@then('claims key "{key}" would run {times:d} times without "{guard}"')
def step_would_run(context, key, times, guard):
    world = _replay_without(context, guard)
    assert world.count_runs(key) == times, (world.booking.keys, world.answers)
