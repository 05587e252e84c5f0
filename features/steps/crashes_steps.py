"""Steps for crashed upstreams and the requests that they ran."""

from dataclasses import replace

from behave import given, then, when

from features.builders.forward import ForwardScenario
from pollenstile.forward import Lost, ProbeResult
from pollenstile.quarantine import fingerprint


def _upstream(context, place):
    """Return the registry's entry of the upstream of a send."""
    address = context.story.calls[place].address
    upstreams = context.story.registry.upstreams.values()
    return next(
        upstream for upstream in upstreams if upstream.address == address
    )


def _crashed(context):
    return context.story.lines('upstream-crashed')


def _break(context, place):
    lost = Lost('ConnectionLost', 'i0', broken=True)
    context.story.calls[place].head.callback(lost)


@given(
    'a forwarded "{kind}" request with the prompt parts "{first}" and "{last}"'
)
def given_parts(context, kind, first, last):
    context.story = ForwardScenario(kind)
    context.story.start(parts=(first, last))


@given('the upstream of forwarded send {place:d} leaves')
def given_leaves(context, place):
    upstream = _upstream(context, place)
    leaving = replace(upstream, leaving=True)
    context.story.registry.apply(upstream.ident, leaving)


@given('another request is in flight at the upstream of forwarded send 0')
def given_busy(context):
    upstream = _upstream(context, 0)
    context.story.registry.views[upstream.ident].in_flight += 1


@when(
    'the upstream of forwarded send {place:d} resets it and refuses connections'
)
def when_ended(context, place):
    context.story.probe_result = ProbeResult.REFUSED
    _break(context, place)


@when('the connection of forwarded send 0 breaks')
def when_broken(context):
    _break(context, 0)


@when('the connection of forwarded send 0 breaks, and a probe gets no answer')
def when_unknown(context):
    context.story.probe_result = ProbeResult.UNKNOWN
    _break(context, 0)


@when('{seconds:g} seconds pass for the forwarded request')
def when_pass(context, seconds):
    context.story.clock.advance(seconds)


@then('the upstream of forwarded send 0 is logged as crashed under the request')
def then_crashed(context):
    crashed = _crashed(context)
    assert len(crashed) == 1, crashed
    fields = crashed[0]
    assert fields['peer'] == _upstream(context, 0).ident
    sent = context.story.lines('forwarded')
    assert fields['requests'] == [sent[0]['content']]


@then('the lines of the send and of the crash name the same parts')
def then_parts(context):
    sent = context.story.lines('forwarded')[0]
    assert list(sent['parts']) == ['a', 'b'], sent
    crashed = _crashed(context)[0]
    assert crashed['parts'] == [sent['parts']], crashed


@then('no upstream is logged as crashed')
def then_none(context):
    assert not _crashed(context), _crashed(context)


@given('two fleets with different keys')
def given_fleets(context):
    context.keys = (b'key-1', b'key-2')


@then('the same request has a different fingerprint in each')
def then_other(context):
    first, second = [fingerprint(key, b'a', b'b') for key in context.keys]
    assert first != second


@then('requests of another team, target or body differ within one')
def then_differ(context):
    requests = (
        (b'team', b'POST', b'host', b'/a', b'body'),
        (b'other', b'POST', b'host', b'/a', b'body'),
        (b'team', b'POST', b'host', b'/b', b'body'),
        (b'team', b'POST', b'host', b'/a', b'other'),
        (b'team', b'POST', b'host', b'/ab', b'ody'),
    )
    found = {fingerprint(context.keys[0], *parts) for parts in requests}
    assert len(found) == len(requests)
