"""Steps for callers' connections to a forwarding host."""

from dataclasses import replace

from behave import given, then, when

from features.builders.forwardhost import ForwardHost, request
from features.builders.framing import split_answer
from features.builders.loop import run_reactor_until
from pollenstile.routes import Limits

_ECHOED_HEADERS = b'X-Attempt: a1\r\nX-Proof: p\r\n'
_SMALL = Limits(
    header_bytes=2000,
    body_bytes=1000,
    header_seconds=0.05,
    idle_seconds=15,
)


def _host(context, reply, limits=None):
    context.host = ForwardHost(limits or _SMALL)
    context.host.reply = reply
    context.add_cleanup(context.host.stop)


def _reply(body, status=b'200 OK'):
    head = b'HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s'
    return head % (status, _ECHOED_HEADERS, len(body), body)


@given('a forwarding host whose upstream answers "{text}"')
def given_host(context, text):
    _host(context, _reply(text.encode()))


@given('a forwarding host whose upstream answers 500 without a body')
def given_empty(context):
    _host(context, _reply(b'', b'500 Failed'))


@given('a forwarding host whose upstream answers "{text}" without a length')
def given_no_length(context, text):
    _host(
        context,
        b'HTTP/1.1 200 OK\r\n%s\r\n%s' % (_ECHOED_HEADERS, text.encode()),
    )
    context.host.closes = True


@given('a forwarding host whose upstream answers "{text}" and a second answer')
def given_second_answer(context, text):
    replies = (_reply(text.encode()), _reply(b'another'))
    _host(context, b''.join(replies))


@given(
    "a forwarding host whose upstream answers {status:d} on a stream's route"
)
def given_bodiless(context, status):
    framing = b'' if status == 204 else b'Content-Length: 0\r\n'
    head = b'HTTP/1.1 %d X\r\n%s%s\r\n' % (status, _ECHOED_HEADERS, framing)
    _host(context, head)


@given('a forwarding host without a configuration')
def given_none(context):
    _host(context, b'')
    context.host.configuration.table = None


@when('a caller sends "{target}" with its own team header')
def when_sends(context, target):
    extra = b'X-Team: other\r\nX-Incarnation: i9\r\n'
    sent = request(target.encode(), extra)
    context.connection = context.host.exchange_whole(sent)


@when('a caller sends two requests on one connection')
def when_two(context):
    connection = context.host.exchange_whole(request())
    context.connection = connection
    context.first = connection.received
    connection.received = b''
    connection.transport.write(request())
    run_reactor_until(lambda: split_answer(connection.received)[-1])


@given('its configuration may be outdated')
def given_outdated(context):
    context.host.configuration.current = False


@when('a caller sends a request with {fault}')
def when_fault(context, fault):
    large = b'X-Large: %s\r\n' % (b'x' * 3000)
    smuggled = b'Transfer-Encoding: chunked\r\n'
    if fault == 'an unverified key':
        context.host.configuration.verified = False
    sent = {
        'two lengths': request(extra=b'Content-Length: 3\r\n', body=b'abcd'),
        'a length and chunks': request(extra=smuggled, body=b'0\r\n\r\n'),
        'a space before a colon': request(extra=b'X-Odd : 1\r\n'),
        'a bare line feed': request(extra=b'X-Odd\n: 1\r\n'),
        'headers that are too large': request(extra=large),
        'a body that is too large': request(body=b'x' * 2000),
        'a head that never ends': b'POST /a/ HTTP/1.1\r\nHost:',
        'an unknown path': request(b'/b/'),
        'an unknown key': request(key='wrong'),
        'no attempt header': request().replace(b'X-Attempt: a1\r\n', b''),
    }
    context.connection = context.host.exchange(sent.get(fault, request()))


@when('the forwarding host leaves')
def when_leaves(context):
    context.host.factory.leave()


@when('the forwarding host refuses new requests')
def when_refuses(context):
    context.host.factory.refusing = True


def _status(connection):
    return int(connection.received.split(b' ', 2)[1])


@then('it gets {status:d}, and the upstream ran {count:d} request')
def then_ran(context, status, count):
    assert _status(context.connection) == status, context.connection.received
    assert len(context.host.seen) == count, context.host.seen


@then('it gets {status:d} with "{text}"')
def then_gets(context, status, text):
    _then_body(context, status, text.encode())


@then('it gets {status:d} with ""')
def then_gets_empty(context, status):
    _then_body(context, status, b'')


def _then_body(context, status, body):
    connection = context.connection
    assert _status(connection) == status, connection.received
    _, content, is_complete = split_answer(connection.received)
    assert is_complete and content == body, connection.received


@then('each gets 200 with "{text}" and nothing else')
def then_each(context, text):
    for received in (context.first, context.connection.received):
        assert received.startswith(b'HTTP/1.1 200'), received
        _, content, is_complete = split_answer(received)
        assert is_complete and content == text.encode(), received


@then('the upstream received "{target}", the team "{team}" and no key')
def then_received(context, target, team):
    seen = context.host.seen[0]
    assert seen.startswith(b'POST %s HTTP/1.1\r\n' % target.encode()), seen
    assert b'X-Team: %s\r\n' % team.encode() in seen, seen
    assert seen.count(b'X-Team') == 1, seen
    assert b'X-Incarnation: i1\r\n' in seen, seen
    assert b'secret' not in seen, seen


@then('it gets {status:d} and its connection is closed')
def then_status_ends(context, status):
    assert _status(context.connection) == status, context.connection.received
    then_ends(context)


@then('its connection is closed')
def then_ends(context):
    connection = context.connection
    run_reactor_until(lambda: connection.closed)


@then('it gets {status:d} and its connection stays open')
def then_status_stays(context, status):
    assert _status(context.connection) == status, context.connection.received
    assert b'onnection: close' not in context.connection.received
    assert not context.connection.closed


@then('the upstream received nothing')
def then_received_nothing(context):
    assert not context.host.seen, context.host.seen


@given('a caller who has had an answer on a connection that it keeps')
def given_kept(context):
    context.connection = context.host.exchange(request(), until=b'well')


def _change_limits(context, factor):
    configuration = context.host.configuration
    before = configuration.table.limits
    limits = replace(
        before,
        header_bytes=before.header_bytes * factor,
        body_bytes=int(before.body_bytes * factor),
    )
    configuration.table = replace(configuration.table, limits=limits)


def _send_kept(context, sent):
    connection = context.connection
    connection.received = b''
    connection.transport.write(sent)
    run_reactor_until(lambda: b'\r\n\r\n' in connection.received)


@when(
    'the limits are raised, and it sends a request with headers of {size:d} bytes'
    ' there'
)
def when_raised_headers(context, size):
    _change_limits(context, 4)
    _send_kept(context, request(extra=b'X-Long: %s\r\n' % (b'x' * size)))


@when(
    'the limits are {change}, and it sends a request with a body of {size:d} bytes'
    ' there'
)
def when_changed_body(context, change, size):
    _change_limits(context, 4 if change == 'raised' else 0.5)
    _send_kept(context, request(body=b'x' * size))
