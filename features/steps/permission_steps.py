"""Steps for what upstreams state about further requests."""

from random import Random

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.forward import IDENT
from pollenstile.permission import build_permissions
from pollenstile.statements import Statements

_NAME = 'i/1'
_DATE = 'Wed, 21 Oct 2026 07:28:00 GMT'


def _note(context, status, **fields):
    statements = Statements(status, **fields)
    context.permissions.note_answer(_NAME, 'desk', statements)


def _count(context, event):
    return [name for name, _ in context.lines].count(event)


@given('the permissions of a host')
def given_permissions(context):
    context.clock = Clock()
    context.lines = []

    def log(event, level='info', **fields):
        context.lines.append((event.name, fields))

    context.permissions = build_permissions(
        context.clock, Random(1), peers={}, log=log
    )


@when('an answer states leaving with "{header}"')
def when_states_leaving(context, header):
    _note(context, 200, leaving=(header,))


@when('{count:d} answers state leaving with "{header}"')
def when_states_leaving_often(context, count, header):
    for _ in range(count):
        _note(context, 200, leaving=(header,))


@when('an answer {status:d} asks for rest with "{header}"')
def when_asks(context, status, header):
    _note(context, status, rests=(header,), date=_DATE)


@when('an answer 503 without a date asks for rest with "{header}"')
def when_asks_without_date(context, header):
    _note(context, 503, rests=(header,))


@when('{seconds:g} seconds pass for the permissions')
def when_pass(context, seconds):
    context.clock.advance(seconds)


@then('it is known that its upstream leaves')
def then_leaves(context):
    assert context.permissions.withdrawn(_NAME).reason == 'leaving'


@then('it is not known that its upstream leaves')
def then_stays(context):
    assert context.permissions.withdrawn(_NAME) is None


@then('its upstream rests for {seconds:g} seconds')
def then_rests(context, seconds):
    now = context.clock.seconds()
    left = max(0.0, context.permissions.rests.until(_NAME) - now)
    if not seconds:
        assert not left, left
        return
    # A host comes back by up to a tenth of the time later than it was asked to.
    assert seconds <= left <= seconds + 0.3, left


@then('one line "{event}" tells of it')
def then_one_line(context, event):
    assert _count(context, event) == 1, context.lines


@when(
    'the upstream of forwarded send 0 turns it away, leaves, and asks for'
    ' {seconds:g} seconds of rest'
)
def when_turned_away(context, seconds):
    call = context.story.calls[0]
    call.answer(503, not_run='1', leaving='1', rest=f'{seconds:g}')


@then(
    'lines tell that this upstream leaves, and that it rests for {seconds:g}'
    ' seconds'
)
def then_lines(context, seconds):
    story = context.story
    peer = story.lines('forwarded')[0]['peer']
    leaving = story.lines('upstream-states-leaving')
    resting = story.lines('upstream-resting')
    assert [line['peer'] for line in leaving] == [f'{peer}/0'], leaving
    asked_by = [line['request'] for line in (*leaving, *resting)]
    assert asked_by == [IDENT, IDENT], asked_by
    assert [line['asked_ms'] for line in resting] == [1000 * seconds], resting


@then(
    "each send's line tells whether its upstream was known to want no requests"
)
def then_sends(context):
    sends = context.story.lines('forwarded')
    assert len(sends) == 2, sends
    assert sends[0]['peer'] != sends[1]['peer'], sends
    assert [send['blocked'] for send in sends] == ['', ''], sends


@then('its next incarnation may be sent to')
def then_next_free(context):
    assert context.permissions.block(_NAME).reason == 'resting'
    assert context.permissions.block('i/2') is None
