"""Steps for the turns of identical requests."""

from behave import given, then, when
from twisted.internet.defer import CancelledError
from twisted.internet.task import Clock

from pollenstile.forward import Copies
from pollenstile.quarantine import Quarantine, Suspect

_FINGERPRINT = 'f1'


@given('a host that sends copies of a request, of which the first has its turn')
def given_first(context):
    context.clock = Clock()
    context.quarantine = Quarantine(context.clock, 'h', lambda service: 9)
    context.copies = Copies(context.clock, context.quarantine)
    assert context.copies.turn(_FINGERPRINT, 1.0).called


@when('{count:d} more copies wait at most {seconds:g} seconds')
def when_wait(context, count, seconds):
    context.turns = []
    context.waiting = []
    for _ in range(count):
        turn = context.copies.turn(_FINGERPRINT, seconds)
        turn.addCallback(context.turns.append)
        context.waiting.append(turn)
    assert not context.turns


@when('the first copy ends')
def when_ends(context):
    context.copies.end_turn(_FINGERPRINT)


@when('an upstream begins to answer')
def when_begins(context):
    context.copies.note_begun(_FINGERPRINT)


@when('an upstream crashes that ran the request')
def when_crashes(context):
    context.quarantine.note_crash('i1/0', 's', (Suspect(_FINGERPRINT),))


@when('{seconds:g} seconds pass for the copies')
def when_pass(context, seconds):
    context.clock.advance(seconds)


@when('the caller of the next copy leaves')
def when_leaves(context):
    leaving = context.waiting[0]
    leaving.cancel()
    leaving.addErrback(_trap_cancelled)


def _trap_cancelled(failure):
    failure.trap(CancelledError)


@then('{count:d} of the waiting copies has its turn')
@then('{count:d} of the waiting copies have their turn')
def then_turns(context, count):
    assert len(context.turns) == count, context.turns


@when('all copies have ended')
def when_all_end(context):
    for _ in context.turns:
        context.copies.end_turn(_FINGERPRINT)


@then('nothing is kept of them')
def then_nothing(context):
    assert not context.copies.running
    assert not context.copies.waiting
    assert not context.clock.getDelayedCalls()
