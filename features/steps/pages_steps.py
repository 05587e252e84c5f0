"""Steps for pages that a host serves."""

from behave import given, then, when
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pollenstile.ops.pages import PageFactory

_REQUESTS = {
    'a GET': b'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n',
    'a GET of another path': b'GET /a/b?c HTTP/1.1\r\nHost: h\r\n\r\n',
    'a HEAD': b'HEAD / HTTP/1.1\r\nHost: h\r\n\r\n',
    'a POST with a body': (
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab'
    ),
    'a GET that fails': b'GET /fail HTTP/1.1\r\nHost: h\r\n\r\n',
    'a GET that closes': (
        b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    ),
    'too large a body': (
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n'
    ),
}


def _page(request):
    if request.path == b'/fail':
        raise RuntimeError
    return b'up'


@given('a page that answers "up" and fails for the path "/fail"')
def given_page(context):
    context.clock = Clock()
    context.factory = PageFactory(_page, context.clock)


@when('its connection receives {request}')
def when_received(context, request):
    context.transport = StringTransport()
    channel = context.factory.buildProtocol(None)
    channel.makeConnection(context.transport)
    channel.dataReceived(_REQUESTS[request])
    context.clock.advance(0)


@then('the answer has the status {status:d} and the body "{body}"')
def then_answer(context, status, body):
    head, _, content = context.transport.value().partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status), head
    if body != '*':
        assert content == body.encode(), content


@then('the answer has the status {status:d} and the body ""')
def then_empty_answer(context, status):
    then_answer(context, status, '')


@then('the connection of the page is {state}')
def then_connection(context, state):
    assert context.transport.disconnecting == (state == 'closed')
