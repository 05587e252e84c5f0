"""Steps for report pages from result files."""

import json
import pathlib
import tempfile

from behave import given, then, when

from pollenstile.ops.main import main


def _run(policy, urgent):
    return {
        'deployment': 'kowalczyk',
        'policy': policy,
        'scenario': '2x',
        'attainment': {'urgent': urgent},
        'goodput': 68.4,
        'wasted': 0.01,
        'cost': {'drafters': 10.0},
    }


def _write_result(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.source = pathlib.Path(folder.name, 'result.json')
    context.page = pathlib.Path(folder.name, 'page.html')
    context.source.write_text(text)


@given("a report's result file of two policy runs")
def step_runs(context):
    runs = [_run('policy', 0.995), _run('no admission', 0.01)]
    _write_result(context, json.dumps(runs))


@given('a report\'s result file that holds "{content}"')
def step_content(context, content):
    _write_result(context, content)


@when('the report command is run on it')
def step_report(context):
    arguments = ['report', str(context.source), '--output', str(context.page)]
    context.code = main(arguments)


@then('the report\'s page has a table with "{first}" and "{second}"')
def step_page(context, first, second):
    page = context.page.read_text()
    assert f'<td>{first}</td>' in page, page
    assert f'<td>{second}</td>' in page, page


@then('the report command exits with 2 and writes no page')
def step_refused(context):
    assert context.code == 2, context.code
    assert not context.page.exists()
