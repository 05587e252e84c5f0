"""Steps of the checks of stops and endless bytes, on records made by hand."""

from behave import given, then, when

from features.builders.soakends import (
    DEADLINE_SECONDS,
    add_ended_answer,
    end_request,
    ended_records,
    endless_records,
    lookup_records,
    send_after_stop,
    send_elsewhere,
    stopped_records,
)
from pollenstile.soak.live._checks import find_violations
from pollenstile.soak.live._endlessruns import count_endless
from pollenstile.soak.live._endruns import count_ends
from pollenstile.soak.live._outlast import count_graces


@given(
    'a request that ended "{end}" {seconds:g} s after the SIGTERM of its host'
)
def given_stopped(context, end, seconds):
    context.records = stopped_records(end, seconds)


@when('it was sent {seconds:g} s after the SIGTERM')
def when_sent(context, seconds):
    send_after_stop(context.records, seconds)


@when('its host has logged that its caller left')
def when_logged(context):
    context.records.left.add('c1')


@then('the checks of graces count "{end}" and report {lines:d} violations')
def then_graces(context, end, lines):
    counts = count_graces(context.records)
    found = ' '.join(counts.ends) or 'nothing'
    assert found == end, found
    assert len(counts.lines) == lines, counts.lines


@given('requests "{idents}" that ended "{end}" with an endless "{form}" answer')
def given_endless(context, idents, end, form):
    context.records = endless_records(idents.split(), end, form)


@when('the host has read the answer for {seconds:g} s')
def when_read(context, seconds):
    answer = context.records.endless_answers[0]
    answer.closed = answer.began + seconds


@when('the host reads on when the run ends, after {seconds:g} s')
def when_reads_on(context, seconds):
    answer = context.records.endless_answers[0]
    context.records.ended_at = answer.began + seconds


@when('the upstream is told of it only after {seconds:g} s')
def when_told(context, seconds):
    answer = context.records.endless_answers[0]
    answer.ended = answer.began + seconds


@when('{count:d} of them were also sent to another upstream')
def when_elsewhere(context, count):
    send_elsewhere(context.records, count)


@when('nothing else happens')
def when_nothing(context):
    assert context.records.requests


@when('their route allows one attempt')
def when_single(context):
    for record in context.records.requests:
        record.kind = 'digest'


@when('all upstreams of the service send so')
def when_all(context):
    context.records.endless[0].is_alone = False


@when('the peak memory of host "{host}" is {peak:g} MB')
def when_peak(context, host, peak):
    context.records.peaks[host] = peak


@then('the checks of endless bytes report "{text}"')
def then_endless(context, text):
    records = context.records
    lines = count_endless(records, DEADLINE_SECONDS, is_only=True).lines
    found = ' '.join(lines) or 'nothing'
    assert found == text, lines


@given(
    'a lookup that got {answers:d} answers in one, {end}, with {other} at the'
    ' end'
)
def given_lookup(context, answers, end, other):
    rest = b'' if other == 'nothing' else b'answer of c2;'
    context.records = lookup_records(
        answers, complete=end == 'complete', rest=rest
    )


@then('the checks of answers report {lines:d} violations')
def then_answers(context, lines):
    found = [
        line
        for line in find_violations(context.records)
        if line.startswith('wrong answer')
    ]
    assert len(found) == lines, found


@given(
    '{count:d} requests with sound answers that ended with their connections'
)
def given_ended(context, count):
    context.records = ended_records(count)


@when('{count:d} of them got "{end}"')
def when_got(context, count, end):
    for record in context.records.requests[:count]:
        end_request(record, end)


@when('they met an answer that was "{kind}"')
def when_met(context, kind):
    for record in context.records.requests:
        add_ended_answer(context.records, record, kind)


@then(
    'the checks of ends count {served:d} of {undisturbed:d} and report'
    ' {lines:d} violations'
)
def then_ends(context, served, undisturbed, lines):
    counts = count_ends(context.records)
    assert (counts.served, counts.undisturbed) == (served, undisturbed), counts
    assert len(counts.lines) == lines, counts.lines


@then('the checks of ends count {count:d} times "{got}"')
def then_ends_got(context, count, got):
    counts = count_ends(context.records)
    assert counts.got[got] == count, counts.got
