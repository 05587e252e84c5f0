"""``pollenstile apply``: applies a reviewed manifest to the fleet."""

import random
import secrets
import sys

from twisted.internet.task import deferLater

from pollenstile.fleet import (
    Accepted,
    CurrentConfig,
    RaceLost,
    Replaced,
    apply_manifest,
    current_config,
    hosts_behind,
)
from pollenstile.manifest import (
    ManifestError,
    diff_lines,
    manifest_diff,
    manifest_from_text,
)
from pollenstile.ops._admin import admin_reader, first_document
from pollenstile.ops._statuscmd import parse_entries
from pollenstile.ops._stores import command_store
from pollenstile.ops._validatecmd import read_file
from pollenstile.ops.exits import BAD_INPUT, BAD_RESULT, GOOD, UNREACHED
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import address, parse_argument
from pollenstile.platform import make_pause

_MARK_BYTES = 8
_POLL_SECONDS = 0.5


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser('apply', help='apply a manifest to the fleet')
    parser.add_argument('file', help='YAML or JSON document')
    parser.add_argument(
        '--platform',
        required=True,
        help='IP:PORT of the object API',
    )
    parser.add_argument(
        '--reviewed-against',
        type=int,
        required=True,
        help='version that the change was reviewed against; 0 if none',
    )
    parser.add_argument(
        '--wait',
        type=float,
        default=0,
        metavar='SECONDS',
        help='wait until the manifest is in force at every entry host',
    )
    parser.add_argument(
        '--entry',
        default='',
        help="IP:PORT of entry hosts' admin frontends, for --wait",
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Apply the manifest in the file and return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    text = read_file(arguments.file)
    if text is None:
        return BAD_INPUT
    try:
        manifest = manifest_from_text(text)
    except ManifestError as error:
        for mistake in error.mistakes:
            sys.stderr.write(f'{arguments.file}: {mistake.path}: ')
            sys.stderr.write(f'{mistake.text}\n')
        return BAD_INPUT
    platform = parse_argument('--platform', address, arguments.platform)
    store = command_store(reactor, platform)
    entries = ()
    if arguments.wait:
        entries = parse_entries(arguments.entry)
    return result_of(
        reactor,
        lambda: _run(
            reactor, store, text.decode(), manifest, entries, arguments
        ),
    )


async def _run(reactor, store, text, manifest, entries, arguments):
    previous = await current_config(store)
    if isinstance(previous, CurrentConfig):
        _print_diff(previous, manifest)
    outcome = await apply_manifest(
        store,
        text,
        arguments.reviewed_against,
        secrets.token_hex(_MARK_BYTES),
        make_pause(reactor, random.Random(), 0.2, 2.0),
    )
    code = _report_outcome(outcome, arguments.reviewed_against)
    if code != GOOD or not arguments.wait:
        return code
    readers = [admin_reader(reactor, entry) for entry in entries]
    return await _wait_until_applied(
        reactor, readers, outcome.version, arguments.wait
    )


def _print_diff(previous, manifest):
    try:
        old = manifest_from_text(previous.text) if previous.text else None
    except ManifestError:
        old = None
    for line in diff_lines(manifest_diff(old, manifest)):
        print(line)


def _report_outcome(outcome, reviewed_version):
    if isinstance(outcome, Accepted):
        print(f'version {outcome.version} is accepted')
        return GOOD
    if isinstance(outcome, RaceLost):
        sys.stderr.write(
            f'conflict: reviewed against version {reviewed_version}, '
            f'but the store has version {outcome.version}; '
            'nothing was changed\n',
        )
        return BAD_RESULT
    if isinstance(outcome, Replaced):
        sys.stderr.write(
            f'accepted, but replaced since: the store has version '
            f'{outcome.version}\n',
        )
        return BAD_RESULT
    sys.stderr.write(
        f'outcome unknown ({outcome.step} at {outcome.peer}: '
        f'{outcome.reason}); read the current version before applying again\n',
    )
    return UNREACHED


async def _wait_until_applied(reactor, readers, version, seconds):
    deadline = reactor.seconds() + seconds
    document = None
    while True:
        document = await first_document(readers, '/fleet') or document
        if document is not None and not hosts_behind(document, version):
            print(f'in force at {len(document["hosts"])} hosts')
            return GOOD
        if reactor.seconds() >= deadline:
            break
        await deferLater(reactor, _POLL_SECONDS)
    if document is None:
        sys.stderr.write('no entry host answered\n')
        return UNREACHED
    for host in hosts_behind(document, version):
        sys.stderr.write(f'not in force at {host}\n')
    return BAD_RESULT
