"""Steps that compare the documentation pages with the code."""

from behave import given, then

from features.builders.docs import CHECKS, all_pages, build_page, commands
from tools import capacity, settings
from tools.events import PAGE, events_page


def _find_problems(check):
    problems = []
    for page in all_pages():
        problems.extend(
            (page.path.name, problem) for problem in CHECKS[check](page)
        )
    return problems


@then('each link in the docs has an existing file and heading as its target')
def step_links(context):
    assert not _find_problems('links'), _find_problems('links')


@then('the docs contain commands, and the program accepts each of them')
def step_commands(context):
    assert any(commands(page) for page in all_pages())
    assert not _find_problems('commands'), _find_problems('commands')


@then('each event number in the docs is in the catalogue')
def step_events(context):
    assert not _find_problems('events'), _find_problems('events')


@then('the events page of the docs equals the one generated from the code')
def step_events_page(context):
    assert PAGE.read_text(encoding='utf8') == events_page(), (
        'docs/EVENTS.md differs from the code: run `make events`'
    )


@then('the capacity page of the docs equals the one generated from its data')
def step_capacity_page(context):
    assert capacity.PAGE.read_text() == capacity.page_text(), (
        'docs/CAPACITY.md differs from its data: run `make capacity`'
    )


@then('the settings table of the docs equals the one generated from the code')
def step_settings_table(context):
    assert settings.PAGE.read_text() == settings.page_text(), (
        'docs/OPERATIONS.md differs from the code: run `make settings`'
    )


@then('no page of the docs contains a path of a specific machine')
def step_paths(context):
    assert not _find_problems('paths'), _find_problems('paths')


@given('a docs page with the line "{line}"')
def step_page(context, line):
    context.page = build_page(line)


@then('the docs check "{check}" reports the line')
def step_reports(context, check):
    assert CHECKS[check](context.page), context.page.text
