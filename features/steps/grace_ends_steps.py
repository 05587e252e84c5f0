"""Steps for the end of a stopping host's grace."""

from behave import given, then, when

from features.builders.forward import event_bytes
from features.builders.leaving import LeavingHost
from pollenstile.forward import events
from pollenstile.ops._explaincmd import timeline_lines
from pollenstile.ops.events import catalogue

_BEYOND_SECONDS = 60.0


@given('a stopping host with a "{kind}" route')
def given_host(context, kind):
    context.host = LeavingHost(kind)
    context.callers = {}


@given('a caller "{ident}" whose answer has begun')
def given_begun(context, ident):
    caller = context.host.ask(ident)
    context.callers[ident] = caller
    call = context.host.call_of(caller)
    call.answer(ident=ident)
    call.on_data(event_bytes(1))


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
