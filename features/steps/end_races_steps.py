"""Steps for upstreams that end while connections to them are few or short."""

from behave import then, when

from features.builders import endraces
from features.builders.malformed import ROUTES

_SOUND = {
    'one connection': {'connections': 1, 'pause_seconds': 0.02},
    'idle connections for 50 ms': {'idle_seconds': 0.05, 'pause_seconds': 0.25},
}
_ENDING = {
    'is killed, and its successor sends nothing': {
        'kill_seconds': 0.2,
        'successor': 'silent restart',
    },
    'kept one connection, is killed and replaced': {
        'connections': 1,
        'kill_seconds': 0.2,
        'successor': 'restart',
    },
    'kept idle connections for 50 ms, is killed and replaced': {
        'idle_seconds': 0.05,
        'kill_seconds': 0.2,
        'successor': 'restart',
    },
    'is the worker of a process that listens on, and is killed': {
        'is_sequential': True,
        'kill_seconds': 0.2,
        'successor': 'parent',
    },
    'closes all connections and ends 5 ms later': {
        'rest': b'',
        'pause_seconds': 0.1,
        'exits': True,
        'exit_seconds': 0.005,
    },
}


@when('an upstream that keeps {limit} ends its answer in order')
def when_sound(context, limit):
    context.received = endraces.received_of(_SOUND[limit])


@when('an upstream of a stated start {how} in the middle of an answer')
def when_born(context, how):
    context.received = endraces.received_of(_ENDING[how], born=5)


@when('an upstream {how}, in the middle of an answer without upload')
def when_ends(context, how):
    context.received = endraces.received_of(_ENDING[how], upload=0)


@when('callers read nothing while their upstream is killed and replaced')
def when_read_late(context):
    context.late = {
        kind: endraces.read_late(route, 0.8) for kind, route in ROUTES.items()
    }


@when(
    'an upstream of {streams:d} streams and {others:d} pairs of other'
    ' connections is killed {kills:d} times'
)
def when_many(context, streams, others, kills):
    context.complete = endraces.complete_streams(streams, others, kills)


@then('each kind of caller has the whole answer')
def then_whole(context):
    whole = endraces.FIRST + endraces.REST
    for kind, got in context.received.items():
        assert (got.status, got.body) == (200, whole), (kind, got)


@then('no kind of caller has an answer that is complete')
def then_incomplete(context):
    for kind, got in context.received.items():
        assert got.status == 502 or got.body is None, (kind, got)


@then('no late caller has an answer that is complete')
def then_late(context):
    for kind, received in context.late.items():
        is_ended = received.endswith(b'\r\n0\r\n\r\n')
        assert not is_ended, (kind, len(received))


@then('none of the streams is complete')
def then_none(context):
    assert not context.complete, context.complete
