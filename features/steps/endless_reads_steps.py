"""Steps for answers without end."""

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.task import Clock

from features.builders import requests_http
from features.builders.bodyends import stage_calls
from features.builders.endless import ENOUGH_BYTES, EndlessServer
from features.builders.loop import result_of
from features.builders.platform import http_store
from features.builders.stagework import group, pieces_of
from pollenstile.platform import Unavailable
from pollenstile.stagework import CallLost, Worker
from pollenstile.upstream import Lost

# Far above the duration of a call on loopback.
_CALL_SECONDS = 30.0


@given('a server that sends "{form}" without end')
def given_endless(context, form):
    context.server = EndlessServer(form)
    context.add_cleanup(
        lambda: result_of(context.server.port.stopListening()),
    )


@when('a stage call of {count:d} pieces is sent to it')
def when_stage_call(context, count):
    worker = Worker('i1', context.server.address, 'd')
    context.outcome = context.server.outcome_of(
        stage_calls(reactor).call(
            worker, pieces_of(group('a', count)), _CALL_SECONDS
        )
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
