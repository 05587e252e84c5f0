"""Steps for requests over real connections."""

from behave import given, then, when

from features.builders import requests_http as build
from features.builders.loop import result_of, run_reactor_until
from pollenstile.standin.engine import wire
from pollenstile.upstream import Reply


def _serve(context, factory):
    context.counted = build.ConnectionCounter()
    port = build.listening(context.counted.watch(factory))
    context.port = port
    context.caller = build.Caller(port)
    context.add_cleanup(lambda: result_of(port.stopListening()))


@given('a requests server of kind "stage"')
def step_plain(context):
    context.server = build.plain_server()
    _serve(context, build.plain_site(context.server))


@given('a requests server whose connections stop responding after one answer')
def step_falls_silent(context):
    context.silent = []

    def reply(protocol, head, body):
        if protocol.answered > 1:
            context.silent.append(head)
        else:
            attempt = build.find_header(head, wire.ATTEMPT_HEADER)
            build.answer(protocol, 200, build.plain_body(attempt))

    _serve(context, build.raw_factory(reply))


_BODIES = {
    'not JSON': b'<h1>hello</h1>',
    'another document': b'{"attempt": 3}',
    '5000000 bytes': b' ' * 5_000_000,
    'a problem': b'{"title": "broken"}',
}


@given('a requests server that answers {status:d} with {body}')
def step_answers(context, status, body):
    def reply(protocol, head, received):
        complete = _BODIES.get(body)
        if complete is not None:
            build.answer(protocol, status, complete)
            return
        build.answer(protocol, status, b'{"attempt"', length=100)
        protocol.transport.loseConnection()

    _serve(context, build.raw_factory(reply))


@given(
    'a requests server that refuses with {status:d}, outcome "{outcome}",'
    ' attempt "{attempt}"'
)
def step_refuses(context, status, outcome, attempt):
    def reply(protocol, head, received):
        own = build.find_header(head, wire.ATTEMPT_HEADER)
        stated = {'own': own, 'another': 'other/call/1', 'none': ''}[attempt]
        headers = [f'{wire.ATTEMPT_HEADER}: {stated}'] if stated else []
        if outcome != 'none':
            headers.append(f'{wire.OUTCOME_HEADER}: {outcome}')
        build.answer(protocol, status, b'{}', headers)

    _serve(context, build.raw_factory(reply))


@given('a requests server that streams each token twice')
def step_doubled(context):
    _serve(context, build.repeating_engine_site())


@when('a requests call is sent and its answer is read')
def step_call(context):
    context.caller.call_and_wait()


@when('a non-idempotent requests call is sent and its answer is read')
def step_call_once(context):
    context.caller.call_and_wait(idempotent=False)


@when('a requests call to the frozen server is cancelled')
def step_cut(context):
    context.server.faults.frozen = True
    call = context.caller.call()
    run_reactor_until(lambda: call.attempt in context.server.runs)
    call.cancel()
    context.server.faults.frozen = False
    run_reactor_until(lambda: context.counted.lost == 1)
    assert not call.events, call.events


@then(
    'the requests server accepted {made:d} connections and {cut:d} were closed'
)
def step_connections(context, made, cut):
    counted = context.counted
    assert (counted.made, counted.lost) == (made, cut), (
        counted.made,
        counted.lost,
    )


@then('the requests server accepted {made:d} connections')
def step_made(context, made):
    assert context.counted.made == made, context.counted.made


@then('the last requests call has its own answer')
def step_own(context):
    attempt, end = context.caller.ends[-1]
    assert isinstance(end, Reply), end
    assert end.attempt == attempt, end
    assert end.output['for'] in attempt, end


@then('sent as idempotent the requests call gets no answer')
def step_no_answer(context):
    call = context.caller.call()
    # The server has read the call and will not answer it.
    run_reactor_until(lambda: context.silent)
    assert not call.events, call.events
    assert context.counted.made == 2
    call.cancel()


@then('the last requests call ends as "{name}" for "{reason}"')
def step_ends(context, name, reason):
    _, end = context.caller.ends[-1]
    assert type(end).__name__ == name, end
    assert end.reason == reason, end


@when('{count:d} requests calls are sent at once and their answers are read')
def step_calls_at_once(context, count):
    calls = [context.caller.call() for _ in range(count)]
    run_reactor_until(lambda: all(call.events for call in calls))


@when('a requests call is sent that gets no answer')
def step_call_unanswered(context):
    call = context.caller.call()
    run_reactor_until(lambda: context.silent)
    context.add_cleanup(call.cancel)


@when('a requests call that needs a new connection is sent')
def step_call_fresh(context):
    context.caller.call_and_wait(fresh=True)


@when('the idle connections of the requests server are closed')
def step_close_idle(context):
    context.caller.pools.close_idle(context.caller)


@then("{count:d} of the requests server's calls got no answer")
def step_unanswered(context, count):
    assert len(context.silent) == count, context.silent


@when('{count:d} "{name}" requests are sent at once to the requests server')
def step_requests_at_once(context, count, name):
    context.node = build.build_node_calling(context.port)
    sent = [build.start_request(context.node, name) for _ in range(count)]
    run_reactor_until(lambda: all(one.outcomes for one in sent))


@when('a "{name}" request is sent again to the requests server')
def step_request_again(context, name):
    _send(context, context.node, name)


@when('a "{name}" request is sent to the requests server')
def step_request(context, name):
    _send(context, build.build_node_calling(context.port), name)


def _send(context, node, name):
    sent = build.run_to_outcome(node, name)
    context.tokens = sent.tokens
    context.outcome = sent.outcome
    assert not node.core.ledger.broken, node.core.ledger.broken
    assert not node.core.ledger.open


@then('the request to the requests server ends as "{tag}"')
def step_tag(context, tag):
    assert context.outcome.tag == tag, context.outcome


@then("the requests server's output equals the streamed text")
def step_text(context):
    assert context.tokens
    assert context.outcome.output == ''.join(context.tokens), context.outcome
