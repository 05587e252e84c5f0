"""``pollenstile apply``: puts a reviewed manifest in force."""

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
from pollenstile.ops._admin import admin_reader, first_answer
from pollenstile.ops._statuscmd import parse_entries
from pollenstile.ops._stores import store_at
from pollenstile.ops._validatecmd import text_of_file
from pollenstile.ops.exits import BAD_INPUT, BAD_RESULT, GOOD, UNREACHED
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import address, parsed
from pollenstile.platform import make_pause

_MARK_BYTES = 8
_LOOK_SECONDS = 0.5


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser('apply', help='put a manifest in force')
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
        help='version that the change was reviewed against; 0 for none',
    )
    parser.add_argument(
        '--wait',
        type=float,
        default=0,
        metavar='SECONDS',
        help='wait until every entry host has it in force',
    )
    parser.add_argument(
        '--entry',
        default='',
        help="IP:PORT of entry hosts' admin faces, for --wait",
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Apply the file; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    text = text_of_file(arguments.file)
    if text is None:
        return BAD_INPUT
    try:
        manifest = manifest_from_text(text)
    except ManifestError as error:
        for mistake in error.mistakes:
            sys.stderr.write(f'{arguments.file}: {mistake.path}: ')
            sys.stderr.write(f'{mistake.text}\n')
        return BAD_INPUT
    platform = parsed('--platform', address, arguments.platform)
    store = store_at(reactor, platform)
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
    before = await current_config(store)
    if isinstance(before, CurrentConfig):
        _print_diff(before, manifest)
    outcome = await apply_manifest(
        store,
        text,
        arguments.reviewed_against,
        secrets.token_hex(_MARK_BYTES),
        make_pause(reactor, random.Random(), 0.2, 2.0),
    )
    code = _told(outcome, arguments.reviewed_against)
    if code != GOOD or not arguments.wait:
        return code
    readers = [admin_reader(reactor, entry) for entry in entries]
    return await _waited(reactor, readers, outcome.version, arguments.wait)


def _print_diff(before, manifest):
    try:
        old = manifest_from_text(before.text) if before.text else None
    except ManifestError:
        old = None
    for line in diff_lines(manifest_diff(old, manifest)):
        print(line)


def _told(outcome, reviewed):
    if isinstance(outcome, Accepted):
        print(f'version {outcome.version} is accepted')
        return GOOD
    if isinstance(outcome, RaceLost):
        sys.stderr.write(
            f'conflict: reviewed against version {reviewed}, '
            f'but version {outcome.version} is there; nothing was changed\n',
        )
        return BAD_RESULT
    if isinstance(outcome, Replaced):
        sys.stderr.write(
            f'accepted, and replaced since: version {outcome.version} '
            'is there\n',
        )
        return BAD_RESULT
    sys.stderr.write(
        f'not settled ({outcome.step} at {outcome.peer}: {outcome.reason}); '
        'read the version before you apply again\n',
    )
    return UNREACHED


async def _waited(reactor, readers, version, seconds):
    ends = reactor.seconds() + seconds
    document = None
    while True:
        document = await first_answer(readers, '/fleet') or document
        if document is not None and not hosts_behind(document, version):
            print(f'in force at {len(document["hosts"])} hosts')
            return GOOD
        if reactor.seconds() >= ends:
            break
        await deferLater(reactor, _LOOK_SECONDS)
    if document is None:
        sys.stderr.write('no entry host answered\n')
        return UNREACHED
    for host in hosts_behind(document, version):
        sys.stderr.write(f'not in force at {host}\n')
    return BAD_RESULT
