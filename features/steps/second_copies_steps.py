"""Steps for upstreams that answer twice, or with two framings at once."""

from behave import then, when

from features.builders import secondcopies

_FAULTS = {
    'a length that contradicts': secondcopies.contradictions(500),
}


@when('a length of {size:d} is sent beside chunks and read {path}')
def when_contradicts(context, size, path):
    answers = secondcopies.contradictions(size)
    context.results = secondcopies.received_by_all(answers, path)


@then('no caller gets an answer that is complete of what was sent twice')
def then_incomplete(context):
    wrong = [
        (sent.name, kind, got.status, got.body)
        for sent, kind, got in context.results
        if got.status != 502 and got.body is not None
    ]
    assert not wrong, f'{len(wrong)} of {len(context.results)}: {wrong}'


@when('{fault} is sent to a request that may run once')
def when_logged(context, fault):
    host = secondcopies.TwiceHost('directly')
    context.add_cleanup(host.stop)
    host.received(_FAULTS[fault][0], 'once')
    context.lines = host.lines


@then('event {number:d} says "{reason}", and that its body was {end}')
def then_logged(context, number, reason, end):
    logged = [fields for event, fields in context.lines if event == number]
    told = [(fields['reason'], fields['end']) for fields in logged]
    assert told == [(reason, end)], logged
