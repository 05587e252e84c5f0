"""Steps of the checks of a live soak, on records made by hand."""

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.testing import StringTransport
from twisted.web._newclient import Request
from twisted.web.http_headers import Headers

from features.builders.soundrecords import (
    add_earlier,
    add_fault,
    add_run,
    add_silence,
    cold_records,
    cut_off_records,
    overload,
    records_of,
)
from pollenstile.soak.live._callers import PersistentConnection
from pollenstile.soak.live._checks import find_violations
from pollenstile.soak.live._sound import count_sound


@given(
    'a request that ended "{end}" after {seconds:g} s at an upstream that stood'
    ' still'
)
def given_request(context, end, seconds):
    status = int(end) if end.isdigit() else 200
    context.records = records_of(
        status, seconds, complete=end == 'answered', body=b'busy\n'
    )
    add_run(context.records, 0, 0.0, 0.2)
    add_silence(context.records, 0, 0.2, seconds - 0.1)


@given(
    'a request that ended "{status:d}" after {seconds:g} s and reached no'
    ' upstream'
)
def given_unread(context, status, seconds):
    context.records = records_of(status, seconds)


@given('runs of a request from 0 to {first:g} s and from 1 to {second:g} s')
def given_runs(context, first, second):
    context.records = records_of(seconds=3.0, complete=True)
    add_run(context.records, 0, 0.0, first)
    add_run(context.records, 1, 1.0, second)


@when('"{fault}" struck "{subject}" meanwhile')
def when_struck(context, fault, subject):
    add_fault(context.records, subject, fault)


@when('its connection was taken by {taker}')
def when_taken(context, taker):
    context.records.requests[0].is_unread = taker == 'no process'


@then('the checks of the answers report "{text}"')
def then_reported(context, text):
    found = ' '.join(find_violations(context.records)) or 'nothing'
    assert found == text, found


@when('its upstream stands still again and never goes on')
def when_hangs(context):
    add_silence(context.records, 0, 1.95)


@when("the first one's upstream stands still from {still:g} to {on:g} s")
def when_stands_still(context, still, on):
    add_silence(context.records, 0, still, on)


@when('the request also runs at a third upstream')
def when_third(context):
    add_run(context.records, 2, 2.5, 2.6)


def _assert_counted(counts, expected):
    found = ' '.join(counts) or 'nothing'
    assert found == expected, found


@then('the checks of the soak count "{expected}" as lost')
def then_lost(context, expected):
    counts = count_sound(context.records)
    _assert_counted(counts.lost, expected)
    assert len(counts.lines) == counts.lost.total()


@then('the checks of the soak count "{expected}" as refused')
def then_refused(context, expected):
    _assert_counted(count_sound(context.records).refused, expected)


@then('the checks of the soak count "{expected}" runs')
def then_runs(context, expected):
    _assert_counted(count_sound(context.records).runs, expected)


@given('{count:d} requests that reached a cold engine')
def given_cold(context, count):
    context.records = cold_records(count)


@when('{event} {seconds:g} s before that')
def when_earlier(context, event, seconds):
    add_earlier(context.records, event, seconds)


@when('nothing happened before that')
def when_nothing(context):
    """Leave the records as they are."""


@given('{count:d} requests without an answer on {connections} connections')
def given_cut_off(context, count, connections):
    is_first = connections == 'new'
    context.records = cut_off_records(count, is_first=is_first)


@when('their host was overloaded {when}, and says that it closed {count:d}')
def when_overloaded(context, when, count):
    overload(context.records, {'meanwhile': -1.0, 'later': 5.0}[when], count)


@when('their host closed {before:d} in one overload and {count:d} meanwhile')
def when_twice(context, before, count):
    overload(context.records, -1.0, count, before)


@given('a caller of a live soak that has an answer with "{fields}"')
def given_answered(context, fields):
    context.connection = PersistentConnection(Deferred())
    context.connection.makeConnection(StringTransport())
    sent = Request(b'GET', b'/', Headers({b'host': [b'h']}), None, True)
    answered = context.connection.request(sent)
    answered.addCallback(lambda response: response.deliverBody(Protocol()))
    head = b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n%s\r\n\r\nno'
    context.connection.dataReceived(head % fields.encode())


@then('the connection of the caller {state}')
def then_connection(context, state):
    assert context.connection.is_closing() == (state == 'is closing')
