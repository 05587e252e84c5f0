"""Steps for the list of known failures."""

import pathlib
import subprocess  # noqa: S404
import sys
import tempfile

from behave import given, then, when

from tools.knownred import (
    Scenario,
    failed_scenarios,
    failure_messages,
    listed_cases,
    read_entries,
    stale_entries,
)

_PATH = 'features/a.feature'
_FAILING_STEP = """
from behave import then

@then('it holds')
def then_holds(context):
    raise AssertionError({message!r})
"""


def _entry(name, line):
    return f'{_PATH}:{line} "{name}": `behave {_PATH}:{line}`, as seen; issue 2'


def _write_feature(root, titles):
    """Write a feature with scenarios at given lines."""
    lines = ['Feature: a']
    for line, title in titles.items():
        while len(lines) < line - 1:
            lines.append('')
        lines.append(f'  Scenario: {title}')
    path = root / _PATH
    path.parent.mkdir()
    path.write_text('\n'.join(lines))


@given(
    'a feature with a scenario "{one}" at line {first:d} and "{two}" at line'
    ' {second:d}'
)
def given_feature(context, one, first, two, second):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.root = pathlib.Path(directory.name)
    _write_feature(context.root, {first: one, second: two})


@given('an entry for "{name}" at line {line:d}')
def given_entry(context, name, line):
    entries, unreadable = read_entries(_entry(name, line))
    context.entries = entries
    assert not unreadable


@given('an entry "{text}"')
def given_text(context, text):
    entries, unreadable = read_entries(text)
    context.entries = entries
    context.unreadable = unreadable


@when('the scenario "{name}" at line {line:d} fails')
def when_fails(context, name, line):
    context.seen = failed_scenarios(f'  {_PATH}:{line}  {name}\n')
    assert len(context.seen) == 1


@then('that failure is {expected}')
def then_known(context, expected):
    is_known = bool(context.entries & context.seen)
    assert is_known == (expected == 'known'), context.seen


@then('the entry is reported with "{message}')
def then_reported(context, message):
    reported = stale_entries(context.entries, context.seen, context.root)
    assert len(reported) == 1 and message.rstrip('"') in reported[0], reported


@then('the entry is unreadable')
def then_unreadable(context):
    assert not context.entries
    assert len(context.unreadable) == 1


@given('the summary of a failed row of an outline, at line {line:d}')
def given_row(context, line):
    context.seen = failed_scenarios(
        f'\nFailing scenarios:\n  {_PATH}:{line}  Two: seed 1 -- @1.2 \n'
    )


@then('the failed scenario at line {line:d} is named as in its feature')
def then_named(context, line):
    entries, _ = read_entries(_entry('Two: seed 1', line))
    assert context.seen == entries, context.seen


@given('a case of the review in "{folder}" with the rule "{rule}"')
def given_case(context, folder, rule):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.root = pathlib.Path(directory.name)
    path = context.root / folder
    path.mkdir(parents=True)
    (path / 'claim.txt').write_text(f'rule: {rule}\nsite: one\n')


@given('an entry for the case "{entry}"')
def given_case_entry(context, entry):
    entries, unreadable = read_entries(f'{entry}: `run.sh`, as seen')
    context.entries = entries
    assert not unreadable
    assert len(listed_cases(context.entries)) == 1


@when('the case "{folder}" with the rule "{rule}" {result}')
def when_case(context, folder, rule, result):
    seen = {Scenario(folder, rule)}
    context.seen = seen if result == 'fails' else set()


@then('the faults of the list are "{faults}"')
@then('the faults of the list are ""')
def then_faults(context, faults=''):
    reported = stale_entries(context.entries, context.seen, context.root)
    expected = [faults] if faults else []
    assert reported == expected, reported


@given('a feature with a step that fails with "{message}"')
def given_failing(context, message):
    given_feature(context, 'One', 2, 'Two', 4)
    feature = context.root / _PATH
    feature.write_text(f'{feature.read_text()}\n    Then it holds\n')
    steps = feature.parent / 'steps'
    steps.mkdir()
    (steps / 'a_steps.py').write_text(_FAILING_STEP.format(message=message))
    context.message = message


@when('behave runs it with the formatter of failures')
def when_formatted(context):
    report = context.root / 'failures.jsonl'
    command = [sys.executable, '-m', 'behave', 'features']
    formatter = ['--format', 'tools.failures:FailureFormatter']
    subprocess.run(
        [*command, *formatter, '--outfile', str(report)],
        cwd=context.root,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    context.messages = failure_messages(report.read_text())


@then('its failure names the step and the message')
def then_message(context):
    message = context.messages[Scenario(f'{_PATH}:4', 'Two')]
    assert message.startswith('it holds: '), message
    assert context.message in message, message
