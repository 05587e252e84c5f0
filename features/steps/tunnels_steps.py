"""Steps for connections to upstreams through a peer."""

import socket
from functools import partial

from behave import given, then, when
from twisted.internet.defer import succeed

from features.builders.forwardhost import CallerConnection, open_connection
from features.builders.loop import result_of, run_reactor_until
from features.builders.tunnels import HEAD, TunnelStory
from features.steps.cut_hosts_steps import is_served
from pollenstile.peer import Unanswered
from pollenstile.tunnel import OpenAnswer, OpenResult
from pollenstile.tunnel._messages import encode_answer

_NEXT_CONNECTIONS = 8


@given('a host that reaches its upstream through a peer')
def given_story(context):
    context.tunnel = TunnelStory()
    context.add_cleanup(context.tunnel.stop)


@when('the upstream sends "{text}" without framing and {end}')
def when_unframed(context, text, end):
    story = context.tunnel
    story.reply = b'%s\r\n%s' % (HEAD, text.encode())
    if end == 'closes its connection':
        story.after_reply = _close
    story.fetch()
    run_reactor_until(lambda: story.body)
    if end == 'resets its connection':
        story.upstream_connections[0].transport.abortConnection()
    if end == 'the process of the peer ends':
        for upstream_end in story.server.open_ends:
            upstream_end.host_end.transport.loseConnection()
    run_reactor_until(lambda: story.ends)


def _close(transport):
    transport.loseConnection()


@when('the peer leaves while the upstream answers a request')
def when_peer_leaves(context):
    story = context.tunnel
    story.reply = b'%s\r\nhalf' % HEAD
    story.fetch()
    run_reactor_until(lambda: story.body)
    story.server.leave()
    story.upstream_connections[0].transport.loseConnection()
    run_reactor_until(lambda: story.ends)


@when('the first of two peers is asked, and the other one leaves meanwhile')
def when_other_leaves(context):
    tunnels = context.tunnel.client.paths.tunnels
    tunnels.hosts['other'] = tunnels.hosts['peer']

    def ask(peer, subject, body, timeout, address):
        tunnels.hosts.clear()
        return succeed(Unanswered('ask', peer, 'lost'))

    tunnels.ask = ask


@then('the host learns that no peer reaches the upstream')
def then_learns(context):
    story = context.tunnel
    answer = result_of(story.client.paths.tunnels.open(story.address))
    assert answer.result is OpenResult.UNREACHABLE, answer


@when(
    'the first peer that is asked answers {first}, and the other one {second}'
)
def when_differ(context, first, second):
    tunnels = context.tunnel.client.paths.tunnels
    tunnels.hosts['other'] = tunnels.hosts['peer']
    context.answers = iter((first, second))
    context.answer_of = {}
    context.asked = []
    tunnels.ask = partial(_answer_in_turn, context)


def _answer_in_turn(context, peer, subject, body, timeout, address):
    """Answer as the next of the peers that are asked for the first time."""
    context.asked.append(peer)
    if peer not in context.answer_of:
        result = OpenResult(next(context.answers))
        context.answer_of[peer] = encode_answer(OpenAnswer(result))
    return succeed(context.answer_of[peer])


@then('the host learns that the upstream is {expected}')
def then_differ(context, expected):
    story = context.tunnel
    result = result_of(story.client.paths.tunnels.check(story.address))
    assert result is OpenResult(expected), result


@then('the next connection is opened by the other peer alone')
def then_alone(context):
    story = context.tunnel
    tunnels = story.client.paths.tunnels
    result_of(tunnels.open(story.address))
    _, other = context.asked
    # The order of the peers is drawn anew for each connection.
    for _ in range(_NEXT_CONNECTIONS):
        context.asked.clear()
        answer = result_of(tunnels.open(story.address))
        assert answer.result is OpenResult.OPENED, answer
        assert context.asked == [other], context.asked


@then('the peer opens no further connection')
def then_no_further(context):
    story = context.tunnel
    answer = result_of(story.client.paths.tunnels.open(story.address))
    assert answer.result is OpenResult.FULL, answer


@then('the answer through the peer ends as {how} after "{text}"')
def then_ends(context, how, text):
    assert context.tunnel.ends[0].value == how, context.tunnel.ends
    assert b''.join(context.tunnel.body) == text.encode()


@when('the upstream sends {size:d} bytes in chunks')
def when_large(context, size):
    story = context.tunnel
    story.reply = (
        b'%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n'
        % (
            HEAD,
            size,
            b'x' * size,
        )
    )
    context.size = size
    story.fetch()
    run_reactor_until(lambda: story.ends)


@then('the answer through the peer is complete')
def then_complete(context):
    assert context.tunnel.ends[0].value == 'whole'
    assert sum(map(len, context.tunnel.body)) == context.size


@when('the host gives up a request that the upstream does not answer')
def when_given_up(context):
    call = context.tunnel.send()
    run_reactor_until(lambda: context.tunnel.received)
    call.cancel()


@when('the host asks for a connection and does not pick it up')
def when_not_picked_up(context):
    story = context.tunnel
    answer = result_of(story.client.paths.tunnels.open(story.address))
    assert answer.result is OpenResult.OPENED
    run_reactor_until(lambda: story.upstream_connections)


@then("the upstream's connection ends, and the peer has none left")
def then_none_left(context):
    story = context.tunnel
    run_reactor_until(lambda: story.upstream_connections[0].ended)
    run_reactor_until(lambda: not story.server.open_ends)
    assert not story.server.waiting


@when("a stranger sends {what} to the peer's port")
def when_stranger(context, what):
    sent = {
        'a request': b'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
        'a wrong token': b'0' * 16,
        'nothing': b'',
    }[what]
    context.stranger = CallerConnection(sent)
    open_connection(context.tunnel.port.getHost().port, context.stranger)


@then("the peer closes the stranger's connection")
def then_closed(context):
    run_reactor_until(lambda: context.stranger.closed)


@then('the upstream got nothing from the stranger')
def then_nothing(context):
    assert not context.tunnel.upstream_connections


@when('the engine {fails} for all hosts, and {count:d} drafts are sent to each')
def when_engine_fails(context, fails, count):
    fleet = context.fleet
    address = fleet.addresses_of['engines']
    for host_reactor in fleet.reactors.values():
        host_reactor.refuses = fails == 'refuses'
        host_reactor.cut = {address}
    for name in fleet.daemons:
        for _ in range(count):
            assert not is_served(context, name)


@then('no path counts as lost, and no connection is opened for a peer')
def then_no_tunnels(context):
    events = {event for _, event, _ in context.fleet.logged}
    assert not events & {'path-lost', 'tunnel-opened'}, events


@when('the paths of host "{host}" are whole again')
def when_whole(context, host):
    context.fleet.reactors[host].cut = set()


@then('its drafts are served without a peer within {count:d}')
def then_direct(context, count):
    for _ in range(count):
        before = len(context.fleet.logged)
        assert is_served(context, context.host)
        events = {event for _, event, _ in context.fleet.logged[before:]}
        if 'tunnel-opened' not in events:
            break
    assert 'tunnel-opened' not in events


@when('the host opens a connection to the upstream itself')
def when_direct(context):
    story = context.tunnel
    story.client.paths.lost = {}
    context.call = story.send()
    run_reactor_until(lambda: story.received)


@then('it has no TCP_USER_TIMEOUT and no keep-alive')
def then_no_limits(context):
    transport = context.call.protocol.transport
    connection = transport.getHandle()
    limit = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert limit == 0, limit
    assert not connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    context.call.cancel()
