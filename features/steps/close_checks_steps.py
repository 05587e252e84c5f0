"""Steps for the checks whether a process lives on after a close."""

from types import SimpleNamespace

from behave import given, then, when
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionLost

from features.builders.closechecks import ADDRESS, CloseStory
from pollenstile.forward import HeaderNames, PlainCodec
from pollenstile.forward._endcheck import end_check, question_for
from pollenstile.forward._processes import Process

# Time in which all checks end.
_END_SECONDS = 2.0
# Life of a witness that a server closes as it is idle.
_IDLE_SECONDS = 5.0
_SOON_SECONDS = 0.5
_STEP_SECONDS = 0.05
_ANSWER = b'HTTP/1.1 404 Not Found'


def _keep(story):
    """Let nothing happen."""


def _stop_to_listen(story):
    story.is_listening = False


def _fall_silent(story):
    story.is_reached = False


def _answer_nothing(story):
    story.answer = b''


def _misdirect(story):
    story.answer = b'HTTP/1.1 421 Misdirected Request'


def _reset(story):
    story.answer = None


def _close(story):
    story.lose_witness()


def _idle_out(story):
    story.advance(_IDLE_SECONDS)
    story.lose_witness()
    story.advance(_IDLE_SECONDS)


def _idle_out_unheard(story):
    story.advance(_IDLE_SECONDS)
    _stop_to_listen(story)
    story.lose_witness()
    story.advance(_IDLE_SECONDS)


def _turn_away(story):
    story.lose_witness(ConnectionLost)
    story.advance(_SOON_SECONDS)


def _turn_away_unheard(story):
    _turn_away(story)
    _stop_to_listen(story)


def _pause(story):
    story.late_since = story.reactor.seconds()
    story.advance(_IDLE_SECONDS)


def _close_while_paused(story):
    story.late_since = story.reactor.seconds()
    story.advance(_SOON_SECONDS)
    story.lose_witness()
    story.advance(_IDLE_SECONDS)


_EVENTS = {
    'answers': _keep,
    'answers, and nobody listens': _stop_to_listen,
    'is open and does not answer': _answer_nothing,
    'is open and unheard': _fall_silent,
    'is reset as it is asked': _reset,
    'leads to another process': _misdirect,
    'ends with the answer': _close,
    'is closed as it is idle': _idle_out,
    'is closed as nobody listens': _idle_out_unheard,
    'is turned away': _turn_away,
    'is turned away, and nobody listens': _turn_away_unheard,
    'answers, and the caller reads late': _pause,
    'is closed while the caller reads late': _close_while_paused,
}


@given('an answer that ends with its connection')
def given_answer(context):
    context.story = CloseStory()
    context.story.begin()


@when('its witness {event}')
def when_event(context, event):
    _EVENTS[event](context.story)


@when('its connection is closed')
def when_closed(context):
    context.story.close()
    context.story.advance(_END_SECONDS)


@when('{count:d} answers of one upstream end at the same moment')
def when_many(context, count):
    for _ in range(count - 1):
        context.story.begin()
    context.story.close(count)
    context.story.advance(_END_SECONDS)


@when(
    'its connection is closed, and another answer begins before it is confirmed'
)
def when_begins(context):
    story = context.story
    story.answer = b''
    story.close()
    story.advance(_STEP_SECONDS)
    story.answer = _ANSWER
    story.begin()
    story.advance(_END_SECONDS)


@when('that one is closed as nobody listens any more')
def when_deaf(context):
    context.story.is_listening = False
    context.story.close()
    context.story.advance(_END_SECONDS)


@then('both answers count as ended by their upstream')
def then_both(context):
    assert len(context.story.results) == 2, context.story.results
    assert all(context.story.results), context.story.results


@then('its upstream counts as {state}')
def then_state(context, state):
    expected = {'alive': True, 'ended': False}[state]
    assert context.story.results == [expected], context.story.results


@then('{count:d} answers are confirmed by {most:d} connections or fewer')
def then_shared(context, count, most):
    story = context.story
    assert len(story.results) == count, story.results
    assert all(story.results), story.results
    assert story.opened <= most, story.opened


@then('no witness is left once {count:d} answers are over')
def then_none_left(context, count):
    for _ in range(count):
        context.story.closes.end(ADDRESS)
    assert not context.story.closes.witnesses, context.story.closes.witnesses


@given('an upstream without a witness, whose report shows {process}')
def given_report(context, process):
    processes = SimpleNamespace(ask_now=lambda view: succeed(Process(process)))
    pauses = SimpleNamespace(late_since=lambda: None)
    context.confirm = end_check(
        SimpleNamespace(processes=processes),
        SimpleNamespace(born=1, ident='i'),
        SimpleNamespace(backpressure=SimpleNamespace(pauses=pauses)),
        lambda: True,
    )


@then('a close is the end of its answer: {answered}, {unanswered}')
def then_end(context, answered, unanswered):
    results = [_confirmed(context, answers) for answers in (True, False)]
    expected = [word == 'yes' for word in (answered, unanswered)]
    assert results == expected, results


def _confirmed(context, answers):
    connection = SimpleNamespace(
        is_answered_twice=bool,
        witnessed=lambda late_since, ident: succeed(None),
        answers_anew=lambda ident: succeed(answers),
        left_in_order=lambda ident: succeed(False),
        note_proven=bool,
    )
    return Deferred.fromCoroutine(context.confirm(connection)).result


@given('{first} and then {second} at one address')
def given_listed(context, first, second):
    idents = [ident for ident in (first, second) if ident != 'nobody']
    upstreams = {
        ident: SimpleNamespace(ident=ident, address=ADDRESS) for ident in idents
    }
    context.core = SimpleNamespace(
        codec=PlainCodec(),
        names=HeaderNames(),
        registry=SimpleNamespace(upstreams=upstreams),
    )


@then('a host that has sent to "{ident}" asks for "{expected}"')
def then_asks(context, ident, expected):
    known = '' if ident == 'an unknown one' else ident
    headers = dict(question_for(context.core, ADDRESS, known).headers)
    asked = headers.get(HeaderNames().expect, b'any').decode()
    assert asked == expected, headers
