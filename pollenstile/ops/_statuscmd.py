"""``pollenstile status``: which host has which version in force."""

import json
import sys

from pollenstile.ops._admin import admin_reader, first_answer
from pollenstile.ops.exits import BAD_RESULT, GOOD, UNREACHED
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import SettingsError, addresses, parsed


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'status',
        help='show which host has which version in force',
    )
    parser.add_argument(
        '--entry',
        required=True,
        help="IP:PORT of an entry host's admin face; several with commas",
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.set_defaults(run=run)


def run(arguments):
    """Print the fleet's status; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    entries = parse_entries(arguments.entry)
    readers = [admin_reader(reactor, entry) for entry in entries]
    document = result_of(reactor, lambda: first_answer(readers, '/fleet'))
    if document is None:
        sys.stderr.write('no entry host answered\n')
        return UNREACHED
    if arguments.json:
        print(json.dumps(document, indent=2))
    else:
        for line in status_lines(document):
            print(line)
    return GOOD if is_settled(document) else BAD_RESULT


def parse_entries(text, flag='--entry'):
    """Return the addresses of a flag that needs one."""
    found = parsed(flag, addresses, text)
    if not found:
        raise SettingsError([f'{flag}: no address'])
    return found


def is_settled(document):
    """Return whether all hosts that stay have the version asked about."""
    for host in document['hosts']:
        if not host['leaving'] and host['version'] != document['version']:
            return False
    return True


def status_lines(document):
    """Return lines for a terminal.

    Examples
    ========

    >>> from pollenstile.ops._statuscmd import status_lines
    >>> host = {
    ...     'host': 'clark-1', 'domain': 'clark', 'version': 7,
    ...     'answers': True, 'leaving': False, 'live': True,
    ... }
    >>> document = {
    ...     'asked': 'clark-1', 'version': 7, 'hosts': [host], 'upstreams': [],
    ... }
    >>> for line in status_lines(document):
    ...     print(line)
    asked clark-1, which has version 7 in force
    host                     domain           version state
    clark-1                  clark                  7 live
    """
    lines = [
        f'asked {document["asked"]}, which has version '
        f'{document["version"]} in force',
        f'{"host":24} {"domain":16} {"version":>7} state',
    ]
    for host in document['hosts']:
        shown = host['version'] if host['answers'] else '?'
        lines.append(
            f'{host["host"]:24} {host["domain"]:16} {shown:>7} {_state(host)}',
        )
    for upstream in document['upstreams']:
        state = 'leaving' if upstream['leaving'] else 'can not be reached'
        by = ', '.join(upstream['witnesses'])
        shown = f' by {by}' if by else ''
        lines.append(
            f'upstream {upstream["upstream"]} '
            f'({upstream["incarnation"]}): {state}{shown}',
        )
    return lines


def _state(host):
    if host['leaving']:
        return 'leaving'
    if not host['live']:
        return 'gone'
    return 'live' if host['answers'] else 'no answer'
