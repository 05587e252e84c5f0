"""Steps for the timeout of connections to upstreams."""

from behave import given, then, when

from features.builders.forwardhost import ForwardHost
from features.builders.loop import advance_in_steps, run_reactor_until
from features.builders.stillhost import StillReactor
from pollenstile.forward import HttpClient
from pollenstile.forward._types import NotRun


@given('a forwarding host that connects to an upstream')
def given_connecting(context):
    _connect(context)


@given('a forwarding host that connects to an upstream that never accepts')
def given_unanswered(context):
    # The reactor is not iterated, so nothing of the connection is noticed.
    _connect(context)


def _connect(context):
    context.host = ForwardHost()
    context.add_cleanup(context.host.stop)
    context.host.reply = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    context.reactor = StillReactor()
    client = HttpClient(context.reactor)
    call = client.send(
        context.host.upstream_address, b'GET', b'/', [(b'host', b'h')], b''
    )
    context.add_cleanup(call.cancel)
    context.heads = []
    call.head.addCallback(context.heads.append)


@when('the host stands still for {seconds:g} s')
def when_still(context, seconds):
    context.reactor.clock.advance(seconds)


@when('then reads for {seconds:g} s')
def when_reads(context, seconds):
    run_reactor_until(lambda: context.heads)
    context.reactor.clock.advance(seconds)


@when('its clock goes on in steps of {step:g} s for {seconds:g} s')
def when_goes_on(context, step, seconds):
    advance_in_steps(context.reactor.clock, seconds, step)


@then('the connection to the upstream was opened')
def then_opened(context):
    head = context.heads[0]
    assert not isinstance(head, NotRun), head
    assert head.code == 200, head


@then('the connection to the upstream is {state}')
def then_state(context, state):
    if state == 'awaited':
        assert not context.heads, context.heads
        return
    assert isinstance(context.heads[0], NotRun), context.heads
    assert context.heads[0].reason == 'TimeoutError', context.heads
