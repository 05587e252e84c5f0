"""``pollenstile report``: renders a benchmark's result file as a page."""

import sys

import msgspec

from pollenstile.ops._validatecmd import read_file
from pollenstile.ops.exits import BAD_INPUT, GOOD
from pollenstile.report import UnknownResult, build_charts, render_page


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'report',
        help='render a result file as a page; plots need the extra "report"',
    )
    parser.add_argument('file', help='result file written by bench --output')
    parser.add_argument(
        '--output', default='report.html', help='HTML file to write'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Write the page and return the exit code."""
    text = read_file(arguments.file)
    if text is None:
        return BAD_INPUT
    try:
        charts = build_charts(msgspec.json.decode(text))
    except (msgspec.MsgspecError, UnknownResult) as error:
        sys.stderr.write(f'{arguments.file}: {error}\n')
        return BAD_INPUT
    with open(arguments.output, 'w', encoding='utf-8') as target:
        target.write(render_page(arguments.file, charts))
    print(f'{arguments.output}: {len(charts)} charts')
    return GOOD
