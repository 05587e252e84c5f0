"""Steps for hosts that hear of upstreams late."""

from functools import partial
from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.loop import result_of
from pollenstile.bench._streamtries import serve_try
from pollenstile.bench._versionworld import Versions, VersionWorld
from pollenstile.forward import Upstream
from pollenstile.origins import (
    SOFTWARE_KIND,
    Origin,
    Origins,
    OriginUnknown,
    SoftwareHistory,
    SoftwareRecorder,
)
from pollenstile.platform import (
    ReadResult,
    RevisionTimes,
    SharedReads,
    WatchTiming,
    paused,
    watch,
)
from pollenstile.standin.objectapi import MemoryStore

_SECOND = 'v2'
# Upstreams of the second version that start: as many as of the first one.
_STARTED = 9
# Seconds after which hosts rely on what they have followed themselves.
_FOLLOWING_SECONDS = 61.0
# Seconds in which a stream begins, or a try of it is answered.
_BEGIN_SECONDS = 0.1
_TRY_SECONDS = 1.5
# Part of the delay in which keepers are told of a stream, and record it.
_RECORD_SHARE = 0.4
_MAX_BEGUN = 40
_FOLLOWED_SECONDS = 120
_LATE_EVENT = 'watch-late'


def _late_world(context, seconds, late):
    """Play 9 hosts, of which some hear of upstreams late.

    Parameters
    ==========

    seconds : float
        Delay of what these hear.
    late : function
        Takes the world and the names of all hosts, keepers of streams last;
        returns those that are late.
    """
    world = VersionWorld(9, 9, 4, Versions('v1', 'v1'))
    world.fleet.advance_coarsely(_FOLLOWING_SECONDS)
    names = sorted(world.fleet.hosts, key=partial(_is_keeper, world))
    late_names = late(world, names)
    world.fleet.delay_watches(
        lambda name: seconds if name in late_names else 0.0
    )
    context.world = world
    context.late = world.fleet.hosts[late_names[0]]
    context.early = world.fleet.hosts[
        next(name for name in names if name not in late_names)
    ]
    # A watch that was sent before is answered in time.
    world.advance(seconds)
    context.seconds = seconds


def _domain_of_first(world, names):
    hosts = world.fleet.hosts
    domain = hosts[names[0]].domain
    return [name for name in names if hosts[name].domain == domain]


def _is_keeper(world, name):
    parts = world.fleet.hosts[name].daemon.parts
    by_domain = parts.origin_sharing.keepers
    return any(name in keepers for keepers in by_domain.values())


@given(
    '9 hosts in 4 domains, and those of one domain hear of upstreams'
    ' {seconds:g} s late'
)
def given_late_domain(context, seconds):
    _late_world(context, seconds, _domain_of_first)


@given(
    '9 hosts in 4 domains, all but one of which hear of upstreams {seconds:g} s'
    ' late'
)
def given_one_early(context, seconds):
    _late_world(context, seconds, lambda _, names: names[:-1])


def _start_second(world):
    for number in range(_STARTED):
        world.upstreams.start(f'second:{number}', 'd', _SECOND)
    world.advance(_BEGIN_SECONDS)


def _begin_at(context):
    """Begin streams at the early host until one is of the second version."""
    world = context.world
    for _ in range(_MAX_BEGUN):
        caller = world.new_caller()
        caller.tries = 1
        answer = caller.new_answer()
        caller.answers.append(answer)
        serve_try(world, context.early, caller, f'{caller.ident}-0', answer)
        world.live.setdefault(context.early.name, []).append(answer)
        while not answer.events():
            world.advance(0.01)
        if caller.versions() == {_SECOND}:
            context.begun = caller
            return
    raise AssertionError('no stream began at the second version')


@when(
    'upstreams of a second version start, and a stream begins there at another'
    ' host'
)
def when_begins(context):
    _start_second(context.world)
    _begin_at(context)
    context.world.advance(_RECORD_SHARE * context.seconds)


@when('upstreams of a second version start, and the store is lost')
def when_store_lost(context):
    _start_second(context.world)
    context.world.fleet.store.down = True
    context.world.advance(_BEGIN_SECONDS)


@when('a stream begins at the host that knows them, which ends at once')
def when_begins_and_ends(context):
    _begin_at(context)
    context.world.end_host(context.early.name)


@when(
    'that host ends, and the stream is taken up at the late one while {others}'
)
def when_taken_up_while(context, others):
    world = context.world
    world.end_host(context.early.name)
    if others == 'no other host is left':
        for name in list(world.fleet.hosts):
            if name != context.late.name and not world.fleet.hosts[name].gone:
                world.end_host(name)
    when_taken_up(context)


@when('the stream is taken up at another host')
def when_taken_up(context):
    world = context.world
    caller = world.new_caller()
    caller.tries = 1
    caller.origin = f'{context.begun.ident}-0'
    caller.body = context.begun.body
    caller.last = len(context.begun.answers[0].events())
    answer = caller.new_answer()
    caller.answers.append(answer)
    serve_try(world, context.late, caller, f'{caller.ident}-0', answer)
    world.advance(_TRY_SECONDS)
    context.caller = caller


@then('that caller gets further events of the second version')
def then_second(context):
    answer = context.caller.answers[0]
    assert context.caller.versions() == {_SECOND}, (
        answer.refusal,
        answer.events(),
    )


@given('a host that has followed one version for two minutes')
def given_followed(context):
    context.clock = Clock()
    context.store = MemoryStore(context.clock)
    history = SoftwareHistory(context.clock, lambda: True)
    history.update([Upstream('u', 's', 'a:1', 'd', software='v1')])
    context.recorder = SoftwareRecorder(
        context.store, context.clock, 'h', {}, history
    )
    _review(context, _FOLLOWED_SECONDS)
    assert _recorded(context) == ['v1'], _recorded(context)


def _review(context, seconds):
    """Let the host review its record once a second."""
    for _ in range(seconds):
        context.clock.advance(1)
        context.recorder.history.review()
        context.recorder.review()


def _recorded(context):
    entry = result_of(context.store.get(SOFTWARE_KIND, 's'))
    return entry.value['versions']


@when('another host records a second version')
def when_recorded(context):
    context.store.write_at_once(
        SOFTWARE_KIND, 's', {'versions': ['v1', _SECOND], 'proven': True}
    )
    # What this host knows of the record is as old as its last read of it.
    context.recorder.note_return()


@then('the record has both versions {seconds:d} seconds later')
def then_both(context, seconds):
    _review(context, seconds)
    assert _recorded(context) == ['v1', _SECOND], _recorded(context)


@then(
    'it has the first version alone {seconds:d} seconds later, if no upstream'
    ' of the second appears'
)
def then_first_alone(context, seconds):
    _review(context, seconds)
    assert _recorded(context) == ['v1'], _recorded(context)


class _LateStore(MemoryStore):
    """A store whose answers to watches arrive late."""

    __slots__ = ('delay',)

    async def watched(self, *arguments):
        """Watch, and answer late."""
        outcome = await super().watched(*arguments)
        if self.delay:
            await paused(self.clock, self.delay)
        return outcome


@given('a host that watches a kind and reads another one five times a second')
def given_watching(context):
    clock = Clock()
    store = _LateStore(clock)
    store.delay = 0.0
    context.clock = clock
    context.store = store
    context.late_ms = []

    def log(event, level='info', **fields):
        if event.name == _LATE_EVENT:
            context.late_ms.append(fields['late_ms'])

    context.watch = watch(
        store,
        'upstreams',
        list,
        clock,
        Random(1),
        log,
        timing=WatchTiming(poll=2.0, list_every=1000.0),
    )
    context.watch.revision_times = RevisionTimes(clock)
    context.writes = 0


def _play(context, seconds):
    """Let the store change ten times a second, and read it five times."""
    for tenth in range(seconds * 10):
        context.writes += 1
        context.store.write_at_once('upstreams', 'u', context.writes)
        if tenth % 2 == 0:
            reading = Deferred.fromCoroutine(context.store.listed('config'))
            reading.addCallback(_note_revision, context.watch.revision_times)
        context.clock.advance(0.1)


def _note_revision(listing, times):
    times.note(listing.revision)


@when('its watch is answered 0.8 s late')
def when_late(context):
    context.store.delay = 0.8
    _play(context, 5)


@when('its watch is answered in time')
def when_in_time(context):
    context.store.delay = 0.0
    _play(context, 2)
    context.late_ms.clear()
    _play(context, 5)


@then('it logs a late watch of at least {least:d} ms')
def then_logged(context, least):
    assert max(context.late_ms) >= least, context.late_ms


@then('it logs no more late watches')
def then_not_logged(context):
    assert not context.late_ms, context.late_ms


@when(
    'that host and these upstreams end, and the stream is taken up at the late'
    ' one'
)
def when_gone(context):
    world = context.world
    world.end_host(context.early.name)
    _end_second(world)
    world.advance(_BEGIN_SECONDS)
    when_taken_up(context)


def _end_second(world):
    for number in range(_STARTED):
        world.upstreams.end(f'second:{number}')


@given('a host that has read a record of two versions, and lists one')
def given_two_recorded(context):
    context.clock = Clock()
    context.store = MemoryStore(context.clock)
    context.is_answering = True
    context.store.write_at_once(
        SOFTWARE_KIND, 's', {'versions': ['v1', _SECOND], 'proven': True}
    )
    history = SoftwareHistory(context.clock, lambda: context.is_answering)
    context.recorder = SoftwareRecorder(
        context.store, context.clock, 'h', {}, history
    )
    context.origins = Origins(context.clock, history)
    context.origins.confirm = context.recorder.confirm
    history.update([Upstream('u', 's', 'a:1', 'd', software='v1')])
    history.review()
    then_unknown(context)


@when(
    'the store does not answer it for {seconds:d} seconds, and it finds the'
    ' record as it was'
)
def when_without_store(context, seconds):
    _review(context, 5)
    context.is_answering = False
    _review(context, seconds)
    context.is_answering = True
    context.recorder.history.review()
    context.clock.advance(1)


@then("it can't tell at which version a stream began")
def then_unknown(context):
    found = result_of(context.origins.find(b'any stream', 's'))
    assert isinstance(found, OriginUnknown), found


@when(
    'upstreams of a second version come and go, and a stream of an unknown'
    ' version begins'
)
def when_mistaken(context):
    world = VersionWorld(9, 9, 4, context.versions)
    _start_second(world)
    host = next(iter(world.fleet.hosts.values()))
    origins = host.core.origins
    expires_at = world.now() + _FOLLOWED_SECONDS
    origins.table.add(b'mistaken', Origin('unknown/', 's', expires_at))
    origins.on_began(b'mistaken')
    _end_second(world)
    context.world = world


@then('no host has seen several versions {seconds:d} seconds later')
def then_forgotten(context, seconds):
    world = context.world
    world.fleet.advance_coarsely(seconds)
    mixed = [
        host.name
        for host in world.fleet.running()
        if host.core.origins.history.is_mixed('s')
    ]
    assert not mixed, mixed


@given('a watch that is answered 0.8 s late')
def given_late_watch(context):
    context.clock = Clock()
    context.store = _LateStore(context.clock)
    context.store.delay = 0.8
    context.told = []
    context.logged = []

    def log(event, level='info', **fields):
        context.logged.append(event.name)

    def tell(change):
        context.told.append('deleted' if change.value is None else 'written')

    context.watch = watch(
        context.store, 'upstreams', tell, context.clock, Random(1), log
    )


@when('an object {change}, and the kind is read at once')
def when_read_beside(context, change):
    context.store.write_at_once('upstreams', 'u', 'v2')
    if change == 'appears and is gone':
        Deferred.fromCoroutine(context.store.delete('upstreams', 'u'))
    result = result_of(context.watch.read_now(context.store, 0.5))
    assert result is ReadResult.CURRENT, result


@then('the callback was told of {told} by the read')
def then_told_by_read(context, told):
    expected = [] if told == 'nothing' else [told]
    assert context.told == expected, context.told


@then('in the end it was told of {told}')
def then_told(context, told):
    for _ in range(40):
        context.clock.advance(0.1)
    assert ', '.join(context.told) == told, context.told


@then('the watch has reported nothing stale')
def then_not_stale(context):
    assert 'watch-stale' not in context.logged, context.logged


@given('shared reads, one of which is in progress')
def given_shared(context):
    context.answers = []
    context.reading = []

    async def read():
        answer = Deferred()
        context.reading.append(answer)
        return await answer

    context.reads = SharedReads(Clock(), read, float)
    context.reads.begun_now(1.0)


@when('another question comes, and the read in progress ends')
def when_another(context):
    context.reads.begun_now(1.0).addCallback(context.answers.append)
    context.reading[0].callback(ReadResult.CURRENT)


@then('that question is open, and a second read has begun')
def then_open(context):
    assert not context.answers, context.answers
    assert len(context.reading) == 2, context.reading


@when('the second read ends')
def when_second_ends(context):
    context.reading[1].callback(ReadResult.CURRENT)


@then('that question is answered')
def then_answered_current(context):
    assert context.answers == [ReadResult.CURRENT], context.answers
