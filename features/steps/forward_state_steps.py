"""Steps for the state of a forwarding host."""

from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.forward import SERVICE
from pollenstile.forward import Configuration, Registry, Upstream
from pollenstile.forward._members import HOSTS, Members, PeerHost
from pollenstile.forward._peerkey import PeerKey
from pollenstile.platform import (
    Absent,
    Change,
    Changes,
    EraStore,
    Found,
    Listing,
    NotApplied,
    StoreEra,
    Unavailable,
    paused,
)
from pollenstile.routes import (
    Kind,
    Route,
    RouteTable,
    Target,
    pick_service,
    route_of,
)
from pollenstile.standin.objectapi import MemoryStore

_REVOKE = 5.0


class _Reader:
    """A configuration reader with two clocks that the test advances."""

    def __init__(self):
        self.suspended = 0.0
        self.now = 100.0
        self.logged = []
        self.reader = Configuration(
            None,
            Clock(),
            self._clock,
            Random(1),
            _decoded,
            _REVOKE,
            self._log,
        )

    def read(self, version, revision):
        """Apply a read that is answered at once."""
        found = Found('config', 'main', revision, version)
        self.reader.apply(found, self._clock())

    def _clock(self):
        return self.now + self.suspended

    def _log(self, event, level='info', **fields):
        self.logged.append(event.name)


def _decoded(value):
    if not isinstance(value, int):
        raise ValueError('no configuration')
    return RouteTable(value)


def _broken(table):
    raise KeyError(table.version)


@given('a configuration reader that has read version {version:d}')
def given_reader(context, version):
    context.reader = _Reader()
    context.reader.read(version, version)


class _SilentStore:
    """A store that answers no read before a given time."""

    def __init__(self, clock, silent):
        self.clock = clock
        self.silent = silent
        self.under_way = 0
        self.most = 0
        self.reads = 0

    async def listed(self, kind, prefix=''):
        """Answer with the full list, or time out after 2.5 seconds."""
        found = Found(kind, 'main', 7, 7)
        return await self._answer(Listing((found,), 9), 'list')

    async def watched(self, kind, since, prefix='', timeout=0):
        """Answer without changes."""
        await paused(self.clock, timeout)
        return await self._answer(Changes(since), 'watch')

    async def _answer(self, outcome, step):
        self.reads += 1
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        if self.clock.seconds() < self.silent:
            await paused(self.clock, 2.5)
            outcome = Unavailable(step, 'store', 'TimeoutError')
        else:
            await paused(self.clock, 0.01)
        self.under_way -= 1
        return outcome


@given(
    'a configuration reader at a store that is silent for {seconds:g} seconds'
)
def given_silent(context, seconds):
    context.clock = Clock()
    context.store = _SilentStore(context.clock, seconds)
    reader = Configuration(
        context.store,
        context.clock,
        context.clock.seconds,
        Random(1),
        _decoded,
        _REVOKE,
    )
    context.reading = reader
    Deferred.fromCoroutine(reader.loop.run())


@when('{seconds:g} seconds of reading pass')
def when_reading(context, seconds):
    for _ in range(round(seconds * 100)):
        context.clock.advance(0.01)


@when('the store falls silent, and {seconds:g} seconds of reading pass')
def when_silent(context, seconds):
    context.store.silent = float('inf')
    context.unused = []
    for _ in range(round(seconds * 100)):
        context.clock.advance(0.01)
        if not context.reading.is_current():
            context.unused.append(context.clock.seconds())


@then('its table was in use throughout')
def then_in_use(context):
    assert not context.unused, context.unused
    assert context.reading.age() > context.reading.apply_seconds


@then('its table is in use for {seconds:g} seconds')
def then_is_current(context, seconds):
    context.reader.now += seconds
    assert context.reader.reader.is_current()


@then(
    'not for {seconds:g} seconds, until a read is in flight without an answer'
)
def then_not_current(context, seconds):
    reader = context.reader.reader
    context.reader.now += seconds - reader.age()
    assert not reader.is_current()
    reader.loop.unreachable_at = reader.verified_at - 1
    assert not reader.is_current()
    reader.loop.unreachable_at = context.reader.now
    assert reader.is_current()


@then('its keys are trusted')
def then_are_trusted(context):
    assert context.reading.is_verified()


@then('no more than {count:d} of its reads were in flight at a time')
def then_under_way(context, count):
    assert context.store.most <= count, context.store.most


@then('it has read {least:d} to {most:d} times')
def then_read(context, least, most):
    assert least <= context.store.reads <= most, context.store.reads


@given('a listener that raises at each new version')
def given_broken(context):
    context.reader.reader.listeners.append(_broken)


@when('it reads version {version:d} with an older revision')
@when('it reads version {version:d} with a newer revision')
def when_reads(context, version):
    context.reader.read(version, version)


@when('it reads a version {version:d} that is invalid')
def when_bad(context, version):
    context.reader.now += 10
    found = Found('config', 'main', version, 'nonsense')
    context.reader.reader.apply(found, context.reader.now)


@when(
    '{pause:g} seconds later it sends a read that is answered {wait:g} seconds after that'
)
def when_late(context, pause, wait):
    reader = context.reader
    sent = reader.now + pause
    reader.now = sent + wait
    reader.reader.apply(Found('config', 'main', 7, 7), sent)


@when('the host is suspended for {seconds:g} seconds')
def when_suspended(context, seconds):
    context.reader.suspended += seconds


@then('version {version:d} is in force')
def then_in_force(context, version):
    assert context.reader.reader.table.version == version


@then('its keys are trusted for {seconds:g} seconds')
def then_trusted(context, seconds):
    reader = context.reader
    if seconds:
        reader.now += seconds
        assert reader.reader.is_verified()
        reader.now -= seconds
        return
    assert not reader.reader.is_verified()


@then('not for {seconds:g} seconds')
def then_not_for(context, seconds):
    context.reader.now += seconds
    assert not context.reader.reader.is_verified()


@then('its keys are not trusted')
def then_not_trusted(context):
    assert not context.reader.reader.is_verified()


@then('the reason is logged once')
def then_logged(context):
    assert context.reader.logged.count('configuration-bad') == 1


@given('a registry with the upstreams "{names}" of a service')
def given_registry(context, names):
    context.clock = Clock()
    context.clock.advance(1000)
    context.registry = Registry(context.clock)
    for name in names.split(','):
        context.registry.apply(name, _upstream(name))


def _upstream(name, *, leaving=False):
    address = f'10.0.0.{ord(name)}:1'
    return Upstream(name, SERVICE, address, 'd', leaving=leaving)


@when('the registry reports that "{name}" leaves')
def when_leaves(context, name):
    context.registry.apply(name, _upstream(name, leaving=True))


@when('the registry reports that "{name}" is back')
def when_back(context, name):
    context.registry.apply(name, _upstream(name))


@when('the store fails, and {seconds:g} seconds later "{names}" are missing')
def when_missing(context, seconds, names):
    context.registry.store_failed_at = context.clock.seconds()
    context.clock.advance(seconds)
    for name in names.split(','):
        context.registry.apply(name, None)


@when('a request finds that "{name}" is gone')
def when_found_gone(context, name):
    context.registry.drop(name, context.registry.upstreams[name].born)


@when('{seconds:g} seconds of registry time pass')
def when_registry_time(context, seconds):
    context.clock.advance(seconds)


@then('the usable upstreams are "{names}"')
def then_usable(context, names):
    found = sorted(view.ident for view in context.registry.usable(SERVICE))
    assert found == names.split(','), found


def _members(store, host, log=None):
    args = (store, Clock(), host, PeerHost('10.0.0.1:7', 'd'))
    return Members(*args, log) if log else Members(*args)


@given('two hosts that start at one store without a key')
def given_two(context):
    store = MemoryStore(Clock())
    context.keys = []
    for host in ('one', 'two'):
        peer_key = PeerKey(EraStore(store, StoreEra()), Clock(), host, {})
        key = Deferred.fromCoroutine(peer_key.read())
        key.addCallback(context.keys.append)


@then('both read the same peer key')
def then_same_key(context):
    first, second = context.keys
    assert first == second
    assert len(first) == 64, first


class _Failing:
    """A store that rejects its first writes."""

    def __init__(self, failures):
        self.failures = failures
        self.entries = {}

    async def put(self, kind, name, value, if_version=None):
        """Reject the write, or store the value."""
        if self.failures:
            self.failures -= 1
            return NotApplied('put', 'store', 'down')
        self.entries[kind, name] = value
        return await MemoryStore(Clock()).put(kind, name, value)


@given('a store that fails twice')
def given_failing(context):
    context.store = _Failing(2)


@when('a host registers there')
def when_registers(context):
    context.logged = []

    def log(event, level='info', **fields):
        context.logged.append(event.name)

    members = _members(context.store, 'one', log)
    Deferred.fromCoroutine(members.register())
    for _ in range(20):
        members.clock.advance(0.1)


@then('its entry is in the store')
def then_stands(context):
    assert context.store.entries[HOSTS, 'one']['address'] == '10.0.0.1:7'


@then('{count:d} failures to register are logged')
def then_failures(context, count):
    assert context.logged.count('register-failed') == count


@given('a route table with "{first}" and "{second}"')
def given_routes(context, first, second):
    targets = (Target('most', 90), Target('few', 10))
    routes = [
        Route(prefix, 'host', prefix, Kind.ONCE, 1, 1, targets=targets)
        for prefix in sorted((first, second), key=len, reverse=True)
    ]
    context.routes = RouteTable(1, {'host': tuple(routes)})


@then('"{path}" has the route "{prefix}" and "{other}" has "{short}"')
def then_routes(context, path, prefix, other, short):
    assert route_of(context.routes, 'host', path).prefix == prefix
    assert route_of(context.routes, 'host:80', other).prefix == short


@then('"{path}" has none')
def then_no_route(context, path):
    assert route_of(context.routes, 'host', path) is None


@then(
    'of {count:d} requests {least:d} to {most:d} go to the service with 90 in 100'
)
def then_weights(context, count, least, most):
    route = context.routes.by_host['host'][0]
    rng = Random(4)
    found = [pick_service(route, rng.random()) for _ in range(count)]
    assert least <= found.count('most') <= most, found.count('most')


def _done(coroutine):
    Deferred.fromCoroutine(coroutine)


@given('a member whose own entry is in the store')
def given_standing(context):
    context.store = MemoryStore(Clock())
    context.member = _members(context.store, 'one')
    _done(context.member.register())
    _tell_member(context)
    context.member = _members(context.store, 'one')
    _tell_member(context)
    context.store.calls.clear()


@given('a member without an entry in the store')
def given_no_entry(context):
    context.store = MemoryStore(Clock())
    context.member = _members(context.store, 'one')


def _tell_member(context):
    found = context.store.objects.found(HOSTS, 'one')
    value = found.value if isinstance(found, Found) else None
    context.member.apply(Change(HOSTS, 'one', 1, value, 1))


@when('it registers')
def when_member_registers(context):
    _done(context.member.register())


@when('its previous process writes an entry of another address')
def when_last_process(context):
    _done(context.store.put(HOSTS, 'one', {'address': '10.0.0.9:7'}))


@when('its entry is deleted by a late call')
def when_taken_back(context):
    _done(context.store.delete(HOSTS, 'one'))
    _tell_member(context)


@when('it leaves')
def when_member_leaves(context):
    _done(context.member.leave())
    _tell_member(context)


@then('it has written nothing')
def then_nothing_written(context):
    assert not context.store.calls['put'], context.store.calls


@then('it has written {count:d} time')
def then_written(context, count):
    assert context.store.calls['put'] == count, context.store.calls


@then('its entry is restored')
def then_member_stands(context):
    found = context.store.objects.found(HOSTS, 'one')
    assert found.value['address'] == '10.0.0.1:7', found


@then('its entry is gone')
def then_entry_gone(context):
    found = context.store.objects.found(HOSTS, 'one')
    assert isinstance(found, Absent), found
