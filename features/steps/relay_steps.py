"""Steps of hosts of one domain that follow one store reader."""

from types import SimpleNamespace

from behave import given, then, when
from twisted.internet.defer import succeed

from features.builders.loop import collect_result
from features.builders.relay import KIND, RelayFleet, RelayHost
from pollenstile.forward import DRAINED
from pollenstile.platform import Found, Listing

_STEP = 0.05


@given('the hosts "{names}" of one domain')
def given_hosts(context, names):
    context.fleet = RelayFleet(names.split(','))
    for host in context.fleet.hosts.values():
        host.calls.calls = 0


@when('{seconds:g} seconds of relaying pass')
def when_passed(context, seconds):
    context.fleet.advance(seconds)


@when('version {version:d} is written and {seconds:g} seconds pass')
def when_written(context, version, seconds):
    context.fleet.write('config', 'main', version)
    context.fleet.advance(seconds)


@when('the upstream "{name}" is added and "{gone}" is removed')
def when_changed(context, name, gone):
    context.fleet.write(KIND, name, {'state': 'ready'})
    context.fleet.remove(KIND, gone)


def _fail_reader(context, fault):
    reader = context.fleet.hosts['r']
    reader.is_partitioned = fault == 'loses the store'
    reader.frozen = fault == 'freezes'
    reader.gone = fault == 'is gone'


@when('the reader {fault}, and "{name}" is removed {seconds:g} seconds later')
def when_reader_fails(context, fault, name, seconds):
    _fail_reader(context, fault)
    context.fleet.advance(seconds)
    context.fleet.remove(KIND, name)


@when('messages take {seconds:g} seconds in each direction')
def when_slow(context, seconds):
    context.fleet.delay = seconds
    context.fleet.advance(2)


@when(
    '{seconds:g} seconds of relaying pass, and each verification time is'
    " compared with the reader's"
)
def when_compared(context, seconds):
    context.younger = []
    context.oldest = 0
    hosts = context.fleet.hosts
    for _ in range(round(seconds / _STEP)):
        context.fleet.advance(_STEP)
        newest = hosts['r'].configuration.verified_at
        for name in ('s', 't', 'u'):
            verified_at = hosts[name].configuration.verified_at
            if verified_at > newest:
                context.younger.append((name, verified_at, newest))
            age = hosts[name].configuration.age()
            context.oldest = max(context.oldest, age)


@then("no follower's verification time was ever later than the reader's")
def then_none_younger(context):
    assert not context.younger, context.younger[:3]


@then("each follower's proof was at most {seconds:g} seconds old")
def then_young_enough(context, seconds):
    assert context.oldest <= seconds, context.oldest


@when('"{name}" loses the store and {seconds:g} seconds of relaying pass')
def when_parted(context, name, seconds):
    context.fleet.hosts[name].is_partitioned = True
    context.fleet.advance(seconds)


@when('all lose the store and {seconds:g} seconds of relaying pass')
def when_all_parted(context, seconds):
    for host in context.fleet.hosts.values():
        host.is_partitioned = True
    context.fleet.advance(seconds)


@when('"{name}" has read version {version:d} with a newer revision')
def when_read(context, name, version):
    configuration = context.fleet.hosts[name].configuration
    found = Found('config', 'main', configuration.revision + 1, version)
    configuration.apply(found, context.fleet.clock.seconds())


@when('the upstream "{name}" is added as the reader freezes')
def when_frozen(context, name):
    context.fleet.write(KIND, name, {'state': 'ready'})
    context.fleet.hosts['r'].frozen = True


@when('the reader resumes and the upstream "{name}" is added')
def when_woken(context, name):
    context.fleet.hosts['r'].frozen = False
    context.fleet.write(KIND, name, {'state': 'ready'})


@when(
    '"{name}" can not send requests while {count:d} upstreams are added or'
    ' removed'
)
def when_many(context, name, count):
    follower = context.fleet.hosts[name].follower
    ask = follower.ask
    follower.ask = lambda *_: succeed(b'')
    for number in range(count // 2):
        context.fleet.write(KIND, f'n{number}', {'state': 'ready'})
        context.fleet.remove(KIND, f'n{number}')
    follower.ask = ask


@when('"{name}" raises an exception when it applies its next update')
def when_part_fails(context, name):
    configuration = context.fleet.hosts[name].configuration

    def fail_once(update, began):
        context.fleet.hosts[name].follower.configuration = configuration
        raise KeyError(update.source)

    context.fleet.hosts[name].follower.configuration = SimpleNamespace(
        apply_update=fail_once,
        revision=configuration.revision,
    )


@when('"{name}" receives malformed bytes instead of an update')
def when_bytes(context, name):
    follower = context.fleet.hosts[name].follower
    follower.ask = lambda *_: succeed(b'\x00\x01no word')


@then('"{names}" called the store {count:d} times in them')
def then_called(context, names, count):
    for name in names.split(','):
        calls = context.fleet.hosts[name].calls.calls
        assert calls == count, (name, calls)


@then('"{name}" called it {least:d} to {most:d} times')
def then_called_between(context, name, least, most):
    calls = context.fleet.hosts[name].calls.calls
    assert least <= calls <= most, calls


@then('"{names}" have version {version:d}')
def then_version(context, names, version):
    for name in names.split(','):
        table = context.fleet.hosts[name].configuration.table
        assert table.version == version, (name, table.version)


@then('"{names}" know the upstreams "{known}"')
def then_known(context, names, known):
    _check_known(context, names, known.split(','))


@then('"{names}" know the upstreams ""')
def then_none_known(context, names):
    _check_known(context, names, [])


def _check_known(context, names, known):
    for name in names.split(','):
        found = sorted(context.fleet.hosts[name].upstreams)
        assert found == known, (name, found)


@then('the keys of "{name}" are trusted')
def then_trusted(context, name):
    assert context.fleet.hosts[name].configuration.is_verified()


@then('no keys are trusted')
def then_none_trusted(context):
    for host in context.fleet.hosts.values():
        assert not host.configuration.is_verified(), host.name


@then('"{names}" follow "{reader}"')
def then_follow(context, names, reader):
    for name in names.split(','):
        assert context.fleet.hosts[name].follower.following == reader, name


@then('"{name}" reads the store itself')
def then_reads(context, name):
    assert not context.fleet.hosts[name].follower.following


@when('the reader leaves and {seconds:g} seconds of relaying pass')
def when_reader_leaves(context, seconds):
    context.fleet.hosts['r'].gone = True
    context.fleet.advance(seconds)


@when(
    '"{name}" starts, has links {seconds:g} seconds later, and {count:d}'
    ' upstreams are added meanwhile'
)
def when_starts(context, name, seconds, count):
    fleet = context.fleet
    fleet.links_at = fleet.clock.seconds() + seconds
    fleet.hosts[name] = RelayHost(fleet, name)
    for number in range(count):
        fleet.write(KIND, f'n{number}', {'state': 'ready'})
        fleet.advance(seconds / count)
    fleet.advance(2.0)


@then('"{name}" has called the store at most {most:d} times')
def then_called_at_most(context, name, most):
    calls = context.fleet.hosts[name].calls.calls
    assert calls <= most, calls


@then('"{name}" knows {count:d} upstreams')
def then_knows(context, name, count):
    known = context.fleet.hosts[name].upstreams
    assert len(known) == count, known


@then('at most {most:d} hosts have called the store')
def then_hosts_called(context, most):
    called = [
        name
        for name, host in context.fleet.hosts.items()
        if host.calls.calls > 0
    ]
    assert len(called) <= most, called


@when(
    'the store answers all hosts again and {seconds:g} seconds of relaying pass'
)
def when_regained(context, seconds):
    for host in context.fleet.hosts.values():
        host.is_partitioned = False
    context.fleet.advance(seconds)


@when('the store stops answering watches, and {seconds:g} seconds pass')
def when_silent(context, seconds):
    context.fleet.store.silent_watches = True
    context.fleet.advance(seconds)


@then('hosts have logged "{event}" with "{names}"')
def then_logged(context, event, names):
    lines = [fields for name, fields in context.fleet.logged if name == event]
    assert lines, sorted({name for name, _ in context.fleet.logged})
    for fields in lines:
        assert all(fields[name] >= 0 for name in names.split(',')), fields


@then('all keys are trusted')
def then_all_trusted(context):
    for host in context.fleet.hosts.values():
        assert host.configuration.is_verified(), host.name


@given('the hosts "{names}" of one domain that watch drained domains')
def given_watching(context, names):
    context.fleet = RelayFleet(names.split(','), drains=True)


@when('"{name}" loses its reader {seconds:g} s after it has asked it')
def when_loses(context, name, seconds):
    fleet = context.fleet
    follower = fleet.hosts[name].follower
    ask = follower.ask
    asked = []

    def noted(*request):
        asked.append(request)
        return ask(*request)

    follower.ask = noted
    while not asked:
        fleet.advance(_STEP)
    fleet.advance(seconds)
    follower._read_directly('expired')  # noqa: WPS437


@then('"{name}" gets its list of drained domains within {seconds:g} seconds')
def then_list(context, name, seconds):
    fleet = context.fleet
    call = collect_result(fleet.hosts[name].relayed.listed(DRAINED))
    fleet.advance(seconds)
    assert call, 'no list'
    assert isinstance(call[0], Listing), call
