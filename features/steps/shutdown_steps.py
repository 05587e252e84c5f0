"""Steps for graceful shutdown."""

from unittest import mock

from behave import given, then, when
from twisted.internet.defer import succeed

from features.builders.loop import collect_result, run_reactor_until
from features.builders.shutdown import ListeningHost, request_bytes
from pollenstile.ops.channels import Channels


@given('a shutdown host that listens')
def step_listens(context):
    context.host = ListeningHost()
    context.stopped = []
    context.add_cleanup(context.host.close)


@given('the shutdown engine takes {times:d} times as long')
def step_slow(context, times):
    context.host.upstreams['e1'].faults.slow = times


@given('the shutdown service refuses')
def step_refuses(context):
    context.host.upstreams['b1'].faults.refusing = True


@given('the shutdown host does not wait for connections')
def step_no_wait(context):
    patch = mock.patch.object(
        Channels, 'close_gracefully', lambda _: succeed(None)
    )
    patch.start()
    context.add_cleanup(patch.stop)


def _send_request(context, request, **named):
    context.caller = context.host.call(request, **named)
    run_reactor_until(
        lambda: context.host.node.in_flight or context.caller.received
    )


@when('a shutdown caller asks for "{pipeline}"')
def step_asks(context, pipeline):
    _send_request(context, request_bytes(pipeline))


@when('a shutdown caller sends key "{key}" to "{pipeline}"')
def step_asks_key(context, key, pipeline):
    _send_request(context, request_bytes(pipeline, key))


@when('a shutdown caller that does not read asks for {size:d} bytes')
def step_asks_much(context, size):
    # Makes the service's answer as large as requested.
    answer = {'text': 'x' * size}
    patch = mock.patch(
        'pollenstile.standin.virtual._Run.request',
        lambda _: answer,
    )
    patch.start()
    context.add_cleanup(patch.stop)
    _send_request(context, request_bytes('log-minutes'), reads=False)


@when('the shutdown host gets the stop signal')
def step_stop(context):
    context.stopped = collect_result(context.host.daemon.stop())


@when('the shutdown store goes down')
def step_store_down(context):
    context.host.store.down = True


@when('the shutdown clock advances by {seconds:g} seconds')
def step_time(context, seconds):
    context.host.advance(seconds)


@when('the shutdown caller resumes reading')
def step_reads(context):
    context.caller.resume_reading()


@then('the shutdown caller has {tokens:d} tokens')
def step_tokens(context, tokens):
    received = context.caller.received
    assert received.count(b'{"text"') == tokens, received


@then('the shutdown caller has {tokens:d} tokens and the complete answer')
def step_whole(context, tokens):
    run_reactor_until(lambda: context.caller.closed)
    received = context.caller.received
    assert received.count(b'{"text"') == tokens, received
    assert b'event: done' in received, received
    assert received.endswith(b'\r\n0\r\n\r\n'), received


@then('the shutdown caller gets {size:d} bytes and the end of the stream')
def step_much(context, size):
    run_reactor_until(lambda: context.caller.closed)
    received = context.caller.received
    assert received.count(b'x') >= size, len(received)
    assert received.endswith(b'\r\n0\r\n\r\n'), received[-50:]


@then(
    'the shutdown caller received {status:d} "{outcome}", and its connection ended'
)
def step_told(context, status, outcome):
    run_reactor_until(lambda: context.caller.closed)
    head, _, body = context.caller.received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status), head
    assert b'connection: close' in head.lower(), head
    assert b'"outcome":"%s"' % outcome.encode() in body, body
    assert b'retry-after: ' in head.lower(), head


@then('the shutdown host refuses connections')
def step_refused(context):
    assert context.host.refused()


@then('the shutdown host has stopped')
def step_stopped(context):
    run_reactor_until(lambda: context.stopped)
    assert context.stopped == [None], context.stopped
    assert context.host.events[-1] == 'stopped'


@then('the shutdown host has not stopped')
def step_not_stopped(context):
    context.host.deliver_pending()
    assert not context.stopped


@then('the shutdown host logged "{name}"')
def step_logged(context, name):
    assert name in context.host.events


@then(
    'the shutdown store has {claims:d} claim and {releases:d} release of a key'
)
def step_store(context, claims, releases):
    steps = []
    objects = context.host.store.objects
    for name in objects.names['claims']:
        for record in objects.found('claims', name).value[2]:
            steps.append(record[0])
    assert steps.count('claim') == claims, steps
    assert steps.count('release') == releases, steps
