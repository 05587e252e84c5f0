"""Writes the table of settings into docs/OPERATIONS.md."""

import pathlib

from pollenstile.ops.settings import ENTRY

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'OPERATIONS.md'
BEGIN = '<!-- settings: written by make settings -->\n'
END = '<!-- end of settings -->\n'
_HEAD = '| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n'


def settings_table():
    """Return the table of the daemon's settings."""
    lines = []
    for setting in ENTRY:
        default = setting.default
        shown = 'required' if default is None else default or 'none'
        lines.append(
            f'| `{setting.flag}` | `{setting.environment_name}` | {shown} | '
            f'{setting.meaning} |\n',
        )
    body = ''.join(lines)
    return f'{_HEAD}{body}'


def page_text():
    """Return the page with the table of this version."""
    head, _, tail = PAGE.read_text().partition(BEGIN)
    _, _, rest = tail.partition(END)
    return f'{head}{BEGIN}{settings_table()}{END}{rest}'


if __name__ == '__main__':
    PAGE.write_text(page_text())
