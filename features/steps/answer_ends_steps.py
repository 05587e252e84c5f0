"""Steps for answers that end with the connection or the process."""

import socket
import struct

from behave import then, when

from features.builders import answerends
from features.builders.forwardhost import request
from features.builders.loop import run_reactor_until

_CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Proof: p\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_LAST_CHUNK = b'0\r\n\r\n'
_LINGER = 'ii'


@when('an upstream {how} in the middle of an answer that is read {path}')
def when_middle(context, how, path):
    context.results = answerends.received_by_kind(how, path)


@when('an upstream {how}, which is read {path}')
def when_end(context, how, path):
    context.results = answerends.received_by_kind(how, path)


@then('no kind of caller gets an answer that is complete')
def then_incomplete(context):
    for kind, got in context.results.items():
        assert got.status == 502 or got.body is None, (kind, got)


@then('each kind of caller gets the whole answer')
def then_whole(context):
    for kind, got in context.results.items():
        assert (got.status, got.body) == (200, answerends.WHOLE), (kind, got)


@when('an HTTP/1.0 caller has got a part of a stream')
def when_old_caller(context):
    host = context.host
    part = answerends.PART
    host.reply = b'%s%x\r\n%s\r\n' % (_CHUNKED_HEAD, len(part), part)
    sent = request(b'/stream/x').replace(b'HTTP/1.1', b'HTTP/1.0')
    context.caller = host.send(sent)
    run_reactor_until(lambda: context.caller.received.endswith(part))


@then('its connection is reset if the host ends, until the answer has ended')
def then_reset(context):
    channels = context.host.factory.channels
    connection = next(iter(channels)).transport.socket
    assert _is_reset_at_exit(connection)
    context.host.accepted[0].write(_LAST_CHUNK)
    run_reactor_until(lambda: context.caller.closed)
    body = context.caller.received.partition(b'\r\n\r\n')[2]
    assert body == answerends.PART, context.caller.received


def _is_reset_at_exit(connection):
    size = struct.calcsize(_LINGER)
    option = connection.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, size)
    return struct.unpack(_LINGER, option) == (1, 0)
