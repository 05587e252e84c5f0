"""Steps for long uploads that are answered before they were read."""

from behave import then, when

from features.builders import earlyanswers
from features.builders.loop import run_reactor_until
from features.builders.malformed import ROUTES
from features.builders.malformedforms import BODY, OK_LINE
from features.builders.tunnels import TunnelStory

_FAILURE_LINE = b'HTTP/1.1 413 Content Too Large'


@when('upstreams answer uploads early with a part of {framing}')
def when_part(context, framing):
    context.sent = (OK_LINE, *earlyanswers.PARTS[framing])


@when('upstreams answer uploads early with all of {framing}')
def when_whole(context, framing):
    context.sent = (OK_LINE, *earlyanswers.WHOLE[framing])


@when('upstreams refuse uploads early without framing')
def when_refuse(context):
    context.sent = (_FAILURE_LINE, *earlyanswers.WHOLE['no framing'])


def _start_upstream(context, read, end):
    """Return an upstream that reads and ends its connections in some way."""
    upstream = earlyanswers.EarlyUpstream()
    context.add_cleanup(upstream.stop)
    upstream.answer = earlyanswers.EarlyAnswer(
        *context.sent,
        end=earlyanswers.ENDS[end],
        reads=read == 'read the request',
    )
    return upstream


@when('these upstreams {read}, and each {end} the connection')
def when_end(context, read, end):
    upstream = _start_upstream(context, read, end)
    context.results = [
        (kind, upstream.received(route)) for kind, route in ROUTES.items()
    ]


@when(
    'these upstreams {read}, and each {end} its connection to a peer of a host'
)
def when_end_through_peer(context, read, end):
    upstream = _start_upstream(context, read, end)
    tunnel = TunnelStory(upstream.address)
    context.add_cleanup(tunnel.stop)
    upstream.host.factory.core.client.paths = tunnel.client.paths
    context.results = [
        (kind, upstream.received(route)) for kind, route in ROUTES.items()
    ]


@then('no caller of an upload gets an answer that is complete')
def then_incomplete(context):
    for kind, got in context.results:
        assert got.status == 502 or got.body is None, (kind, got)


@then('each caller of an upload gets a whole answer')
def then_whole(context):
    for kind, got in context.results:
        assert (got.status, got.body) == (200, BODY), (kind, got)


@then('each caller of an upload gets that failure')
def then_failure(context):
    for kind, got in context.results:
        assert (got.status, got.body) == (413, BODY), (kind, got)


@when('these upstreams {read}, and each {end} its connection to a peer')
def when_peers_end(context, read, end):
    upstream = _start_upstream(context, read, end)
    context.tunnel = TunnelStory(upstream.address)
    context.add_cleanup(context.tunnel.stop)


@then('the upload through the peer ends as {how}')
def then_ends_as(context, how):
    story = context.tunnel
    story.fetch(bytes(earlyanswers.UPLOAD_BYTES))
    run_reactor_until(lambda: story.ends)
    assert [end.value for end in story.ends] == [how], story.ends
    assert BODY.startswith(b''.join(story.body)), story.body


@then('the caller of what may run once gets {status:d} "{reason}"')
def then_told(context, status, reason):
    got = dict(context.results)['once']
    assert got.status == status, got
    assert got.body == f'{reason}\n'.encode(), got
