"""Steps for answers without end."""

import msgspec
from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders import requests_http
from features.builders.bodyends import (
    framed,
    load_poll,
    stage_call_through,
    stage_calls,
)
from features.builders.endlessreads import (
    ENOUGH_BYTES,
    EndlessServer,
    JsonSite,
    SoundServer,
    StrangerWire,
    WorkerRun,
    repeats_token,
)
from features.builders.forwardhost import CallerConnection, open_connection
from features.builders.loop import collect_result, result_of, run_reactor_until
from features.builders.platform import http_store
from features.builders.stagework import group, pieces_of
from pollenstile.ops.client import pipeline_client
from pollenstile.peer import encode_frame
from pollenstile.peer._frames import HANDSHAKE_FRAME_LIMIT
from pollenstile.platform import Unavailable
from pollenstile.stagework import CallLost, Worker
from pollenstile.tunnel import EndedFrames, encode_data, encode_end
from pollenstile.upstream import Lost, Reply, wire

# Far above the duration of a call on loopback.
_CALL_SECONDS = 30.0
# Bytes of one read of a socket.
_READ_BYTES = 65536
_HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n'


def _stage_call(address, count=2):
    worker = Worker('i1', address, 'd')
    pieces = pieces_of(group('a', count))
    return stage_calls(reactor).call(worker, pieces, _CALL_SECONDS)


@given('a server that sends "{form}" without end')
def given_endless(context, form):
    context.server = EndlessServer(form)
    context.add_cleanup(
        lambda: result_of(context.server.port.stopListening()),
    )


@when('a stage call of {count:d} pieces is sent to it')
def when_stage_call(context, count):
    context.outcome = context.server.outcome_of(
        _stage_call(context.server.address, count)
    )


@then('the stage call is lost for "{reason}", though it arrived')
def then_call_lost(context, reason):
    expected = CallLost(reason, 'i1', arrived=True)
    assert context.outcome == expected, context.outcome


@when('a call of a pipeline to a "{kind}" is sent to it')
def when_pipeline_call(context, kind):
    caller = requests_http.Caller(context.server.port)
    call = caller.call(kind=kind)
    context.server.wait_for(lambda: call.events)
    context.add_cleanup(call.cancel)
    context.outcome = call.events[-1] if call.events else None


@then('the call of the pipeline is lost for "{reason}"')
def then_pipeline_lost(context, reason):
    assert context.outcome == Lost(reason), context.outcome


@when('a host reads a store there')
def when_store(context):
    store = http_store(context.server.port, Clock())
    context.outcome = context.server.outcome_of(store.get('config', 'm'))


@then('the store counts as unavailable for "{reason}"')
def then_unavailable(context, reason):
    assert isinstance(context.outcome, Unavailable), context.outcome
    assert context.outcome.reason == reason, context.outcome


@then('the endless server is not read any more')
def then_not_read(context):
    context.server.wait_until_closed()
    assert context.server.sent_bytes < ENOUGH_BYTES, context.server.sent_bytes


def _release(address):
    return stage_calls(reactor).release(address, ['a/1'])


def _caller_request(address):
    call = pipeline_client(reactor)
    work = call(f'http://{address}', 'find', 'key', 'leak')
    return Deferred.fromCoroutine(work).addCallback(_none_without_status)


def _none_without_status(answer):
    return answer if answer.status else None


_READERS = {
    'a request of a caller': _caller_request,
    'a stage call': _stage_call,
    'a release of results': _release,
    'a load poll': load_poll,
}


@when('a host sends it {reader}')
def when_reader(context, reader):
    work = _READERS[reader](context.server.address)
    context.ended = []
    work.addBoth(context.ended.append)
    context.server.wait_for(lambda: context.ended)


@then('it has failed')
def then_failed(context):
    assert context.ended
    outcome = context.ended[0]
    assert not isinstance(outcome, list), outcome
    assert not outcome or isinstance(outcome, CallLost), outcome


@when(
    'a stage call of {count:d} pieces is answered with handles of {size:d} bytes'
)
def when_long_handles(context, count, size):
    handles = [f'{number}/'.ljust(size, 'x') for number in range(count)]
    answer = framed(msgspec.json.encode(handles), 'chunks')
    context.outcome = stage_call_through(context.host, answer, count)


@then('the stage call has the results of {count:d} pieces')
def then_results(context, count):
    assert len(context.outcome) == count, context.outcome


@when('the answers of its first worker have no end for {seconds:d} seconds')
def when_first_endless(context, seconds):
    context.run = WorkerRun(context.queue, 'w0')
    context.run.play(seconds)


@when('its first worker answers again for {seconds:d} seconds')
def when_first_answers(context, seconds):
    context.run = WorkerRun(context.queue, '')
    context.run.play(seconds)


@then(
    'it got at most {most:d} calls and no request was refused or waited over'
    ' {limit:d} second'
)
def then_few_calls(context, most, limit):
    run = context.run
    assert 1 < run.calls['w0'] <= most, run.calls
    assert run.made and run.made == run.sent, (run.made, run.sent)
    assert run.longest <= limit, run.longest


@then('it gets as many calls as the other one, within a third')
def then_shared(context):
    calls = context.run.calls
    assert abs(calls['w0'] - calls['w1']) * 3 <= calls['w1'], calls


@given('a server that answers with a head of {size:d} bytes')
def given_long_head(context, size):
    def reply(protocol, head, received):
        attempt = requests_http.find_header(head, wire.ATTEMPT_HEADER)
        filling = (f'X-Fill: {"x" * 990}' for _ in range(size // 1000))
        protocol.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        requests_http.answer(
            protocol,
            200,
            requests_http.plain_body(attempt),
            filling,
        )

    port = requests_http.listening(requests_http.raw_factory(reply))
    context.server = SoundServer(port)
    context.add_cleanup(lambda: result_of(port.stopListening()))


@then('the call of the pipeline is answered')
def then_answered(context):
    assert isinstance(context.outcome, Reply), context.outcome


_STORE_CALLS = {
    'read': lambda store: store.get('config', 'm'),
    'list': lambda store: store.listed('config'),
    'write': lambda store: store.put('config', 'm', [1]),
    'watch': lambda store: store.watched('config', 1),
}


@when('a host sends a {call} to a store there')
def when_store_call(context, call):
    store = http_store(context.server.port, Clock())
    context.outcome = context.server.outcome_of(_STORE_CALLS[call](store))


@then('the call to the store ends as "{name}" for "{reason}"')
def then_store_call(context, name, reason):
    assert type(context.outcome).__name__ == name, context.outcome
    assert context.outcome.reason == reason, context.outcome


@then('its connection to the platform server is closed')
def then_platform_closed(context):
    request = context.partwise.requests[0]
    run_reactor_until(lambda: request.channel is None)


@when('the first requests call repeats its first token after {count:d} tokens')
def when_repeats(context, count):
    repeats_token(context.world, count)


@when(
    'a stranger sends a byte a second to peer "{name}" for {seconds:d} seconds'
)
def when_drips(context, name, seconds):
    context.wire = StrangerWire()
    receiver = context.peers.hubs[name].accept(context.wire, '10.0.0.9')
    frame = encode_frame(bytes(HANDSHAKE_FRAME_LIMIT))
    for number in range(seconds):
        receiver.received(frame[number : number + 1])
        context.peers.run(1)


@then("the stranger's connection to the peer was closed")
def then_stranger_closed(context):
    assert context.wire.closed


@when("a tunnel gets {size:d} bytes after the end of its upstream's connection")
def when_after_end(context, size):
    context.frames = EndedFrames()
    context.frames.feed(encode_data(b'a') + encode_end())
    for _ in range(size // _READ_BYTES):
        context.frames.feed(bytes(_READ_BYTES))


@then('the tunnel holds none of them')
def then_none_held(context):
    assert context.frames.ended
    assert not context.frames.pending, len(context.frames.pending)


@when('the ready page of host "{name}" gets a body of {size:d} bytes in chunks')
def when_ready_body(context, name, size):
    head = b'POST /v1/ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
    body = b'%x\r\n%s\r\n0\r\n' % (size, bytes(size))
    context.page = CallerConnection(b'%s\r\n\r\n%s\r\n' % (head, body))
    port = context.fleet.daemons[name].ports[1]
    open_connection(port.getHost().port, context.page)


@then('the ready page answers {status:d}')
def then_ready_answer(context, status):
    run_reactor_until(lambda: b'\r\n' in context.page.received)
    line = context.page.received.partition(b'\r\n')[0]
    assert b' %d ' % status in line, line


@given('a site of the JSON path')
def given_site(context):
    context.site = JsonSite()


@when(
    'a caller sends the head of a request and a byte of its body each'
    ' {seconds:d} seconds'
)
def when_caller_drips(context, seconds):
    context.site.send_slowly([_HEAD, *(b'a' for _ in range(50))], seconds)


@then(
    'the caller is answered {status:d} within {limit:d} seconds, and its'
    ' connection is closed'
)
def then_slow_refused(context, status, limit):
    assert context.site.statuses() == [status], context.site.statuses()
    assert context.site.transport.disconnecting
    assert context.site.clock.seconds() <= limit


@when('a caller sends two requests, each in parts over {seconds:d} seconds')
def when_two_slow(context, seconds):
    body = bytes(50)
    for _ in range(2):
        context.site.send_slowly([_HEAD, body], seconds)


@then('both are answered with {status:d}')
def then_both(context, status):
    assert context.site.statuses() == [status, status], context.site.statuses()


@given('a server that sends a byte of its answer a second')
def given_drips(context):
    context.clock = Clock()
    context.server = EndlessServer('a byte', context.clock)
    context.add_cleanup(
        lambda: result_of(context.server.port.stopListening()),
    )


@when('a stage call of {seconds:g} seconds at most is made to it')
def when_timed_call(context, seconds):
    calls = stage_calls(context.clock)
    worker = Worker('i1', context.server.address, 'd')
    work = calls.call(worker, pieces_of(group('a', 2)), seconds)
    ended = collect_result(work)
    run_reactor_until(lambda: context.server.sent_bytes)
    for _ in range(8):
        context.clock.advance(0.5)
        reactor.iterate(0)
    run_reactor_until(lambda: ended)
    context.outcome = ended[0]
