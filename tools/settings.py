"""Write the tables of settings into docs/OPERATIONS.md."""

import pathlib

from pollenstile.ops.settings import ENTRY, FORWARD

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'OPERATIONS.md'
TABLES = (
    (
        '<!-- settings: written by make settings -->\n',
        '<!-- end of settings -->\n',
        ENTRY,
    ),
    (
        '<!-- forward settings: written by make settings -->\n',
        '<!-- end of forward settings -->\n',
        FORWARD,
    ),
)
_HEAD = '| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n'


def settings_table(table):
    """Return the table of the settings of a daemon."""
    lines = []
    for setting in table:
        default = setting.default
        shown = 'required' if default is None else default or 'none'
        lines.append(
            f'| `{setting.flag}` | `{setting.environment_name}` | {shown} | '
            f'{setting.meaning} |\n',
        )
    body = ''.join(lines)
    return f'{_HEAD}{body}'


def page_text():
    """Return the text of the page with up-to-date tables."""
    text = PAGE.read_text()
    for begin, end, table in TABLES:
        head, _, tail = text.partition(begin)
        _, _, rest = tail.partition(end)
        text = f'{head}{begin}{settings_table(table)}{end}{rest}'
    return text


if __name__ == '__main__':
    PAGE.write_text(page_text())
