"""Steps for the lengths of answers."""

from behave import then, when

from features.builders.statedlengths import (
    answer_of,
    events_body,
    received_by_kinds,
)

_LENGTH = b'content-length: '


def _received(context, kinds, method=b'POST'):
    return received_by_kinds(kinds.split(','), context.reply, method)


def _stated(got):
    """Return the length that an answer states; None without one."""
    lines = got.head.lower().split(b'\r\n')
    lengths = [line for line in lines if line.startswith(_LENGTH)]
    assert len(lengths) < 2, got
    return int(lengths[0].removeprefix(_LENGTH)) if lengths else None


@when('an upstream answers {status:d} with {size:d} bytes and {framing}')
def when_answers(context, status, size, framing):
    context.body = bytes(size)
    context.status = status
    context.reply = answer_of(status, context.body, framing)


@when('an upstream answers a stream of {count:d} events with a length')
def when_streams(context, count):
    context.body = events_body(count)
    context.status = 200
    context.reply = answer_of(200, context.body, 'a length')


@when('an upstream answers {status:d} to {method} without a body')
def when_bodiless(context, status, method):
    context.method = method.encode()
    context.reply = answer_of(status, b'', 'a length')
    if method == 'HEAD':
        # The length of the answer to GET.
        context.reply = context.reply.replace(b': 0', b': 40')


@when(
    'an upstream breaks off after {size:d} of the {stated:d} bytes that it has'
    ' stated'
)
def when_breaks_off(context, size, stated):
    context.stated = stated
    answer = answer_of(200, bytes(stated), 'a length')
    context.reply = answer[: size - stated]


@then('callers of "{kinds}" requests get {size:d} bytes and that length')
def then_length(context, kinds, size):
    for got in _received(context, kinds):
        assert got.status == context.status, got
        assert got.body == context.body, got
        assert _stated(got) == size, got


@then('callers of "{kinds}" requests get {size:d} bytes in chunks')
@then('callers of "{kinds}" requests get {size:d} events in chunks')
def then_chunks(context, kinds, size):
    for got in _received(context, kinds):
        assert got.status == context.status, got
        assert got.body == context.body, got
        assert _stated(got) is None, got


@then('callers of "{kinds}" requests get {status:d} without a length')
def then_no_length(context, kinds, status):
    for got in _received(context, kinds, context.method):
        assert got.status == status, got
        assert _stated(got) is None, got


@then('callers of "{kinds}" requests get {status:d} with a length of {size:d}')
def then_other_length(context, kinds, status, size):
    for got in _received(context, kinds, context.method):
        assert got.status == status, got
        assert _stated(got) == size, got


@then('callers of "{kinds}" requests get that length and fewer bytes')
def then_fewer(context, kinds):
    for got in _received(context, kinds):
        assert got.status == 200, got
        assert _stated(got) == context.stated, got
        assert got.body is None, got
