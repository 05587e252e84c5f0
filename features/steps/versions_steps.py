"""Steps for streams that go on at the software version that began them."""

import contextlib
from dataclasses import replace
from functools import partial
from random import Random

import msgspec
from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.forward import ForwardScenario
from features.builders.forwardhost import ForwardHost, request
from features.builders.loop import result_of
from features.builders.permission import open_connection
from features.builders.streamkeeper import DenyingHub, StreamKeeper
from pollenstile.bench._versionworld import Versions, VersionWorld
from pollenstile.bench.versions import play
from pollenstile.forward import Upstream
from pollenstile.origins import (
    SOFTWARE_KIND,
    STREAMS_KIND,
    Origin,
    OriginTable,
    SoftwareHistory,
    SoftwareRecorder,
    StreamHandover,
    StreamRecorder,
    VersionDoubts,
    Witness,
    origin_key,
)
from pollenstile.origins._codec import (
    OriginAnswer,
    OriginQuestion,
    ToldOrigins,
    decode_answer,
    decode_ask,
    decode_origins,
    encode_answer,
    encode_ask,
    encode_origins,
)
from pollenstile.origins._streamentry import encode_entry
from pollenstile.peer import BadMessageError
from pollenstile.standin.objectapi import MemoryStore

# Reasons of refusals for a version.
_REASONS = ('unknown version', 'no upstream of its version')
# Seconds in which a stream has begun, and keepers know it.
_BEGIN_SECONDS = 0.8
# Seconds in which a try is answered.
_TRY_SECONDS = 1.0
_RECORDED_EVENT = 'software-recorded'
_OTHER_TEAM = 'other'
# Changed messages of each kind.
_MUTATIONS = 300


@given(
    '{hosts:d} hosts in {domains:d} domains, and as many upstreams of {count}'
    ' versions'
)
def given_upstreams(context, hosts, domains, count):
    context.size = (hosts, domains)
    context.versions = Versions('v1', 'v1.2' if count == 'two' else 'v1')


@when('{fault} while streams run, with seeds {first:d} and {second:d}')
def when_fault(context, fault, first, second):
    context.worlds = [
        play(context.size, context.versions, fault, seed)[0]
        for seed in sorted({first, second})
    ]


@then(
    'at most {most:d} streams of each run have events of two versions in one'
    ' answer'
)
def then_one_answer(context, most):
    for world in context.worlds:
        mixed = [
            caller for caller in world.callers if caller.is_mixed_in_answer()
        ]
        assert len(mixed) <= most, len(mixed)


@then('at most {most:d} streams of each run have events of two versions')
def then_mixed(context, most):
    for world in context.worlds:
        assert len(world.mixed()) <= most, len(world.mixed())
        assert all(caller.is_in_order() for caller in world.callers)


@then(
    'the streams that callers take up go on at least half as often as new ones'
    ' begin'
)
def then_go_on(context):
    for world in context.worlds:
        assert len(world.taken_up()) >= 12, len(world.taken_up())
        began, went_on = world.shares()
        assert went_on >= began / 2, (went_on, began)


@then('no try is refused for its version')
def then_not_refused(context):
    for world in context.worlds:
        for reason in _REASONS:
            assert not world.count_refusals(reason), reason


@then('no host tells another one, or the store, of streams')
def then_not_told(context):
    for world in context.worlds:
        logged = {name for _, _, name, _ in world.fleet.logged}
        assert 'software-mixed' not in logged, logged
        kinds = world.fleet.store.objects.names
        assert not any(kind.startswith(STREAMS_KIND) for kind in kinds), kinds


@then('the store was told of one version, once')
def then_told_once(context):
    for world in context.worlds:
        told = [
            fields['versions']
            for _, _, name, fields in world.fleet.logged
            if name == _RECORDED_EVENT
        ]
        assert told == [[context.versions.first]], told


def _world(context):
    world = VersionWorld(
        context.size[0], context.size[0], context.size[1], context.versions
    )
    context.world = world
    return world


def _begun(world):
    """Return the caller of a stream that has begun."""
    caller = world.new_caller()
    caller.send()
    world.advance(_BEGIN_SECONDS)
    assert caller.answers[0].events()
    return caller


def _take_up(context, begun):
    """Return a caller that takes up the stream of another one."""
    caller = context.world.new_caller()
    caller.origin = f'{begun.ident}-0'
    caller.last = len(begun.answers[0].events())
    context.caller = caller
    return caller


@when('a stream has begun, and a caller takes up {stream}')
def when_taken_up(context, stream):
    world = _world(context)
    caller = _take_up(context, _begun(world))
    if stream == 'it for another team':
        caller.team = _OTHER_TEAM
    elif stream == 'one that nobody began':
        caller.origin = 'ffff'
    elif stream == 'one without naming its request':
        caller.origin = ''
    caller.send()
    world.advance(_TRY_SECONDS)


@when(
    'a stream has begun, all upstreams are replaced, and it is taken up {moment}'
)
def when_replaced(context, moment):
    world = _world(context)
    begun = _begun(world)
    world.schedule_replacement('v2', 0)
    world.advance(1.0 + _TRY_SECONDS)
    if moment != 'at once':
        world.advance(float(moment.split()[1]))
    _take_up(context, begun).send()
    world.advance(_TRY_SECONDS)


@then('that caller gets further events')
def then_further(context):
    events = context.caller.answers[0].events()
    assert events[0][0] > 1, events


@then('that caller is refused for {reason}')
def then_refused(context, reason):
    refusal = context.caller.answers[0].refusal
    assert (refusal.status, refusal.reason) == (503, reason), refusal


@then('it is told to come back in about {seconds:g} seconds')
def then_advised(context, seconds):
    advised = context.caller.answers[0].refusal.retry_after
    assert seconds <= advised <= seconds + 1, advised


@then('it is told nothing of when to come back')
def then_not_advised(context):
    assert not context.caller.answers[0].refusal.retry_after


@when('streams begin, and the upstreams of the first version leave')
def when_first_leave(context):
    world = _world(context)
    world.schedule_randomly(10.0, 3.0, world.start_stream)
    addresses = [
        process.address
        for process in world.upstreams.running()
        if process.software == context.versions.first
    ]
    for address in addresses:
        world.later(1.0, world.upstreams.end, address)
    world.advance(4.0)


@when('{seconds:d} seconds have passed')
def when_passed(context, seconds):
    context.world.fleet.advance_coarsely(seconds)


def _records(world):
    found = []
    work = Deferred.fromCoroutine(world.fleet.store.listed(SOFTWARE_KIND))
    work.addCallback(found.append)
    world.advance(0.1)
    return [entry.value for entry in found[0].objects]


@then('the store has a record of both versions')
def then_recorded(context):
    versions = sorted({context.versions.first, context.versions.second})
    assert _records(context.world) == [_proven(versions)]


@then('the store has a record of the second version')
def then_second_recorded(context):
    versions = [context.versions.second]
    assert _records(context.world) == [_proven(versions)]


def _proven(versions):
    return {'versions': versions, 'proven': True}


@given('two hosts with a route that is split between two services')
def given_split(context):
    context.split_hosts = [ForwardHost(), ForwardHost()]
    for host in context.split_hosts:
        context.add_cleanup(host.stop)
        host.reply = b'HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n'


def _service_of(host, ident, resumes=''):
    """Return the service that a request is sent to; only one has upstreams."""
    extra = b'X-Resumes: %s\r\n' % resumes.encode() if resumes else b''
    sent = len(host.seen)
    host.exchange(request(b'/split/', extra, ident=ident.encode()))
    return 'desk' if len(host.seen) > sent else 'empty'


@when('20 streams begin at one host, and are taken up at the other one')
def when_split(context):
    first, second = context.split_hosts
    began = [_service_of(first, f'first-{number}') for number in range(20)]
    # In another order, as both hosts draw from the same random numbers.
    went_on = [
        _service_of(second, f'second-{number}', f'first-{number}')
        for number in reversed(range(20))
    ]
    context.services = list(zip(began, reversed(went_on), strict=True))


@then('each goes to the same service as before')
def then_same_service(context):
    assert all(before == after for before, after in context.services)


@then('both services get some of them')
def then_both_services(context):
    assert len({before for before, _ in context.services}) == 2


@given('a forwarded "resumable" request that takes up a stream')
def given_takes_up(context):
    context.story = ForwardScenario('resumable')
    context.story.start(resumes='first', last_event='3')


@when(
    'the upstream of forwarded send 0 starts again in another version before its'
    ' connection is open'
)
def when_reborn(context):
    story = context.story
    call = story.calls[0]
    registry = story.core.registry
    before = next(
        upstream
        for upstream in registry.upstreams.values()
        if upstream.address == call.address
    )
    registry.apply(before.ident, replace(before, software='v2'))
    open_connection(call)


@given('three streams of two versions that a host tells of')
def given_streams(context):
    context.streams = {
        origin_key('t', 's', 'a'): Origin('v1', 's', 12.0),
        origin_key('t', 's', 'b'): Origin('v2', 's', 13.5),
        origin_key('t', 's', 'c'): Origin('v1', 's', 60.0),
    }


@then('a peer reads the same streams, with the time until they are forgotten')
def then_same_streams(context):
    versions = frozenset((('s', 'v1'), ('s', 'v2'), ('s', 'v3')))
    encoded = encode_origins(ToldOrigins(context.streams, versions), 10.0)
    # The clock of the peer is 100 s ahead.
    told = decode_origins(encoded, 110.0)
    assert told.versions == versions, told.versions
    read = told.streams
    expected = {
        key: (origin.software, round(origin.expires_at + 100, 3))
        for key, origin in context.streams.items()
    }
    found = {
        key: (origin.software, round(origin.expires_at, 3))
        for key, origin in read.items()
    }
    assert found == expected, found
    assert not any(origin.is_own for origin in read.values())


@then('a peer reads the same question, and the same answer to it')
def then_same_question(context):
    key = next(iter(context.streams))
    for must_read in (False, True):
        question = OriginQuestion(key, 's', must_read)
        assert decode_ask(encode_ask(question)) == question
    witness = Witness(
        frozenset(('v1', '')),
        is_current=True,
        is_complete=False,
        is_unproven=True,
    )
    for software in (None, '', 'v1'):
        answer = OriginAnswer(software, witness)
        assert decode_answer(encode_answer(answer)) == answer


@then('no message that is cut short or changed at random ends a host')
def then_robust(context):
    rng = Random(1)
    key = next(iter(context.streams))
    answer = OriginAnswer(
        'v1', Witness(frozenset(('v1',)), is_current=True, is_complete=True)
    )
    messages = (
        (
            encode_origins(
                ToldOrigins(context.streams, frozenset((('s', 'v3'),))), 10.0
            ),
            _decode_at_zero,
        ),
        (encode_ask(OriginQuestion(key, 's', must_read=True)), decode_ask),
        (encode_answer(answer), decode_answer),
    )
    for encoded, decode in messages:
        for _ in range(_MUTATIONS):
            changed = bytearray(encoded[: rng.randint(1, len(encoded))])
            changed[rng.randrange(len(changed))] = rng.getrandbits(8)
            with contextlib.suppress(BadMessageError):
                decode(bytes(changed))


def _decode_at_zero(encoded):
    return decode_origins(encoded, 0.0)


class _Ended:
    """A host's doubts of one upstream that has ended, in virtual time."""

    def __init__(self, contact):
        self.clock = Clock()
        self.is_fresh = True
        history = SoftwareHistory(self.clock, lambda: self.is_fresh)
        self.doubts = VersionDoubts(self.clock, history)
        self.history = history
        self.advance(5.0)
        self.is_fresh = contact != 'is away'
        self.doubts.note_ended('u')
        if contact == 'answers with its new entry':
            self.advance(0.5)
            self.doubts.note_listed('u')

    def advance(self, seconds):
        """Advance the clock while the host follows the registry."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.history.review()


@given(
    'a host whose store {contact} when an upstream ends and starts again under'
    ' its identifier'
)
def given_ended(context, contact):
    context.ended = _Ended(contact)
    context.ended_at = context.ended.clock.seconds()


@then('its version is {state} after {seconds:d} second')
@then('its version is {state} after {seconds:d} seconds')
def then_known(context, state, seconds):
    ended = context.ended
    ended.advance(context.ended_at + seconds - ended.clock.seconds())
    assert ended.doubts.is_doubtful('u') is (state == 'not known')
    assert not ended.doubts.is_doubtful('another')


@given('a store whose entry of streams is {value}')
def given_spoiled(context, value):
    context.clock = Clock()
    context.store = MemoryStore(context.clock)
    context.store.write_at_once(
        f'{STREAMS_KIND}-d', 'h', msgspec.json.decode(value) or 0
    )


@when('a host looks a stream up there')
def when_looked_up(context):
    table = OriginTable(context.clock)
    context.recorder = StreamRecorder(
        context.store, context.clock, 'h', 'd', table
    )
    context.key = origin_key('t', 's', 'a')
    context.found = result_of(context.recorder.reader.look_up(context.key))


@then('it finds no version, and no other read follows within a second')
def then_none_found(context):
    assert context.found is None
    assert result_of(context.recorder.reader.look_up(context.key)) is None
    assert context.store.calls['list'] == 1, context.store.calls
    context.clock.advance(1.0)
    assert result_of(context.recorder.reader.look_up(context.key)) is None
    assert context.store.calls['list'] == 2, context.store.calls


class _ReturningStore(MemoryStore):
    """A store whose answers to writes show that it is back from a copy."""

    __slots__ = ('on_return',)

    async def put(self, *arguments):
        """Write, and report a return of the store before the answer."""
        outcome = await super().put(*arguments)
        self.on_return()
        return outcome


@given('a host that records the version of a service')
def given_recording(context):
    context.clock = Clock()
    context.store = _ReturningStore(context.clock)
    history = SoftwareHistory(context.clock, lambda: True)
    history.in_gap = False
    context.history = history
    context.recorder = SoftwareRecorder(
        context.store, context.clock, 'h', {}, history
    )
    context.store.on_return = context.recorder.note_return


def _record_version(context, software):
    upstream = Upstream(software, 's', 'a:1', 'd', software=software)
    context.history.update([upstream])
    context.recorder.review()


@when('the answer to its write shows that the store is back from an older copy')
def when_write_returns(context):
    _record_version(context, 'v1')


@then('it writes the versions that it sees from then on')
def then_writes_on(context):
    _record_version(context, 'v2')
    entry = result_of(context.store.get(SOFTWARE_KIND, 's'))
    assert entry.value['versions'] == ['v1', 'v2'], entry


@given('a keeper of streams whose store has been away for {seconds:d} seconds')
def given_keeper_away(context, seconds):
    context.keeper = StreamKeeper()
    context.keeper.store.down = True
    context.keeper.recorder.note(context.keeper.streams)
    context.keeper.advance(seconds)


@when('the store answers again')
def when_answers_again(context):
    context.keeper.store.down = False


@then('its streams are in the store within {seconds:g} seconds')
def then_written_within(context, seconds):
    context.keeper.advance(seconds)
    assert list(context.keeper.written()[0]) == ['v1']


@then('it has written them once')
def then_written_once(context):
    context.keeper.advance(2.0)
    assert context.keeper.store.calls['put'] == 1, context.keeper.store.calls


_STORE_FAULTS = {
    'takes 0.3 s for a call': ('latency', 0.3),
    'refuses writes': ('refused_kinds', {f'{STREAMS_KIND}-d'}),
    'answers no calls': ('latency', 60.0),
    'is known to be away': ('down', True),
}


@given('a keeper of streams whose store {fault}')
def given_keeper(context, fault):
    context.keeper = StreamKeeper()
    # The keeper has read its entries before the fault begins.
    context.keeper.recorder.version = 0
    setattr(context.keeper.store, *_STORE_FAULTS[fault])


@when('a stream has waited there for {seconds:g} seconds')
def when_waited(context, seconds):
    context.keeper.recorder.note(context.keeper.streams)
    context.keeper.advance(seconds)


@then('others are asked to write {count:d} streams')
def then_late(context, count):
    assert len(context.keeper.recorder.late_streams()) == count


@then('the keeper {offer} to write those of others')
def then_offer(context, offer):
    assert context.keeper.recorder.can_write() is (offer == 'offers')


@when('a peer sends it a stream to write')
def when_peer_sends(context):
    keeper = context.keeper
    context.answers = []
    written = keeper.recorder.write_for_peer(keeper.streams)
    written.addCallback(context.answers.append)


@then('it answers that the stream is {outcome} within 1 second')
def then_answered(context, outcome):
    context.keeper.advance(1.0)
    assert context.answers == [outcome == 'written']
    context.keeper.store.latency = 0.0
    assert len(context.keeper.written()) == int(outcome == 'written')


@then('no host writes streams of others')
def then_none_handed_over(context):
    for world in context.worlds:
        logged = {name for _, _, name, _ in world.fleet.logged}
        assert 'streams-handed-over' not in logged


@given(
    'a keeper of streams that has not read its entry, and calls that take'
    ' {seconds:g} s'
)
def given_fresh_keeper(context, seconds):
    context.keeper = StreamKeeper()
    context.keeper.store.latency = seconds


@when(
    'it notes another stream, and gets one of a peer, {seconds:g} s after the'
    ' first'
)
def when_noted_during_read(context, seconds):
    keeper = context.keeper
    keeper.recorder.note(keeper.streams)
    keeper.advance(seconds)
    keeper.recorder.note({origin_key('t', 's', 'b'): Origin('v1', 's', 60.0)})
    context.answers = []
    written = keeper.recorder.write_for_peer(
        {origin_key('t', 's', 'c'): Origin('v1', '', 60.0)}
    )
    written.addCallback(context.answers.append)


@then(
    'all three are in its entry {seconds:g} seconds later, and it asks no host'
    ' to write them'
)
def then_all_written(context, seconds):
    keeper = context.keeper
    keeper.advance(seconds)
    assert not keeper.recorder.late_streams(), keeper.recorder.late_streams()
    keeper.store.latency = 0.0
    expected = encode_entry(keeper.recorder.origins)['streams']
    assert keeper.written() == [expected], keeper.written()
    assert len(keeper.recorder.origins) == 3
    assert keeper.store.calls['put'] == 1, keeper.store.calls


@then('the peer was told that its stream is written')
def then_peer_told(context):
    assert context.answers == [True], context.answers


@given('a keeper that has recorded a stream at the version "{software}"')
def given_recorded(context, software):
    keeper = StreamKeeper()
    context.keeper = keeper
    context.key = next(iter(keeper.streams))
    keeper.recorder.note({context.key: Origin(software, 's', 60.0)})
    keeper.advance(1.0)
    assert list(keeper.written()[0]) == [software]


@when('{source} names the version "{software}" for it')
def when_named(context, source, software):
    keeper = context.keeper
    origins = {context.key: Origin(software, 's', 60.0)}
    if source == 'a peer':
        keeper.recorder.write_for_peer(origins)
    else:
        keeper.recorder.note(origins)
    context.noted = dict(keeper.recorder.unwritten)


@then(
    'its entry has the stream at "{software}" alone after {seconds:g} seconds'
)
def then_stays(context, software, seconds):
    context.keeper.advance(seconds)
    assert context.keeper.store.calls['put'] == 2, context.keeper.store.calls
    written = context.keeper.written()
    assert [list(streams) for streams in written] == [[software]], written


@then('it would hand the stream over at "{software}" alone')
def then_handed_over_at(context, software):
    versions = {origin.software for origin in context.noted.values()}
    assert versions <= {software}, versions


@given('a keeper of {count:d} hosts, none of which can write')
def given_no_writer(context, count):
    context.keeper = StreamKeeper()
    context.keeper.store.refused_kinds = {f'{STREAMS_KIND}-d'}
    context.keeper.recorder.note(context.keeper.streams)
    context.hosts = {f'h{number}': None for number in range(count)}
    context.hub = DenyingHub(context.keeper.clock)
    context.handover = StreamHandover(
        context.hub, context.hosts, context.keeper.recorder
    )
    context.logged = []
    context.handover.log = partial(_note_event, context.logged)


def _note_event(logged, event, **fields):
    logged.append(event.name)


@when('its streams have been late for {seconds:d} seconds')
def when_late_for(context, seconds):
    for _ in range(seconds * 4):
        context.keeper.advance(0.25)
        context.handover.review()


@then('each host has been asked without being sent the streams')
def then_all_asked(context):
    assert {peer for peer, _ in context.hub.asked} == set(context.hosts)
    assert not any(body for _, body in context.hub.asked)


@when(
    'asking a peer raises an error once, and its streams have been late for'
    ' {seconds:d} seconds'
)
def when_asking_fails(context, seconds):
    context.hub.errors = [RuntimeError('no link')]
    when_late_for(context, seconds)


@then('the error is logged once, and peers are asked again')
def then_tried_again(context):
    assert context.logged == ['handover-failed'], context.logged
    assert context.hub.asked
