"""Steps for the checks whether a process lives on after a close."""

from types import SimpleNamespace

from behave import given, then, when
from twisted.internet.defer import Deferred, succeed

from features.builders.closechecks import CloseStory
from pollenstile.forward._endcheck import end_check
from pollenstile.forward._processes import Process

# Time in which all checks end.
_END_SECONDS = 2.0
# Life of a witness that a server closes as it is idle.
_IDLE_SECONDS = 5.0


def _keep(story):
    """Let nothing happen."""


def _lose_at_once(story):
    story.lose_witness()


def _idle_out(story):
    story.advance(_IDLE_SECONDS)
    story.lose_witness()
    story.advance(_IDLE_SECONDS)


def _stop_to_listen(story):
    story.is_listening = False


def _idle_out_unheard(story):
    story.advance(_IDLE_SECONDS)
    story.is_listening = False
    story.lose_witness()
    story.is_listening = True
    story.advance(_IDLE_SECONDS)


def _turn_away(story):
    story.lose_witness()
    story.advance(0.5)


def _turn_away_and_stop(story):
    _turn_away(story)
    story.is_listening = False


def _fall_silent(story):
    story.is_reached = False


def _replace_while_paused(story):
    story.paused_at = story.reactor.seconds()
    story.lose_witness()
    story.advance(_IDLE_SECONDS)


def _pause(story):
    story.paused_at = story.reactor.seconds()
    story.advance(_IDLE_SECONDS)


_EVENTS = {
    'stays open': _keep,
    'ends with the answer': _lose_at_once,
    'is closed as it is idle': _idle_out,
    'stays open, and nobody listens': _stop_to_listen,
    'is closed as nobody listens': _idle_out_unheard,
    'is turned away': _turn_away,
    'is turned away, and nobody listens': _turn_away_and_stop,
    'stays open, and nothing is heard': _fall_silent,
    'is closed while the caller does not read': _replace_while_paused,
    'stays open while the caller does not read': _pause,
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
        context.story.closes.end('127.0.0.1:9')
    assert not context.story.closes.witnesses, context.story.closes.witnesses


@given('an upstream that states its start, and whose report shows {process}')
def given_report(context, process):
    processes = SimpleNamespace(ask_now=lambda view: succeed(Process(process)))
    context.confirm = end_check(
        SimpleNamespace(processes=processes),
        SimpleNamespace(born=1),
        SimpleNamespace(backpressure=SimpleNamespace(first_paused_at=None)),
    )


@then('a close is the end of its answer: {reached}, {unreached}')
def then_end(context, reached, unreached):
    results = [_confirmed(context, lives_on) for lives_on in (True, False)]
    expected = [word == 'yes' for word in (reached, unreached)]
    assert results == expected, results


def _confirmed(context, result):
    async def lives_on(paused_at):
        return result

    return Deferred.fromCoroutine(context.confirm(lives_on)).result
