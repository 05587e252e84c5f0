"""Steps for hosts without a path to the upstreams."""

from itertools import count

from behave import then, when

from features.builders.loop import run_reactor_until

_LAST_CHUNK = b'0\r\n\r\n'
_SERVED_IN_A_ROW = 5
_attempts = count()


def _is_answered(connection):
    head, found, _ = connection.received.partition(b'\r\n\r\n')
    if connection.closed or not found:
        return connection.closed
    return b' 200 ' not in head[:20] or _LAST_CHUNK in connection.received


def is_served(context, host):
    """Send a draft to a host; return whether it is answered completely."""
    connection = context.fleet.send(host, f'cut{next(_attempts)}')
    run_reactor_until(lambda: _is_answered(connection))
    connection.transport.abortConnection()
    is_success = connection.received.startswith(b'HTTP/1.1 200')
    return is_success and connection.received.endswith(_LAST_CHUNK)


def _assert_served(context, host, failures):
    for _ in range(failures):
        if is_served(context, host):
            break
    for _ in range(_SERVED_IN_A_ROW):
        assert is_served(context, host), context.fleet.logged[-20:]


def _cut(context, hosts, how):
    for host in hosts:
        context.fleet.cut(host, refuses=how == 'refuse')


@when('host "{host}" loses its paths to all upstreams, which {how}')
def when_cut(context, host, how):
    context.host = host
    assert is_served(context, host)
    _cut(context, [host], how)


@then('its drafts are served after at most {failures:d} that are not')
def then_served(context, failures):
    _assert_served(context, context.host, failures)


@when('the hosts that send stage calls lose their paths, which {how}')
def when_owners(context, how):
    assert is_served(context, 'one')
    _cut(context, context.fleet.owner_hosts(), how)


@when('the hosts "{hosts}" lose their paths, which {how}')
def when_several(context, hosts, how):
    assert is_served(context, 'one')
    _cut(context, hosts.split(','), how)


@then('drafts at all hosts are served after at most {failures:d} that are not')
def then_all_served(context, failures):
    for host in context.fleet.daemons:
        _assert_served(context, host, failures)


@then('no upstream counts as crashed')
def then_none_crashed(context):
    events = {event for _, event, _ in context.fleet.logged}
    assert 'upstream-crashed' not in events
