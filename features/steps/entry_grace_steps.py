"""Steps for the end of a grace on the pipelines' own interface."""

import signal
from unittest.mock import Mock

from behave import given, then, when
from twisted.internet.defer import fail

from features.builders.entrygrace import GraceCaller, GraceHost, request_bytes
from features.builders.gracesweep import GraceSweep
from pollenstile.ops import _explaincmd as explaincmd
from pollenstile.ops import signals
from pollenstile.ops.events import catalogue


@given('a grace host')
def given_host(context):
    context.host = GraceHost()


@given('a grace host with {grace:g} seconds')
def given_graced(context, grace):
    context.host = GraceHost(grace)


@when('a grace caller asks for the stream of "{pipeline}"')
def when_stream(context, pipeline):
    context.caller = context.host.call(pipeline, stream=True)


@when('a grace caller asks for "{pipeline}"')
def when_asks(context, pipeline):
    context.caller = context.host.call(pipeline)


@when('a second grace caller asks for "{pipeline}"')
def when_second(context, pipeline):
    context.second = context.host.call(pipeline)


@when('a grace caller that does not read asks for "{pipeline}"')
def when_deaf(context, pipeline):
    context.caller = context.host.call(pipeline, reads=False)


@when('the grace upstream "{name}" cuts its streams after {tokens:d} tokens')
def when_cuts(context, name, tokens):
    context.host.upstreams[name].faults.cut_after = tokens


@when('{seconds:g} seconds of grace pass')
def when_passes(context, seconds):
    context.host.advance(seconds, min(0.01, seconds))


@when('the second grace caller leaves')
def when_leaves(context):
    context.second.leave()


@when('the grace host gets the stop signal')
def when_stops(context):
    context.host.stop()


@then('the grace caller\'s outcome is "{outcome}"')
def then_outcome(context, outcome):
    assert context.caller.outcome() == outcome, context.caller.received()


@then('the grace log has "{name}" for the grace caller alone')
def then_logged(context, name):
    _check_named(context, name, context.caller)


@then('the grace log has "{name}" for the second grace caller alone')
def then_logged_second(context, name):
    _check_named(context, name, context.second)


@then('the timeline of that request explains each line')
def then_explained(context):
    lines = _lines_of(context, context.caller.channel.request)
    timeline = explaincmd.timeline_lines(lines)
    assert lines[-1]['event'] == 'callers-cut-off', lines
    assert len(timeline) == 2 * len(lines), timeline


def _check_named(context, name, caller):
    named = []
    for fields in context.host.logged(name):
        requests = fields['request']
        named.extend([requests] if isinstance(requests, str) else requests)
    assert named == [caller.channel.request], context.host.lines


def _lines_of(context, request):
    numbers = {event.name: event.number for event in catalogue()}
    lines = []
    for name, fields in context.host.lines:
        line = {'event': name, 'number': numbers[name], **fields}
        if request in _requests(line):
            lines.append(line)
    return lines


def _requests(line):
    named = line.get('request', '')
    return named if isinstance(named, list) else [named]


@given('its upstreams stand still')
@when('its upstreams stand still')
def given_still(context):
    for name in context.host.upstreams:
        context.host.hold(name)


@when('its upstreams stand still for {seconds:g} seconds')
def when_still(context, seconds):
    for name in context.host.upstreams:
        context.host.hold(name, seconds)


@when(
    'grace callers ask for "{first}", "{second}", "{third}" and the stream of'
    ' "{last}"'
)
def when_ask(context, first, second, third, last):
    host = context.host
    context.callers = [host.call(name) for name in (first, second, third)]
    context.callers.append(host.call(last, stream=True))
    host.advance(0.02)


@when('the grace host is paused for {seconds:g} seconds')
def when_paused(context, seconds):
    context.host.clock.advance(seconds)


@then(
    'the grace callers\' outcomes are "{first}", "{second}", "{third}" and'
    ' "{last}"'
)
def then_outcomes(context, first, second, third, last):
    outcomes = [caller.outcome() for caller in context.callers]
    assert outcomes == [first, second, third, last], outcomes


@then('the grace host had stopped before it was killed')
def then_stopped(context):
    host = context.host
    assert host.stopping == [None], host.stopping
    assert host.stopped_at < host.killed_at, host.stopped_at


@then('the grace host has ended')
def then_ended(context):
    assert context.host.stopping == [None], context.host.stopping


@then('no grace invariant was broken')
def then_sound(context):
    assert not context.host.node.core.ledger.broken


@given('a grace host with {grace:g} seconds that runs {most:d} request at once')
def given_narrow(context, grace, most):
    context.host = GraceHost(grace, most=most)


@then('the second grace caller\'s outcome is "{outcome}"')
def then_second(context, outcome):
    assert context.second.outcome() == outcome, context.second.received()


@then('the second grace caller may try again in 1 second')
def then_retry(context):
    received = context.second.received().lower()
    assert b'retry-after: 1\r\n' in received, received


@then('the grace upstream "{name}" has run {number:d} calls')
def then_runs(context, name, number):
    runs = context.host.upstreams[name].runs
    assert len(runs) == number, runs


@when('a grace caller sends the key "{key}" to "{pipeline}"')
def when_keyed(context, key, pipeline):
    context.caller = context.host.call(pipeline, key, stream=True)


@when('a second grace caller sends the key "{key}" to "{pipeline}"')
def when_second_keyed(context, key, pipeline):
    context.second = context.host.call(pipeline, key, stream=True)


@when('a grace caller sends the key "{key}" to "{pipeline}" at the next host')
def when_next(context, key, pipeline):
    following = GraceHost(before=context.host)
    context.caller = following.call(pipeline, key, stream=True)


@when('the grace store takes {seconds:g} seconds')
def when_store(context, seconds):
    context.host.store.latency = seconds


@then('the grace keys have the records "{records}"')
def then_keys(context, records):
    steps = context.host.key_records()
    assert ', '.join(steps) == records, steps


@when('a grace caller sends {part} of a request')
def when_part(context, part):
    request = request_bytes('rank')
    head = request.index(b'\r\n\r\n')
    ends = {'half of the head': head // 2, 'half of the body': head + 9}
    context.caller = context.host.connect()
    context.caller.send(request[: ends[part]])


@when('a grace caller sends two requests for "{pipeline}" at once')
def when_two(context, pipeline):
    context.caller = context.host.connect()
    context.caller.send(request_bytes(pipeline) * 2)


@then('the grace caller has the statuses "{statuses}"')
def then_statuses(context, statuses):
    seen = ', '.join(str(number) for number in context.caller.statuses())
    assert seen == statuses, context.caller.received()


def _raise(*arguments):
    raise ZeroDivisionError


@given('its transport raises an exception')
def given_raises(context):
    context.host.node.core.transport = _raise


@when('a grace operator asks for the fleet, and its collection fails')
def when_fleet(context):
    fleet = Mock()
    fleet.document.return_value = fail(ZeroDivisionError())
    site = context.host.daemon.admin_port.factory
    site.resource.fleet = fleet
    operator = GraceCaller(context.host.clock, site)
    operator.send(b'GET /fleet HTTP/1.1\r\nHost: here\r\n\r\n')
    context.operator = operator


@then('the grace operator has the status {status:d}')
def then_operator(context, status):
    statuses = context.operator.statuses()
    assert statuses == [status], context.operator.received()


@given('the grace signals of a command are set up')
def given_signals(context):
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        context.add_cleanup(signal.signal, number, signal.getsignal(number))
    context.reactor = Mock()
    context.log = Mock()
    signals.ignore_hangup(context.reactor, context.log)
    signals.keep_grace(context.reactor, context.log)


@when('its shutdown begins and it gets {name}')
def when_signal(context, name):
    _, _, begin, *arguments = (
        context.reactor.addSystemEventTrigger.call_args.args
    )
    begin(*arguments)
    signal.raise_signal(signal.Signals[name])


@then('its log has "{event}" for {name}')
def then_ignored(context, event, name):
    log, ignored = context.reactor.callFromThread.call_args.args
    assert log is context.log
    assert ignored.name == event
    assert context.reactor.callFromThread.call_args.kwargs == {'signal': name}


@given('grace sweeps of {grace:g} seconds with the seeds {first:d} to {last:d}')
def given_sweeps(context, grace, first, last):
    seeds = range(first, last + 1)
    context.sweeps = [GraceSweep(grace, seed) for seed in seeds]


@when('the grace sweeps are played')
def when_played(context):
    for sweep in context.sweeps:
        sweep.run()


@then('no grace sweep has a fault')
def then_no_fault(context):
    faults = [sweep.faults() for sweep in context.sweeps]
    assert not any(faults), faults
