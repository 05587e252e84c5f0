"""Steps for the tables of late, refused and failed requests."""

import contextlib
import io
import json
import pathlib
import sys
import tempfile
from unittest import mock

from behave import given, then, when

from pollenstile.ops._lossescmd import read_lines
from pollenstile.ops.main import main

_WIDTH = 80


def _line(event, request, second=5, **fields):
    line = {
        'host': 'front-1',
        'request': request,
        'event': event,
        'timestamp': f'2026-01-02T10:24:{second:02d}.500000Z',
        **fields,
    }
    return json.dumps(line)


def _ended(request, outcome='answered', first=400, **fields):
    usual = {
        'route': 'draft',
        'took_ms': 900,
        'first_ms': first,
        'aim_ms': 1000,
        'pause_ms': 100,
        'pause_limit_ms': 250,
    }
    line = {**usual, **fields}
    return _line('forward-ended', request, outcome=outcome, **line)


def _made(request, waited):
    return _line('stage-made', request, service='encode', waited_ms=waited)


def _refused(request, reason='busy'):
    return _line(
        'stage-refused',
        request,
        service='encode',
        reason=reason,
        wait_ms=300,
        due_ms=120,
        ahead=2,
    )


def _called(pieces):
    fields = {'service': 'encode', 'waiting': 3, 'free': 5_000_000}
    return _line('stage-called', ['r1'], pieces=pieces, **fields)


_MORNING = (
    _made('queued', 600),
    _ended('queued', first=1500, crossed=7_000_000),
    _ended('timely', first=800),
    _ended('returned', first=300, aim_ms=100, came_ms=900),
    _ended('slow', first=1400),
    _made('slow', 30),
    _ended('paused', pause_ms=400),
    f'  1.5 front-1 {_refused("r1")}',
    _ended('r1', 'refused', 0, reason='busy', step='encode', unused=3),
    _refused('r2'),
    _ended('r2', 'refused', 0, reason='busy', step='encode'),
    _ended('bad', 'upstream 500', 0),
    _called(5),
    _called(7),
    _line('stage-room', 'r1', service='encode', refused=4),
    'no line of ours',
)


@given('the logs of a morning')
def given_morning(context):
    context.logs = '\n'.join(_MORNING)


@given('the logs of a queue that refused a request for "{reason}"')
def given_refusal(context, reason):
    ended = _ended('r1', 'refused', 0, reason='busy', step='encode')
    context.logs = '\n'.join((_refused('r1', reason), ended))


@when('its losses are printed as a {form}')
def when_asked(context, form):
    shape = {'document': 'json', 'table': 'table'}[form]
    out = io.StringIO()
    errors = io.StringIO()
    with contextlib.ExitStack() as stack:
        stream = io.StringIO(context.logs)
        stack.enter_context(mock.patch.object(sys, 'stdin', stream))
        stack.enter_context(contextlib.redirect_stdout(out))
        stack.enter_context(contextlib.redirect_stderr(errors))
        context.code = main(['losses', '--format', shape])
    context.output = out.getvalue()
    context.errors = errors.getvalue()


@when('a report page is rendered from them')
def when_reported(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    source = pathlib.Path(folder.name, 'losses.json')
    context.page = pathlib.Path(folder.name, 'page.html')
    source.write_text(context.output)
    assert main(['report', str(source), '--output', str(context.page)]) == 0


def _route(context, name):
    routes = json.loads(context.output)['routes']
    return next(route for route in routes if route['route'] == name)


@then('the {count:d} requests of "{name}" have these counts by cause')
def then_causes(context, count, name):
    row = _route(context, name)
    assert row['asked'] == count, row
    expected = {
        cells['cause']: int(cells['requests']) for cells in context.table
    }
    assert row['causes'] == expected, row['causes']


@then(
    'the refusals of "{name}" had {wait:d} ms of wait, {spare:d} ms spare'
    ' and {ahead:d} pieces ahead',
)
def then_refusals(context, name, wait, spare, ahead):
    row = _route(context, name)
    actual = [row[f'refused_{key}'] for key in ('wait_ms', 'spare_ms', 'ahead')]
    assert actual == [wait, spare, ahead], actual


@then(
    '{megabytes:d} MB of "{name}" crossed domains and {unused:d} results'
    ' were unused',
)
def then_waste(context, megabytes, name, unused):
    row = _route(context, name)
    actual = (row['crossed_mb'], row['unused_results'])
    assert actual == (megabytes, unused), actual


@then(
    '"{name}" ran {pieces:d} pieces in {calls:d} calls, and had no free memory'
    ' for {no_room:d}',
)
def then_stage(context, name, pieces, calls, no_room):
    stages = json.loads(context.output)['stages']
    row = next(stage for stage in stages if stage['stage'] == name)
    actual = (row['pieces'], row['calls'], row['no_room'])
    assert actual == (pieces, calls, no_room), actual


@then('no line is longer than {width:d} characters')
def then_narrow(context, width):
    longest = max(map(len, context.output.splitlines()))
    assert longest <= width, longest


@then('a line contains "{text}"')
def then_says(context, text):
    assert text in context.output, context.output


@then('there are no loss tables, with exit code {code:d} and "{text}"')
def then_none(context, code, text):
    assert (context.code, context.output) == (code, '')
    assert text in context.errors, context.errors


@given('the logs of a morning, read in {seconds:d} seconds')
def given_slow(context, seconds):
    given_morning(context)
    lines = context.logs.splitlines()
    context.now = 0.0
    context.progress = io.StringIO()

    def clock():
        context.now += seconds / len(lines)
        return context.now

    read_lines(lines, context.progress, clock)


@then('progress is printed at least {count:d} times')
def then_progress(context, count):
    output = context.progress.getvalue().splitlines()
    assert len(output) >= count, output
    assert all(line.endswith('lines read') for line in output)
