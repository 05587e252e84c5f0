"""Steps for the end of a stopping host's grace."""

from dataclasses import replace
from itertools import product

from behave import given, then, when

from features.builders.forward import event_bytes
from features.builders.leaving import GRACES, KINDS, LeavingHost
from pollenstile.forward import Lost, events
from pollenstile.ops._explaincmd import timeline_lines
from pollenstile.ops.events import catalogue

_BEYOND_SECONDS = 60.0
# Part of the grace before which nothing that is at an upstream ends.
_KEPT_SHARE = 5 / 6
# Expected time of the scripted stage work and of the first event after it.
_EXPECTED_SECONDS = 0.35
# Time within which a host that looks at its requests refuses one.
_AT_ONCE_SECONDS = 0.1
# Time before the end of the grace at which a begun answer ends, and the largest
# part of it.
_LAST_SECONDS = 0.45
_LAST_SHARE = 0.1125
# Part of the grace after which a silent upstream goes on.
_LATE_SHARE = 0.8


@given('a stopping host with a "{kind}" route')
def given_host(context, kind):
    context.host = LeavingHost(kind)
    context.callers = {}


@given('a caller "{ident}" whose answer has begun')
def given_begun(context, ident):
    caller = context.host.ask(ident)
    context.callers[ident] = caller
    _begin_answer(context.host, caller)


def _begin_answer(host, caller):
    call = host.call_of(caller)
    call.answer(ident=caller.ident)
    call.on_data(event_bytes(1))


@given('callers "{first}", "{second}" and "{third}" at silent upstreams')
def given_three(context, first, second, third):
    for ident in (first, second, third):
        context.callers[ident] = context.host.ask(ident)
        context.host.advance(_AT_ONCE_SECONDS)


class _FailingCount:
    """Attempts of a request that can't be counted."""

    def __init__(self, contest):
        self.contest = contest

    def __getattr__(self, name):
        if name == 'runs_in_flight':
            raise RuntimeError(name)
        return getattr(self.contest, name)


@given('the host\'s count of runs of "{ident}" fails')
def given_failing_count(context, ident):
    run = _run_of(context, ident)
    run.contest = _FailingCount(run.contest)


def _run_of(context, ident):
    runs = context.host.core.runs
    return next(run for run in runs if run.exchange.ident == ident)


@then('"{first}", "{second}" and "{third}" are told {status:d}')
def then_all_told(context, first, second, third, status):
    for ident in (first, second, third):
        assert context.callers[ident].status() == status, ident


def _stop_and_end(context):
    host = context.host
    host.stop()
    host.advance_until(_BEYOND_SECONDS, lambda: host.stopped)
    host.exit()


@when('the host is stopped, its grace ends and its process exits')
def when_ends(context):
    _stop_and_end(context)


@when('the host is stopped and the caller "{ident}" leaves')
def when_leaves(context, ident):
    context.host.stop()
    context.callers[ident].transport.close()


@then('"{ident}" is logged as cut off by the host, begun, after {sends:d} send')
def then_cut_off(context, ident, sends):
    host = context.host
    cut = host.lines('answer-cut-off', ident)
    assert len(cut) == 1, cut
    assert cut[0]['begun'], cut
    assert cut[0]['sends'] == cut[0]['runs'] == sends, cut
    assert not host.lines('caller-left'), host.lines('caller-left')
    ended = host.lines('forward-ended', ident)
    assert [line['outcome'] for line in ended] == ['cut off'], ended
    assert host.core.silences.broken_off == 1


@then('the timeline of "{ident}" says that the host closed the connection')
def then_explained(context, ident):
    numbers = {event.name: event.number for event in catalogue()}
    lines = [
        {'event': name, 'number': numbers[name], **fields}
        for _, _, name, fields in context.host.world.logged
        if fields.get('request') == ident
    ]
    text = '\n'.join(timeline_lines(lines))
    assert events.ANSWER_CUT_OFF.meaning in text, text
    assert events.CALLER_LEFT.meaning not in text, text


@then('"{ident}" is logged as left by its caller')
def then_left(context, ident):
    host = context.host
    assert len(host.lines('caller-left', ident)) == 1
    assert not host.lines('answer-cut-off')
    assert host.core.silences.broken_off == 0


@then('the losses count {count:d} request as "{cause}"')
def then_losses(context, count, cause):
    causes = context.host.causes()
    assert causes == {cause: count}, causes


def _play(context, kinds, prepare, version=b'1.1', *, staged=False):
    """Stop a host for each grace and kind, with one request in flight."""
    context.ends = []
    for grace, kind in product(GRACES, kinds):
        host = LeavingHost(kind, grace, staged=staged)
        caller = host.ask(f'{kind} {grace}', version)
        prepare(host, caller)
        host.play_end()
        context.ends.append((host, caller, grace))


def _leave_alone(host, caller):
    assert host.call_of(caller)


def _send_back(host, caller):
    host.stages.refusal = 'never'
    host.call_of(caller).answer(409, caller.ident, not_run=b'gone')
    assert host.stages.waiting


@when('hosts of each grace stop while their upstreams are silent for good')
def when_silent(context):
    _play(context, KINDS, _leave_alone)


@when(
    'hosts of each grace stop while requests that came back wait for stage work'
)
def when_sent_back(context):
    _play(context, KINDS, _send_back, staged=True)


@when('hosts of each grace stop in the middle of answers to HTTP/1.0 callers')
def when_begun(context):
    _play(context, ('stream', 'resumable'), _begin_answer, b'1.0')


@then(
    'each request is told in the last sixth of the grace that it may have run'
)
def then_told(context):
    for host, caller, grace in context.ends:
        assert (caller.status(), caller.body()) == (502, 'leaving\n'), (
            grace,
            caller.received(),
        )
        told = host.after_signal(caller.transport.told_at)
        assert _KEPT_SHARE * grace <= told < grace, (grace, told)
        assert not host.lines('caller-left')


@then('each request is refused as not run, with time left for another host')
def then_refused(context):
    for host, caller, grace in context.ends:
        received = caller.received()
        assert (caller.status(), caller.body()) == (503, 'leaving\n'), (
            grace,
            received,
        )
        assert b'retry-after: ' in received.lower(), received
        told = host.after_signal(caller.transport.told_at)
        assert told <= grace - _EXPECTED_SECONDS, (grace, told)


@then('each connection is reset in the last sixth of the grace')
def then_reset(context):
    for host, caller, grace in context.ends:
        transport = caller.transport
        assert transport.end == 'reset', (grace, transport.end)
        ended = host.after_signal(transport.ended_at)
        assert _KEPT_SHARE * grace <= ended < grace, (grace, ended)
        assert len(host.lines('answer-cut-off', caller.ident)) == 1


def _answer_late(host, caller):
    moment = _LATE_SHARE * host.daemon.settings.grace_seconds
    call = host.call_of(caller)
    host.world.clock.callLater(moment, _answer, call, caller.ident)


def _answer(call, ident):
    call.answer(ident=ident)
    call.body(event_bytes(1))


@when(
    'hosts of each grace stop, and silent upstreams answer just before the end'
)
def when_late(context):
    _play(context, KINDS, _answer_late)


def _end_late(host, caller):
    _begin_answer(host, caller)
    grace = host.daemon.settings.grace_seconds
    moment = grace - min(_LAST_SECONDS, _LAST_SHARE * grace)
    call = host.call_of(caller)
    host.world.clock.callLater(moment, call.body, event_bytes(2))


@when('hosts of each grace stop, and begun answers end just before they do')
def when_begun_late(context):
    _play(context, ('stream', 'resumable'), _end_late)


@then('each request is answered completely')
def then_answered(context):
    for _, caller, grace in context.ends:
        assert caller.status() == 200, (grace, caller.received())
        assert caller.received().endswith(b'\r\n0\r\n\r\n'), caller.received()


@given('a stopping host with stage work for "{kind}" requests')
def given_staged(context, kind):
    context.host = LeavingHost(kind, staged=True)


def _wait_for_stages(host):
    host.stages.refusal = 'never'
    caller = host.ask('r')
    host.stop()
    return caller


def _lose_and_wait_for_stages(host):
    """Lose the attempt of a request whose stage results were read."""
    caller = host.ask('r')
    for run in host.core.runs:
        run.results.release()
    host.stages.refusal = 'never'
    host.call_of(caller).head.callback(Lost('reset', 'i0'))
    assert host.stages.waiting
    host.stop()
    return caller


def _come_late(host):
    host.stages.seconds = lambda service, count: 9.0
    host.stop()
    caller = host.ask('r')
    assert not host.stages.groups
    return caller


def _come_back_late(host):
    caller = host.ask('r')
    host.stop()
    host.stages.seconds = lambda service, count: 9.0
    made = len(host.stages.groups)
    host.call_of(caller).answer(409, caller.ident, not_run=b'gone')
    assert len(host.stages.groups) == made
    return caller


_REQUESTS = {
    'waits for stage work': _wait_for_stages,
    'was lost and waits for stage work again': _lose_and_wait_for_stages,
    'comes with less time left than its stages take': _come_late,
    'comes back with less time left than stages take': _come_back_late,
}


@when('a request {request}, and the host stops')
def when_request(context, request):
    host = context.host
    context.caller = _REQUESTS[request](host)
    host.advance_until(
        host.daemon.settings.grace_seconds, context.caller.status
    )


@then('the request is told {status:d} at once')
def then_at_once(context, status):
    assert context.caller.status() == status, context.caller.received()
    told = context.host.after_signal(context.caller.transport.told_at)
    assert told < _AT_ONCE_SECONDS, told


@then('the request is told {status:d} while another has time')
def then_in_time(context, status):
    host = context.host
    assert context.caller.status() == status, context.caller.received()
    told = host.after_signal(context.caller.transport.told_at)
    grace = host.daemon.settings.grace_seconds
    assert _KEPT_SHARE * grace <= told <= grace - _EXPECTED_SECONDS, told


@given('a stopping host with a grace of {seconds:d} second')
def given_short(context, seconds):
    context.host = LeavingHost('idempotent', seconds)


@when('a request comes while all upstreams rest for {seconds:g} seconds')
def when_rest(context, seconds):
    host = context.host
    first = host.ask('first')
    for _ in range(2):
        call = host.call_of(first)
        call.answer(503, 'first', not_run=b'busy', rest=str(seconds).encode())
    host.stop()
    context.caller = host.ask('r')
    assert len(host.calls) == 2


@when(
    'a request is at a silent upstream, and its stages take {seconds:g} seconds again'
)
def when_silent_staged(context, seconds):
    host = context.host
    context.caller = host.ask('r')
    for run in host.core.runs:
        run.results.release()
    host.stages.seconds = lambda service, count: seconds
    context.made = host.stages.made
    host.play_end()


@then('its stage work is not made again, and it is told {status:d} at the end')
def then_not_again(context, status):
    host = context.host
    assert host.stages.made == context.made, host.stages.made
    assert len(host.calls) == 1
    assert context.caller.status() == status, context.caller.received()


@when(
    'the host is stopped and its grace is set to {seconds:d} seconds meanwhile'
)
def when_reloaded(context, seconds):
    host = context.host
    host.stop()
    host.daemon.reload(replace(host.daemon.settings, grace_seconds=seconds))


@then('the host has stopped within {seconds:d} seconds')
def then_stopped(context, seconds):
    context.host.advance_until(seconds, lambda: context.host.stopped)
    assert context.host.stopped


@given('an HTTP/{version} caller "{ident}" that has not read its whole answer')
def given_unread(context, version, ident):
    host = context.host
    caller = host.ask(ident, version.encode(), reads=False)
    context.callers[ident] = caller
    _answer(host.call_of(caller), ident)
    assert caller.status() == 200, caller.received()


@when('the host is stopped and {seconds:d} seconds pass')
def when_passed(context, seconds):
    context.host.stop()
    context.host.advance(seconds)


@then('the host has not stopped, and the connection of "{ident}" is open')
def then_waits(context, ident):
    assert not context.host.stopped
    assert not context.callers[ident].transport.end


@when('the caller "{ident}" reads on')
def when_reads(context, ident):
    context.callers[ident].transport.read_on()


@then(
    'the connection of "{ident}" is closed, and the host stops within {seconds:d} second'
)
def then_read(context, ident, seconds):
    host = context.host
    host.advance(seconds)
    assert host.stopped
    assert context.callers[ident].transport.end == 'closed'
    assert not host.lines('answer-cut-off')


@then('the connection of "{ident}" is reset, and logged as not read')
def then_unread(context, ident):
    transport = context.callers[ident].transport
    assert transport.end == 'reset', transport.end
    cut = context.host.lines('answer-cut-off', ident)
    assert [line['why'] for line in cut] == ['not read'], cut
    assert context.host.stopped


@given(
    'a caller "{ident}" whose answer has begun, with the request "{other}" behind it'
)
def given_pipelined(context, ident, other):
    host = context.host
    caller = host.ask(ident)
    context.callers[ident] = caller
    _begin_answer(host, caller)
    caller.transport.channel.dataReceived(host.request(other, b'1.1', b'body'))


@when(
    'the host is stopped, and the answer to "{ident}" ends after {seconds:d} seconds'
)
def when_answer_ends(context, ident, seconds):
    host = context.host
    host.stop()
    host.advance(seconds)
    host.call_of(context.callers[ident]).body(event_bytes(2))


@then('"{ident}" is answered completely and "{other}" is refused as not run')
def then_both(context, ident, other):
    caller = context.callers[ident]
    first, end, second = caller.received().partition(b'\r\n0\r\n\r\n')
    assert first.startswith(b'HTTP/1.1 200'), first
    assert end, first
    assert second.startswith(b'HTTP/1.1 503'), second
    refused = context.host.lines('forward-ended', other)
    assert [line['reason'] for line in refused] == ['leaving'], refused


@then('the connection of "{ident}" is closed after the answers')
def then_closed(context, ident):
    assert context.callers[ident].transport.end == 'closed'


@given('a caller "{ident}" at a silent upstream')
def given_sent(context, ident):
    context.callers[ident] = context.host.ask(ident)
    assert context.host.calls


@when('the host is stopped, and the answer to "{ident}" begins and ends')
def when_whole(context, ident):
    context.host.stop()
    _answer(context.host.call_of(context.callers[ident]), ident)


@then('the answer to "{ident}" announces that its connection is closed')
def then_announced(context, ident):
    received = context.callers[ident].received()
    head = received.partition(b'\r\n\r\n')[0].lower()
    assert b'\r\nconnection: close' in head, head


@given('a caller that has sent a part of its body')
def given_partial(context):
    host = context.host
    context.transport = host.open()
    part = host.request('l1', b'1.1', b'body')[:-1]
    context.transport.channel.dataReceived(part)


@given("a caller that doesn't read and announces a body that is too large")
def given_large(context):
    host = context.host
    context.transport = host.open(reads=False)
    head = host.request('l1', b'1.1', b'')
    large = head.replace(b'Content-Length: 4', b'Content-Length: 999999999')
    context.transport.channel.dataReceived(large)


@then('that caller is told {status:d} and nothing else')
def then_once(context, status):
    received = context.transport.value()
    assert received.startswith(b'HTTP/1.1 %d ' % status), received
    assert received.count(b'HTTP/1.1') == 1, received


@then('that caller is told {status:d}, and its connection is closed')
def then_told_partial(context, status):
    received = context.transport.value()
    assert received.startswith(b'HTTP/1.1 %d ' % status), received
    assert context.transport.end == 'closed'
    lines = context.host.lines('forward-ended', 'l1')
    assert [line['reason'] for line in lines] == ['leaving'], lines


@when(
    'the host is stopped, and stands still from {began:d} seconds to {ended:d} seconds'
)
def when_paused(context, began, ended):
    host = context.host
    host.stop()
    host.advance(began)
    host.world.clock.advance(ended - began)


@when('the answer to "{ident}" has arrived meanwhile')
def when_arrived(context, ident):
    _answer(context.host.call_of(context.callers[ident]), ident)


@then('the answer to "{ident}" is whole')
def then_whole(context, ident):
    caller = context.callers[ident]
    assert caller.status() == 200, caller.received()
    context.host.advance(1)
    assert context.host.stopped
