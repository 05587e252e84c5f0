"""Steps for upstreams that leave and end with an answer or within one."""

from behave import given, then, when

from features.builders import plannedexits
from features.builders.framing import split_answer
from features.builders.loop import advance_in_steps
from features.builders.plannedexits import JudgedExit

# Seconds in which the platform removes the entry of a process that is silent,
# and a time for which upstreams serve on that no scenario reaches.
_LAPSE_SECONDS = 2.4
_LONG_SECONDS = 60.0
_KILLED = 'that leaves is killed within an answer'
_WAYS = {
    f'{_KILLED}, and its entry stays': {'removal': None},
    f'{_KILLED}, and its entry lapses': {'removal': _LAPSE_SECONDS},
    f'{_KILLED} before its time': {'leave_seconds': _LONG_SECONDS},
    f'{_KILLED} beside a disturbance': {'is_store_disturbed': True},
    f'{_KILLED} that is read through a peer': {
        'removal': _LAPSE_SECONDS,
        'path': 'through a peer',
    },
    'that says nothing is killed within an answer, and its entry is removed': {
        'states': False,
    },
}


@when('a process that leaves exits with its last answer, read {path}')
def when_exits(context, path):
    context.received = plannedexits.received_by_kind('exits', path=path)


@when(
    'a process that leaves is killed within two answers, and its entry is'
    ' removed'
)
def when_two(context):
    context.two = plannedexits.received_by_two('is killed')


@when('a process that {how}')
def when_ends(context, how):
    options = _WAYS[f'that {how}']
    context.received = plannedexits.received_by_kind('is killed', **options)


@then('each kind of its callers gets the whole answer')
def then_whole(context):
    for kind, got in context.received.items():
        assert (got.status, got.body) == (200, plannedexits.WHOLE), (kind, got)


@then('no kind of its callers gets an answer that is complete')
def then_incomplete(context):
    for kind, got in context.received.items():
        assert got.status == 502 or got.body is None, (kind, got)


@then('neither of them is complete')
def then_neither(context):
    for kind, both in context.two.items():
        for received in both:
            head, _, is_complete = split_answer(received)
            assert b' 502 ' in head or not is_complete, (kind, received)


@given('an upstream that has said for {seconds:d} seconds that it leaves')
def given_leaving(context, seconds):
    context.exit = JudgedExit()
    context.exit.clock.advance(seconds)


@when('it closes its last connection, and {sign}')
def when_closes(context, sign):
    context.exit.close(sign)


@then('it counts as {judged}')
def then_judged(context, judged):
    advance_in_steps(context.exit.clock, 3)
    assert context.exit.results == [judged == 'left'], context.exit.results
