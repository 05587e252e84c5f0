"""Write docs/EVENTS.md from the catalogue of log events."""

import importlib
import pathlib
import pkgutil
import sys

import pollenstile
from pollenstile.ops.events import catalogue

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'EVENTS.md'
_HEAD = """# Log events

Each log line has one of these numbers. `make events` generates this page from
the code; a test fails if they differ.

| Number | Name | Meaning | What to do |
|---|---|---|---|
"""


def load_package():
    """Import every module of the package, so that all events are defined."""
    prefix = f'{pollenstile.__name__}.'
    for module_info in pkgutil.walk_packages(pollenstile.__path__, prefix):
        if module_info.name.endswith('.__main__'):
            continue
        importlib.import_module(module_info.name)


def events_page():
    """Return the text of the page."""
    load_package()
    rows = []
    for event in catalogue():
        action = event.action or '-'
        rows.append(
            f'| {event.number} | `{event.name}` | {event.meaning} '
            f'| {action} |\n',
        )
    return _HEAD + ''.join(rows)


if __name__ == '__main__':
    PAGE.write_text(events_page(), encoding='utf8')
    sys.exit(0)
