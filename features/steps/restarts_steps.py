"""Steps for streams at an upstream that starts again under its identifier."""

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.loop import collect_result, run_reactor_until
from features.builders.restarts import (
    FIRST_BORN,
    SECOND_BORN,
    RestartHost,
    document,
)
from pollenstile.forward import PlainCodec, UpstreamView
from pollenstile.forward._processes import Process, Processes
from pollenstile.origins import SoftwareHistory, VersionDoubts
from pollenstile.standin.exchanges import StubCall

_FIRST = b'first'
_OTHER = b'other'
_NAME = 'u/1000'
# More nested lists than a decoder follows.
_NESTED_BYTES = 60_000


@given('a host whose upstream tells its start time')
def given_host(context):
    context.host = RestartHost()
    context.add_cleanup(context.host.stop)
    context.tries = 0


@when('a stream breaks off there')
def when_breaks_off(context):
    context.host.begin(_FIRST)


@when(
    'a stream breaks off there, and the upstream is another process before the'
    ' host dials it'
)
def when_restarts(context):
    context.host.state_born(SECOND_BORN)
    context.host.begin(_FIRST)


@when(
    'a stream breaks off there, and the upstream answers a request for its'
    ' report with {answer}'
)
def when_answers(context, answer):
    if answer.startswith('status'):
        status = answer.removeprefix('status ')
        context.host.report = document(b'', f'{status} x'.encode())
    else:
        context.host.report = document(answer.encode())
    context.host.begin(_FIRST)


@when('the stream is taken up')
def when_taken_up(context):
    _take_up(context, _FIRST)


@when('the entry of the successor is read, of the same version')
def when_entry_read(context):
    context.host.write_entry(SECOND_BORN)


def _begin_reported(host, ident):
    """Let a stream break off once the report that it waits for was read."""
    reports = host.reports
    connection = host.open_stream(ident)
    run_reactor_until(lambda: host.reports > reports)
    run_reactor_until(lambda: host.is_noted(ident))
    host.break_off(connection)


@when('another stream begins there and breaks off')
def when_another(context):
    _begin_reported(context.host, _OTHER)


@when(
    'the upstream of the entry listens again, and the other stream is taken up'
)
def when_first_again(context):
    context.host.state_born(FIRST_BORN)
    _take_up(context, _OTHER)


@when(
    'an upstream of the listed version is added, and another stream breaks off'
    ' there at once'
)
def when_another_at_once(context):
    host = context.host
    host.begin(_OTHER)
    # It shares the address, so that its report states what its entry does.
    host.write_entry(SECOND_BORN, 'i2')


@when('a stream breaks off there, and its report is nested too deeply')
def when_nested(context):
    context.host.report = document(b'{"x":%s' % (b'[' * _NESTED_BYTES))
    context.host.begin(_FIRST)


@when('the other stream is taken up')
def when_other_taken_up(context):
    _take_up(context, _OTHER)


@given(
    'a host whose upstream tells its start time, and whose store does not answer'
)
def given_away(context):
    given_host(context)
    context.host.core.origins.history.is_fresh = _never


def _never():
    return False


@when('a stream begins there, and a report states the {start} start')
def when_begins(context, start):
    host = context.host
    host.state_born(FIRST_BORN if start == 'listed' else SECOND_BORN)
    _begin_reported(host, _FIRST)


@when(
    'the upstream of the entry listens again, and the first stream is taken up'
)
def when_listed_again(context):
    context.host.state_born(FIRST_BORN)
    _take_up(context, _FIRST)


def _take_up(context, resumes):
    context.tries += 1
    ident = b'%s-%d' % (resumes, context.tries)
    context.answer = context.host.take_up(ident, resumes)


def _is_refused(context):
    return context.answer.received.startswith(b'HTTP/1.1 503 ')


@then('the upstream gets no request of that stream, and its caller is refused')
@then('the stream does not go on')
def then_refused(context):
    assert not context.host.seen, context.host.seen
    assert _is_refused(context), context.answer.received


@then('the stream goes on there')
def then_goes_on(context):
    assert len(context.host.seen) == 1, context.host.seen
    assert b'id: 2' in context.answer.received, context.answer.received


@given('a host that asks an upstream for its report at second 1')
def given_asked(context):
    context.clock = Clock()
    history = SoftwareHistory(context.clock, lambda: True)
    context.history = history
    history.review()
    context.doubts = VersionDoubts(context.clock, history)
    context.clock.advance(1.0)
    context.asked_at = context.clock.seconds()


@when(
    'a connection to the upstream breaks at second 2, and the report states its'
    ' known start'
)
def when_broken(context):
    context.clock.advance(1.0)
    context.doubts.note_broken(_NAME)
    context.doubts.note_same(_NAME, context.asked_at)


@when('it is asked for its report at second 3, which states its known start')
def when_asked_again(context):
    context.clock.advance(1.0)
    context.doubts.note_same(_NAME, context.clock.seconds())


@when('the report states another start')
def when_another_start(context):
    context.doubts.note_followed(_NAME)


@then('its process is not known')
def then_not_known(context):
    assert not context.doubts.is_sure(_NAME)


@then('its process is known')
def then_known(context):
    assert context.doubts.is_sure(_NAME)


@then(
    'its version is in doubt after {seconds:d} seconds of contact with the store'
)
def then_in_doubt(context, seconds):
    for _ in range(seconds):
        context.clock.advance(1.0)
        context.history.review()
    assert context.doubts.is_doubtful(_NAME)


class _SilentClient:
    """A client whose calls are never answered."""

    def __init__(self):
        self.call = None
        self.calls = 0

    def send(self, address, method, target, headers, body):
        """Return a call without an answer."""
        self.calls += 1
        self.call = StubCall(address, headers)
        return self.call


@given('an upstream that accepts connections and answers nothing')
def given_silent(context):
    context.clock = Clock()
    history = SoftwareHistory(context.clock, lambda: True)
    context.client = _SilentClient()
    context.processes = Processes(
        context.clock,
        context.client,
        PlainCodec(),
        VersionDoubts(context.clock, history),
    )


@when('a host asks it for its report, and {seconds:g} seconds pass')
def when_asked(context, seconds):
    view = UpstreamView('u', 'a:1', 'd', born=FIRST_BORN)
    context.found = collect_result(context.processes.ask(view))
    assert not context.found
    context.clock.advance(seconds)


@then('its process is unknown, and the connection is closed')
def then_unknown(context):
    assert context.found == [Process.UNKNOWN], context.found
    assert context.client.call.cancelled


@when('{count:d} streams ask for its report, and {seconds:g} seconds pass')
def when_many_ask(context, count, seconds):
    view = UpstreamView('u', 'a:1', 'd', born=FIRST_BORN)
    asked = [context.processes.ask_now(view) for _ in range(count)]
    for _ in range(round(seconds * 10)):
        context.clock.advance(0.1)
    assert {one.result for one in asked} == {Process.UNKNOWN}, asked


@then('it was asked {count:d} times')
def then_asked(context, count):
    assert context.client.calls == count, context.client.calls
