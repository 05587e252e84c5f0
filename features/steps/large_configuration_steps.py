"""Steps for hosts with large configurations."""

from dataclasses import replace
from random import Random

from behave import given, then, when

from features.builders.relay import large_config
from pollenstile.peer import apply_patch, patch_between

_BYTES_PER_MBIT = 125_000
_STEP_SECONDS = 0.05


@given('links of {rate:g} Mbit/s')
def given_links(context, rate):
    for host in context.fleet.hosts.values():
        host.link.rate = rate * _BYTES_PER_MBIT


@when('a configuration of {routes:d} routes is written')
def when_large(context, routes):
    context.version = 2
    for host in context.fleet.hosts.values():
        host.link.carried = 0
        host.calls.calls = 0
    context.fleet.write('config', 'main', large_config(2, routes))


@when(
    '{seconds:g} seconds of relaying pass, and the age of each verification is recorded'
)
def when_ages_recorded(context, seconds):
    context.oldest = 0
    for _ in range(round(seconds / _STEP_SECONDS)):
        context.fleet.advance(_STEP_SECONDS)
        ages = [
            host.configuration.age() for host in context.fleet.hosts.values()
        ]
        context.oldest = max(context.oldest, *ages)


@when('the large configuration changes and {seconds:g} seconds pass')
def when_changes(context, seconds):
    context.version += 1
    context.fleet.update_sizes.clear()
    context.fleet.write('config', 'main', large_config(context.version))
    context.fleet.advance(seconds)


@when('the large configuration changes {count:d} times, {gap:g} seconds apart')
def when_rapid_changes(context, count, gap):
    for host in context.fleet.hosts.values():
        host.link.largest = 0
    for _ in range(count):
        context.version += 1
        context.fleet.write('config', 'main', large_config(context.version))
        context.fleet.advance(gap)


@when('the configuration text of "{name}" is corrupted')
def when_corrupted(context, name):
    configuration = context.fleet.hosts[name].configuration
    configuration.text = configuration.text[: len(configuration.text) // 2]


@when('an invalid configuration is written and {seconds:g} seconds pass')
def when_invalid(context, seconds):
    context.fleet.write('config', 'main', 'nonsense')
    context.fleet.advance(seconds)


@when('the configuration is deleted and {seconds:g} seconds pass')
def when_deleted(context, seconds):
    context.fleet.remove('config', 'main')
    context.fleet.advance(seconds)


@when(
    'the store compacts its history, and {seconds:g} seconds of relaying pass'
)
def when_compacted(context, seconds):
    objects = context.fleet.store.objects
    context.fleet.write('other', 'a', 1)
    objects.compact()
    context.fleet.advance(seconds)


@when('all watches are answered with old changes for {seconds:g} seconds')
def when_lagging(context, seconds):
    context.fleet.write('config', 'main', 1)
    context.fleet.advance(1)
    context.fleet.store.calls.clear()
    context.fleet.store.stale_watches = 1000
    context.fleet.advance(seconds)


@then('"{name}" has sent a full read again, and trusts keys by that read only')
def then_full_read(context, name):
    assert context.fleet.store.calls['list'] >= 1
    assert context.fleet.hosts[name].configuration.is_verified()


@then("the links carried at most {most:g} MB of the store's answers each")
def then_carried(context, most):
    for host in context.fleet.hosts.values():
        carried = host.link.carried
        assert carried <= most * 1e6, (host.name, carried)


@then(
    'the link of "{name}" carried at most {most:g} kB of the store\'s answers'
)
def then_link_carried(context, name, most):
    carried = context.fleet.hosts[name].link.carried
    assert carried <= most * 1e3, carried


@then('no answer of the store had over {most:g} kB')
def then_largest(context, most):
    for host in context.fleet.hosts.values():
        assert host.link.largest <= most * 1e3, (host.name, host.link.largest)


@then('no update to a follower in them had over {most:d} bytes')
def then_updates(context, most):
    assert max(context.fleet.update_sizes) <= most, max(
        context.fleet.update_sizes
    )


def _with_added(rng, rows):
    return [*rows, f'{{"row":{rng.random()}}}']


def _with_duplicates(rng, rows):
    return rng.choices(rows, k=len(rows)) if rows else rows


def _without_some(rng, rows):
    return [row for row in rows if rng.randrange(5)]


def _shuffled(rng, rows):
    return rng.sample(rows, len(rows))


_CHANGES = (_with_added, _with_duplicates, _without_some, _shuffled)


def _changed_rows(rng, rows):
    for _ in range(rng.randrange(5)):
        rows = rng.choice(_CHANGES)(rng, rows)
    return rows


@given('{count:d} pairs of texts that differ by rows at random')
def given_texts(context, count):
    rng = Random(count)
    context.rng = rng
    context.texts = []
    for _ in range(count):
        rows = [
            f'{{"row":{rng.randrange(9)}}}' for _ in range(rng.randrange(9))
        ]
        newer = _changed_rows(rng, rows)
        context.texts.append((','.join(rows), ','.join(newer)))


@then('each patch produces the newer text from the older one')
def then_patched(context):
    for old, new in context.texts:
        assert apply_patch(old, patch_between(old, new)) == new, (old, new)


@then('no corrupted patch produces a text other than the newer one')
def then_not_corrupted(context):
    for old, new in context.texts:
        patch = patch_between(old, new)
        position = context.rng.randrange(len(patch.middle))
        middle = bytearray(patch.middle)
        middle[position] ^= 1 << context.rng.randrange(8)
        corrupted = replace(patch, middle=bytes(middle))
        assert apply_patch(old, corrupted) in {None, new}, (old, new)
        moved = replace(patch, prefix=patch.prefix + 1)
        assert apply_patch(old, moved) in {None, new}, (old, new)
