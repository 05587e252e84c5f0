"""Steps of callers' connections to a forwarding host."""

from behave import given, then, when

from features.builders.forwardhost import ForwardHost, request
from features.builders.loop import turned_until
from pollenstile.routes import Limits

_PROOF = b'X-Attempt: a1\r\nX-Proof: p\r\n'
_SMALL = Limits(
    header_bytes=2000,
    body_bytes=1000,
    header_seconds=0.05,
    idle_seconds=15,
)


def _host(context, reply, limits=None):
    context.host = ForwardHost(limits or _SMALL)
    context.host.reply = reply
    context.add_cleanup(context.host.stop)


def _reply(body, status=b'200 OK'):
    head = b'HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s'
    return head % (status, _PROOF, len(body), body)


@given('a forwarding host whose upstream answers "{text}"')
def given_host(context, text):
    _host(context, _reply(text.encode()))


@given('a forwarding host whose upstream answers nothing with 500')
def given_empty(context):
    _host(context, _reply(b'', b'500 Failed'))


@given('a forwarding host whose upstream answers "{text}" without a length')
def given_unframed(context, text):
    _host(context, b'HTTP/1.1 200 OK\r\n%s\r\n%s' % (_PROOF, text.encode()))
    context.host.closes = True


@given('a forwarding host whose upstream answers "{text}" and more')
def given_more(context, text):
    replies = (_reply(text.encode()), _reply(b'another'))
    _host(context, b''.join(replies))


@given('a forwarding host without a configuration')
def given_none(context):
    _host(context, b'')
    context.host.configuration.table = None


@when('a caller sends "{target}" with a team of its own')
def when_sends(context, target):
    extra = b'X-Team: other\r\nX-Incarnation: i9\r\n'
    sent = request(target.encode(), extra)
    context.talk = context.host.answered(sent, b'0\r\n\r\n')


@when('a caller sends two requests on one connection')
def when_two(context):
    context.talk = context.host.answered(request(), b'0\r\n\r\n')
    talk = context.talk
    talk.wire.write(request())
    turned_until(lambda: talk.received.count(b'0\r\n\r\n') == 2)


@given('its configuration may be an old one')
def given_old(context):
    context.host.configuration.current = False


@when('a caller sends a request with {fault}')
def when_fault(context, fault):
    large = b'X-Large: %s\r\n' % (b'x' * 3000)
    smuggled = b'Transfer-Encoding: chunked\r\n'
    if fault == 'a key without proof':
        context.host.configuration.verified = False
    sent = {
        'two lengths': request(extra=b'Content-Length: 3\r\n', body=b'abcd'),
        'a length and chunks': request(extra=smuggled, body=b'0\r\n\r\n'),
        'a space before a colon': request(extra=b'X-Odd : 1\r\n'),
        'a bare line feed': request(extra=b'X-Odd\n: 1\r\n'),
        'headers that are too large': request(extra=large),
        'a body that is too large': request(body=b'x' * 2000),
        'a head that never ends': b'POST /a/ HTTP/1.1\r\nHost:',
        'an unknown path': request(b'/b/'),
        'an unknown key': request(key='wrong'),
        'no attempt named': request().replace(b'X-Attempt: a1\r\n', b''),
    }
    context.talk = context.host.answered(sent.get(fault, request()))


@when('the forwarding host leaves')
def when_leaves(context):
    context.host.factory.leave()


@when('the forwarding host refuses what is new')
def when_refuses(context):
    context.host.factory.refusing = True


def _status(talk):
    return int(talk.received.split(b' ', 2)[1])


@then('it gets {status:d} with "{text}"')
def then_gets(context, status, text):
    _then_body(context, status, text.encode())


@then('it gets {status:d} with ""')
def then_gets_empty(context, status):
    _then_body(context, status, b'')


def _then_body(context, status, body):
    talk = context.talk
    assert _status(talk) == status, talk.received
    chunks = (
        b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body) if body else b'0\r\n\r\n'
    )
    ending = b''.join((b'\r\n\r\n', chunks))
    assert talk.received.endswith(ending), talk.received


@then('each gets 200 with "{text}" and nothing besides')
def then_each(context, text):
    received = context.talk.received
    assert received.count(text.encode()) == 2, received
    assert b'another' not in received, received


@then('the upstream saw "{target}", the team "{team}" and no key')
def then_saw(context, target, team):
    seen = context.host.seen[0]
    assert seen.startswith(b'POST %s HTTP/1.1\r\n' % target.encode()), seen
    assert b'X-Team: %s\r\n' % team.encode() in seen, seen
    assert seen.count(b'X-Team') == 1, seen
    assert b'X-Incarnation: i1\r\n' in seen, seen
    assert b'secret' not in seen, seen


@then('it gets {status:d} and its connection ends')
def then_status_ends(context, status):
    assert _status(context.talk) == status, context.talk.received
    then_ends(context)


@then('its connection ends')
def then_ends(context):
    talk = context.talk
    turned_until(lambda: talk.closed)


@then('it gets {status:d} and its connection stays')
def then_status_stays(context, status):
    assert _status(context.talk) == status, context.talk.received
    assert b'onnection: close' not in context.talk.received
    assert not context.talk.closed


@then('the upstream saw nothing')
def then_saw_nothing(context):
    assert not context.host.seen, context.host.seen
