"""Steps for answers that end with the connection or the process."""

from behave import then, when

from features.builders import answerends


@when('an upstream {how} in the middle of an answer that is read {path}')
def when_middle(context, how, path):
    context.results = answerends.received_by_kind(how, path)


@when('an upstream {how}, which is read {path}')
def when_end(context, how, path):
    context.results = answerends.received_by_kind(how, path)


@then('no kind of caller gets an answer that is complete')
def then_incomplete(context):
    for kind, got in context.results.items():
        assert got.status == 502 or got.body is None, (kind, got)


@then('each kind of caller gets the whole answer')
def then_whole(context):
    for kind, got in context.results.items():
        assert (got.status, got.body) == (200, answerends.WHOLE), (kind, got)
