"""Steps for limited upstreams of the JSON interface."""

from behave import given, then, when

from features.builders.loop import result_of
from features.builders.ratelimits import listen_rated
from features.builders.requests import World, requests_manifest
from features.builders.requests_http import Caller
from pollenstile.outcomes import Answered, Refused


def _json_world(context, limited):
    """Build a JSON interface, some of whose encoders accept 1 a second."""
    context.json = World(requests_manifest())
    for name in limited:
        stated = context.json.node.core.rates.stated
        stated.note_answer(name, ['1'], is_proof=True)
    # Allocations open when no token of an earlier allocator can be valid.
    context.json.wait(3.0)


@given(
    'requests to the JSON interface, one of its encoders limited to 1 a second'
)
def given_json(context):
    _json_world(context, ['encoder-1'])


@given('requests to the JSON interface, all encoders limited to 1 a second')
def given_json_all(context):
    _json_world(context, ['encoder-1', 'encoder-2'])


@when('{count:d} JSON requests arrive in {seconds:g} seconds')
def when_json_arrive(context, count, seconds):
    for _ in range(count):
        context.json.send('find')
        context.json.wait(seconds / count)
    context.json.wait(1.0)


@then('the limited encoder gets between {least:d} and {most:d} calls')
def then_json_calls(context, least, most):
    count = context.json.called_names.count('encoder-1')
    assert count in range(least, most + 1), count


@then('every JSON request is answered')
def then_json_answered(context):
    outcomes = [sent.outcome for sent in context.json.sent]
    assert all(isinstance(one, Answered) for one in outcomes), outcomes


@then('some JSON requests are refused as not run, with when to come back')
def then_json_refused(context):
    refused = [
        sent.outcome
        for sent in context.json.sent
        if isinstance(sent.outcome, Refused)
    ]
    assert refused
    for outcome in refused:
        assert outcome.reason == 'limited', outcome
        assert outcome.retry_after >= 1, outcome


@then('each encoder gets at most {most:d} calls')
def then_json_each(context, most):
    for name in ('encoder-1', 'encoder-2'):
        count = context.json.called_names.count(name)
        assert count <= most, (name, count)


@given('an HTTP upstream that states a rate of {rate:g} a second')
def given_http(context, rate):
    context.port = listen_rated(rate)


@when('a JSON call is made over HTTP')
def when_http(context):
    context.caller = Caller(context.port)
    context.caller.call_and_wait()
    result_of(context.port.stopListening())


@then('the rate of {rate:g} a second is noted for that upstream')
def then_http(context, rate):
    assert context.caller.rates == [('one', (f'{rate:g}',), True)]
