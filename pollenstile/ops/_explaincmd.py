"""``pollenstile explain``: one request's timeline from several hosts' logs."""

import importlib
import sys

import msgspec

from pollenstile.ops.events import catalogue
from pollenstile.ops.exits import BAD_INPUT, BAD_RESULT, GOOD

# Modules that define the events that entry hosts log about requests.
_EVENT_MODULES = (
    'pollenstile.forward.events',
    'pollenstile.stagework.events',
    'pollenstile.peer.events',
    'pollenstile.platform.events',
    'pollenstile.ratelimits.events',
    'pollenstile.permission.events',
    'pollenstile.origins.events',
    'pollenstile.entry.events',
    'pollenstile.pipeline.events',
    'pollenstile.claims.events',
    'pollenstile.limits.events',
)
# Fields that the timeline shows elsewhere or that add no information.
_OMITTED_FIELDS = ('event', 'host', 'number', 'request', 'timestamp')


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'explain',
        help="show a request's timeline from logs on standard input",
    )
    parser.add_argument(
        'request', help='attempt identifier that the caller sent'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print the timeline and return the exit code."""
    lines, number = _matching_lines(sys.stdin, arguments.request)
    if not number:
        sys.stderr.write('pollenstile explain: no log lines on the input\n')
        return BAD_INPUT
    if not lines:
        name = arguments.request
        sys.stderr.write(
            f'pollenstile explain: {name} is in none of {number} lines\n',
        )
        return BAD_RESULT
    for line in timeline_lines(lines):
        print(line)
    return GOOD


def timeline_lines(lines):
    """Return a request's timeline: log lines by time, with meanings.

    Parameters
    ==========

    lines : list of dict
        Decoded log lines that name the request.
    """
    for module in _EVENT_MODULES:
        importlib.import_module(module)
    meanings = {event.number: event.meaning for event in catalogue()}
    timeline = []
    for line in sorted(lines, key=_timestamp):
        fields = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in _OMITTED_FIELDS and str(value) not in {'', '0'}
        )
        timestamp = line.get('timestamp', '')
        host = line.get('host', '')
        timeline.append(f'{timestamp} {host} {line.get("event", "")} {fields}')
        meaning = meanings.get(line.get('number'))
        if meaning:
            timeline.append(f'    {meaning}')
    return timeline


def _timestamp(line):
    # Clocks of hosts differ slightly; the lines of one host stay in order.
    return line.get('timestamp', '')


def _matching_lines(stream, request):
    """Return the lines that name a request, and the count of all log lines."""
    matches = []
    number = 0
    for text in stream:
        line = decode_line(text)
        if line is None:
            continue
        number += 1
        if _names_request(line, request):
            matches.append(line)
    return matches, number


def _names_request(line, request):
    """Return whether a line is about a request, or a try that resumes it."""
    named = line.get('request', '')
    if isinstance(named, list):
        return request in named
    return request in {named, line.get('resumes', '')}


def decode_line(text):
    """Return a log line's fields, or None when the text is not a log line.

    A log collector may have prefixed the line with a time or a host.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:].encode(errors='replace'))
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) and 'event' in line else None
