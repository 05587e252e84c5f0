"""Steps that hold the pages against the code."""

from behave import given, then

from features.builders.docs import CHECKS, all_pages, commands, page_with
from tools import capacity, settings
from tools.events import PAGE, events_page


def _wrong(check):
    found = []
    for page in all_pages():
        found.extend((page.path.name, one) for one in CHECKS[check](page))
    return found


@then('each link in the docs leads to a file and a heading that exist')
def step_links(context):
    assert not _wrong('links'), _wrong('links')


@then('the docs hold commands, and each is one that the program takes')
def step_commands(context):
    assert any(commands(page) for page in all_pages())
    assert not _wrong('commands'), _wrong('commands')


@then('each event number named in the docs is in the catalogue')
def step_events(context):
    assert not _wrong('events'), _wrong('events')


@then('the events page of the docs is the one that the code gives')
def step_events_page(context):
    assert PAGE.read_text(encoding='utf8') == events_page(), (
        'docs/EVENTS.md differs from the code: run `make events`'
    )


@then('the capacity page of the docs is the one that its data give')
def step_capacity_page(context):
    assert capacity.PAGE.read_text() == capacity.page_text(), (
        'docs/CAPACITY.md differs from its data: run `make capacity`'
    )


@then('the settings table of the docs is the one that the parser gives')
def step_settings_table(context):
    assert settings.PAGE.read_text() == settings.page_text(), (
        'docs/OPERATIONS.md differs from the code: run `make settings`'
    )


@then('no page of the docs names a path of some machine')
def step_paths(context):
    assert not _wrong('paths'), _wrong('paths')


@given('a docs page with the line "{line}"')
def step_page(context, line):
    context.page = page_with(line)


@then('the docs check "{check}" finds it')
def step_finds(context, check):
    assert CHECKS[check](context.page), context.page.text
