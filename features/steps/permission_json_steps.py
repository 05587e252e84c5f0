"""Steps for upstreams of the JSON interface that ask for rest."""

from behave import given, then, when

from features.builders.permission import listen_turning_away
from features.builders.requests import World, requests_manifest
from pollenstile.outcomes import Refused
from pollenstile.statements import Statements
from pollenstile.upstream import NotRun


def _json_world(context, names, seconds):
    context.json = World(requests_manifest())
    statements = Statements(503, rests=(f'{seconds:g}',))
    for name in names:
        context.json.node.core.permissions.note_named(name, statements)


@given(
    'requests to the JSON interface, one of its encoders asking for {seconds:g}'
    ' seconds of rest'
)
def given_one(context, seconds):
    _json_world(context, ['encoder-1'], seconds)


@given(
    'requests to the JSON interface, all encoders asking for {seconds:g}'
    ' seconds of rest'
)
def given_all(context, seconds):
    _json_world(context, ['encoder-1', 'encoder-2'], seconds)


@then('the resting encoder gets no call')
def then_none(context):
    assert 'encoder-1' not in context.json.called_names


@when(
    '{pause:g} seconds pass, and {count:d} JSON requests arrive in {seconds:g}'
    ' seconds'
)
def when_later(context, pause, count, seconds):
    context.json.wait(pause)
    for _ in range(count):
        context.json.send('find')
        context.json.wait(seconds / count)


@then('the resting encoder gets calls')
def then_some(context):
    assert 'encoder-1' in context.json.called_names


@then(
    'it is refused as not run, for "{reason}", with at least {seconds:g} seconds'
    ' to wait'
)
def then_refused(context, reason, seconds):
    outcome = context.json.sent[0].outcome
    assert isinstance(outcome, Refused), outcome
    assert outcome.reason == reason, outcome
    assert outcome.retry_after >= seconds, outcome


@given(
    'an HTTP upstream that turns calls away and asks for {seconds:g} seconds of'
    ' rest'
)
def given_http(context, seconds):
    context.port = listen_turning_away(seconds)


@then(
    'the call has not run, and {seconds:g} seconds of rest are noted for that'
    ' upstream'
)
def then_http(context, seconds):
    _, event = context.caller.ends[0]
    assert isinstance(event, NotRun), event
    assert event.retry_after == seconds, event
    asked = [statements.rests for statements in context.caller.statements]
    assert asked == [(f'{seconds:g}',)], asked
