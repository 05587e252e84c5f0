"""Steps for the links of the live soak, over the loopback."""

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory, Protocol

from features.builders.loop import result_of, run_reactor_until
from features.builders.soaklinks import (
    Link,
    listen_for_others,
    unread_bytes,
)
from pollenstile.ops.unsent import is_reset
from pollenstile.soak.live._loopback import LOOPBACK
from pollenstile.soak.live._proxy import Proxy

_UPLOAD = bytes(1000)


@given('a link of the live soak to a server')
def given_link(context):
    context.link = Link()
    context.add_cleanup(context.link.stop)


@when(
    'its caller has "{text}" of an answer and the server {ends} the connection'
)
def when_server_ends(context, text, ends):
    context.link.send(text.encode())
    server = context.link.factory.ends[-1].transport
    if ends == 'resets':
        server.abortConnection()
    else:
        server.loseConnection()


@when('its caller, which stays open, has "{text}" of an answer')
def when_stays_open(context, text):
    context.link.send(text.encode(), stays_open=True)


@when('the server closes its sending side')
def when_server_half_closes(context):
    server = context.link.factory.ends[-1].transport
    server.loseWriteConnection()


@when('the server closes the connection without reading what the caller sends')
def when_closes_unread(context):
    server = context.link.factory.ends[-1].transport
    server.pauseProducing()
    context.link.caller.transport.write(_UPLOAD)
    run_reactor_until(lambda: unread_bytes(server.socket) == len(_UPLOAD))
    server.loseConnection()


@when("the server's process is killed")
def when_killed(context):
    context.address = context.link.proxy.address
    result_of(context.link.proxy.kill_server())


@then('the server gets what the caller sends after that')
def then_server_gets(context):
    context.link.caller.transport.write(_UPLOAD)
    server = context.link.factory.ends[-1]
    run_reactor_until(lambda: server.received == _UPLOAD)


@then('the caller sees that it is reset after that')
def then_reset_after(context):
    run_reactor_until(lambda: is_reset(context.link.caller.transport))


@when('its caller has "{text}" of an answer and the link is {state}')
def when_link_is(context, text, state):
    link = context.link
    link.send(text.encode())
    if state == 'silent':
        link.proxy.silence()
    elif state == 'blocked':
        link.proxy.block('server', 'caller')
        link.factory.ends[-1].transport.write(b'rest')
        run_reactor_until(
            lambda: any(each.held for each in link.proxy.connections)
        )


@when('the server resets the connection before its answer is delivered')
def when_reset_before(context):
    link = context.link
    link.factory.ends[-1].transport.abortConnection()
    run_reactor_until(
        lambda: any(each.closing for each in link.proxy.connections)
    )


@when('the server resets the connection before the link is sound again')
def when_reset_behind(context):
    when_reset_before(context)
    context.link.proxy.heal()


@then(
    'the caller has the "{text}" of the answer and sees its connection {seen}'
)
def then_has_and_sees(context, text, seen):
    caller = context.link.caller
    run_reactor_until(lambda: caller.ended)
    assert caller.received == text.encode(), caller.received
    assert caller.ended == seen, caller.ended


@when('the caller closes its connection')
def when_closes(context):
    context.link.caller.transport.loseConnection()
    run_reactor_until(lambda: context.link.caller.ended)


@when('the link has {target} and a caller connects')
def when_connects(context, target):
    link = context.link
    if target == 'no server':
        link.proxy.target = None
    elif target.startswith('an ended server'):
        link.proxy.may_refuse = target.endswith('told to end')
        link.end_server()
    link.connect()
    context.port = link.caller.transport.getHost().port


@when('its server is up again')
def when_up_again(context):
    link = context.link
    run_reactor_until(lambda: link.caller.ended)
    link.proxy.target = (LOOPBACK, link.server_port.getHost().port)


@then('the caller sees its connection {seen}')
def then_sees(context, seen):
    run_reactor_until(lambda: context.link.caller.ended)
    assert context.link.caller.ended == seen, context.link.caller.ended


@then("the link knows that the caller's end is closed")
def then_known(context):
    run_reactor_until(lambda: context.link.known_ends)


@then("the link knows at any time that the caller's end is closed")
def then_known_later(context):
    run_reactor_until(lambda: context.link.known_ends)
    server = context.link.factory.ends[-1]
    port = server.transport.getPeer().port
    connection = context.link.proxy.connection_from(port)
    assert not connection.is_caller_open


@then('the link finds the connection of the next caller')
def then_found(context):
    link = context.link
    link.connect()
    run_reactor_until(lambda: len(link.factory.ends) == 2)
    port = link.factory.ends[-1].transport.getPeer().port
    connection = link.proxy.connection_from(port)
    caller = link.caller.transport.getHost().port
    assert connection.caller.transport.getPeer().port == caller


@then("the link knows that the caller's end is open")
def then_open(context):
    assert not context.link.known_ends
    assert not context.link.caller.ended


@then('its connection counts as {state}')
def then_counts(context, state):
    link = context.link
    if state == 'read':
        run_reactor_until(lambda: link.factory.ends)
    else:
        run_reactor_until(lambda: link.caller.ended)
    assert (context.port in link.proxy.refused) == (state == 'refused')


@given('a link of the live soak that has closed')
def given_closed(context):
    proxy = Proxy(reactor)
    context.address = proxy.address
    result_of(proxy.close())


@when('a server of another run listens at its port')
def when_port_taken(context):
    port = listen_for_others(context.address[1])
    if port is not None:
        context.add_cleanup(port.stopListening)


@then('nobody accepts a connection to the link')
def then_nobody(context):
    link = TCP4ClientEndpoint(reactor, *context.address)
    accepted = link.connect(Factory.forProtocol(Protocol))
    accepted.addCallback(lambda end: end.transport.abortConnection())
    try:
        result_of(accepted)
    except ConnectionRefusedError:
        return
    raise AssertionError(context.address)
