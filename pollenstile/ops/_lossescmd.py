"""``pollenstile losses``: late, refused and failed requests by cause."""

import argparse
import sys
import time

import msgspec

from pollenstile.ops._explaincmd import decode_line
from pollenstile.ops._losses import USED_EVENTS, LossCollector, losses_document
from pollenstile.ops.exits import BAD_INPUT, GOOD

# Seconds between progress lines while a long input is read.
_PROGRESS_SECONDS = 3.0
_MOST_CAUSES = 6
_EPILOG = """example:
  cat logs/*.log | pollenstile losses
  cat logs/*.log | pollenstile losses --format json > losses.json"""


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'losses',
        help='count late, refused and failed requests in logs on stdin',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--format',
        choices=('table', 'json'),
        default='table',
        help='what to print (default: table)',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print the tables and return the exit code."""
    collector = read_lines(sys.stdin, sys.stderr, time.monotonic)
    if not collector.lines:
        sys.stderr.write(
            'pollenstile losses: no log lines of entry hosts on the input;'
            ' pipe in the output of `pollenstile forward`\n',
        )
        return BAD_INPUT
    document = losses_document(collector.losses())
    if arguments.format == 'json':
        print(msgspec.json.encode(document).decode())
        return GOOD
    for line in table_lines(document):
        print(line)
    return GOOD


def read_lines(stream, progress, clock):
    """Return a :class:`LossCollector` of all log lines of a stream.

    Parameters
    ==========

    progress : file
        Receives a progress line every three seconds.
    clock : function
        Returns the current time in seconds.
    """
    collector = LossCollector()
    reported_at = clock()
    for number, text in enumerate(stream, 1):
        line = decode_line(text)
        if line is not None and line['event'] in USED_EVENTS:
            collector.add_line(line)
        if clock() - reported_at > _PROGRESS_SECONDS:
            reported_at = clock()
            progress.write(f'{number} lines read\n')
    return collector


def table_lines(document):
    """Return the lines of the tables, each at most 80 columns wide."""
    lines = []
    for row in document['routes']:
        lines.extend(_route_lines(row))
    lines.append('')
    lines.append(
        f'{"stage":18}{"calls":>7}{"pieces":>8}{"a call":>8}'
        f'{"wait":>7}{"wait 90%":>10}{"free kB":>9}{"no room":>9}'
    )
    for stage in document['stages']:
        lines.append(
            f'{stage["stage"]:18}{stage["calls"]:7}{stage["pieces"]:8}'
            f'{stage["pieces_median"]:8}{stage["waiting_median"]:7}'
            f'{stage["waiting_p90"]:10}{stage["free_kb_p10"]:9}'
            f'{stage["no_room"]:9}'
        )
    lines.append('')
    lines.append(f'{"second":>8}{"asked":>8}{"in aim":>8}')
    for moment in document['moments']:
        lines.append(
            f'{moment["second"]:8}{moment["asked"]:8}{moment["in_aim"]:8}'
        )
    return lines


def _route_lines(row):
    lines = [f'{row["route"]}: {row["asked"]} asked']
    for cause, number in list(row['causes'].items())[:_MOST_CAUSES]:
        lines.append(f'{number:8}  {cause}'[:80])
    if row['refused_wait_ms']:
        lines.append(
            f'          refused at the median: {row["refused_wait_ms"]} ms of'
            f' wait, {row["refused_spare_ms"]} to spare,'
            f' {row["refused_ahead"]} ahead'
        )
    lines.append(
        f'          {row["crossed_mb"]} MB crossed domains,'
        f' {row["unused_results"]} results unused'
    )
    return lines
