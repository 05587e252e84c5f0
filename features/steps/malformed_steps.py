"""Steps for answers that are malformed, or only unusual."""

from functools import partial

from behave import then, when

from features.builders.answerreaders import (
    READERS,
    AnsweringServer,
    StallingServer,
)
from features.builders.bodyends import closing_host
from features.builders.forwardhost import ForwardHost, request
from features.builders.loop import result_of, run_reactor_until
from features.builders.malformed import (
    ROUTES,
    received_on_all,
    received_through,
)
from features.builders.malformedforms import (
    FORMS,
    MALFORMED_HEADS,
    OK_LINE,
    UNUSUAL_HEADS,
    Form,
)
from features.builders.platform import http_client
from pollenstile.forward import events

# Number of the event of a request that was sent to an upstream.
_SENT = events.FORWARDED.number
# Shares of a body that are sent of it, from nothing to nearly all.
_PARTS = (0.001, 0.2, 0.5, 0.8, 0.95)


@when('upstreams answer requests of each kind with a malformed {name}')
@when('upstreams answer requests of each kind with what is {name}')
def when_answered(context, name):
    context.results = received_on_all(FORMS[name])


@then('each caller gets 502, and what may run once was sent once')
def then_refused(context):
    wrong = [
        (form, kind, got)
        for form, kind, got in context.results
        if got.status != 502 or b'x-proof' in got.head.lower()
    ]
    assert not wrong, f'{len(wrong)} of {len(context.results)}: {wrong[:40]}'
    _check_sent_once(context.results)


@then(
    'no caller gets an answer that is complete, and what may run once was sent'
    ' once'
)
def then_incomplete(context):
    wrong = [
        (form, kind, got)
        for form, kind, got in context.results
        if got.status != 502 and got.body is not None
    ]
    assert not wrong, f'{len(wrong)} of {len(context.results)}: {wrong[:40]}'
    _check_sent_once(context.results)


def _check_sent_once(results):
    repeated = [
        (form, got)
        for form, kind, got in results
        if kind == 'once' and got.runs != 1
    ]
    assert not repeated, repeated


@when('an upstream answers HEAD with the coding that its body would have')
def when_head(context):
    host = closing_host()
    context.add_cleanup(host.stop)
    form = Form(lines=(b'Content-Encoding: br',), body=b'')
    host.reply = form.sent()
    context.results = [
        (form, kind, received_through(host, route, b'HEAD'))
        for kind, route in ROUTES.items()
    ]


@then('each caller gets status, proof and body of its upstream')
def then_arrived(context):
    wrong = [
        (form, kind, got)
        for form, kind, got in context.results
        if (got.status, got.body) != (form.status, form.body)
        or b'\r\nx-proof: p' not in got.head.lower()
    ]
    assert not wrong, f'{len(wrong)} of {len(context.results)}: {wrong[:40]}'


def _read_all(context, name, heads):
    """Keep outcomes of a reader that gets each head, and the taken heads."""
    context.server = AnsweringServer()
    context.add_cleanup(context.server.stop)
    reader = READERS[name]
    context.outcomes = [
        reader.outcome_of(context.server, *head) for head in heads
    ]
    context.taken = [
        head
        for head, outcome in zip(heads, context.outcomes, strict=True)
        if reader.is_taken(outcome)
    ]


@when('{name} is answered with each malformed head')
def when_read(context, name):
    _read_all(context, name, MALFORMED_HEADS)


@when('{name} gets a part of an answer without a length, and a reset')
def when_parts(context, name):
    context.server = AnsweringServer()
    context.add_cleanup(context.server.stop)
    reader = READERS[name]
    context.taken = []
    for part in _PARTS:
        context.server.part = part
        outcome = reader.outcome_of(context.server, OK_LINE, ())
        if reader.is_taken(outcome):
            context.taken.append(part)


@then('none of them is taken for an answer, and each connection is closed')
def then_none_taken(context):
    assert not context.taken, context.taken
    run_reactor_until(lambda: not context.server.open)


@then('{name} is answered by each unusual head')
def then_unusual_taken(context, name):
    _read_all(context, name, UNUSUAL_HEADS)
    assert context.taken == list(UNUSUAL_HEADS), context.outcomes


@then('it counts as one that may have run: {outcome}')
def then_unknown(context, outcome):
    kinds = {type(ended).__name__ for ended in context.outcomes}
    assert kinds == {outcome}, context.outcomes
    assert all(getattr(ended, 'arrived', True) for ended in context.outcomes)
    reasons = [ended.reason for ended in context.outcomes]
    assert all(reason.startswith('malformed ') for reason in reasons), reasons


@when('an upstream answers a request with a malformed {part}')
def when_one_malformed(context, part):
    context.host = ForwardHost(upstreams=2)
    context.add_cleanup(context.host.stop)
    context.lines = []
    context.host.factory.core.log = partial(_keep_line, context.lines)
    context.host.first_replies = [FORMS[part][0].sent()]
    context.host.reply = Form().sent()
    context.received = received_through(context.host, ROUTES['once'])


def _keep_line(lines, event, **fields):
    lines.append((event.number, fields))


@then('event {number:d} names that upstream, and "{reason}"')
def then_logged(context, number, reason):
    logged = [fields for event, fields in context.lines if event == number]
    assert [fields['reason'] for fields in logged] == [reason], logged
    peers = [fields['peer'] for fields in logged]
    assert peers == _peers_of_sends(context), context.lines


@when('the upstream answers a request with a switch of protocols')
def when_switches(context):
    context.host.reply = b'HTTP/1.1 101 Switching Protocols\r\n\r\n'
    context.connection = context.host.exchange(request())


@then('its caller gets {status:d} while the connection is open')
def then_at_once(context, status):
    received = context.connection.received
    assert received.startswith(b'HTTP/1.1 %d ' % status), received


@when('{count:d} more requests are sent, which any upstream answers')
def when_more(context, count):
    context.later = [
        received_through(context.host, ROUTES['once']) for _ in range(count)
    ]


@then('they are all answered by other upstreams')
def then_others(context):
    assert {got.status for got in context.later} == {200}, context.later
    first, *later = _peers_of_sends(context)
    assert len(later) == len(context.later), later
    assert first not in later, (first, later)


def _peers_of_sends(context):
    """Return the upstreams of all requests that were sent, in order."""
    return [fields['peer'] for event, fields in context.lines if event == _SENT]


@when('a server answers a write of {size:d} MB at once with a malformed head')
def when_stalls(context, size):
    context.server = StallingServer(b'HTTP/1.1 000 OK\r\n\r\n')
    context.add_cleanup(context.server.stop)
    context.size = size * 1_000_000
    client = http_client(context.server.port)
    body = bytes(context.size)
    context.outcome = result_of(client.call('PUT', '/x', body))


@when('it reads on after the write has failed')
def when_reads_on(context):
    assert context.outcome.reason == 'malformed status line', context.outcome
    context.server.transport.resumeProducing()


@then('the server gets less than all of the write')
def then_less(context):
    run_reactor_until(lambda: context.server.is_closed)
    assert context.server.received_bytes < context.size
