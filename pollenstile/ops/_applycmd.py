"""``pollenstile apply``: puts a reviewed manifest in force."""

import secrets
import sys

from pollenstile.fleet import CONFIG_KIND, CONFIG_NAME
from pollenstile.manifest import ManifestError, manifest_from_text
from pollenstile.ops._stores import store_at
from pollenstile.ops._validatecmd import text_of_file
from pollenstile.ops.exits import BAD_INPUT, BAD_RESULT, GOOD, UNREACHED
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import SettingsError, address
from pollenstile.platform import Conflict, Written

_MARK_BYTES = 8


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
    parser.set_defaults(run=run)


def run(arguments):
    """Apply the file; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    text = text_of_file(arguments.file)
    if text is None:
        return BAD_INPUT
    try:
        manifest_from_text(text)
    except ManifestError as error:
        for mistake in error.mistakes:
            sys.stderr.write(f'{arguments.file}: {mistake.path}: ')
            sys.stderr.write(f'{mistake.text}\n')
        return BAD_INPUT
    try:
        store = store_at(reactor, address(arguments.platform))
    except ValueError as error:
        raise SettingsError([f'--platform: {error}']) from None
    value = {'text': text.decode(), 'apply': secrets.token_hex(_MARK_BYTES)}
    written = result_of(
        reactor,
        lambda: store.put(
            CONFIG_KIND,
            CONFIG_NAME,
            value,
            if_version=arguments.reviewed_against,
        ),
    )
    return _told(written, arguments.reviewed_against)


def _told(written, reviewed):
    if isinstance(written, Written):
        print(f'version {written.version} is accepted')
        return GOOD
    if isinstance(written, Conflict):
        sys.stderr.write(
            f'conflict: reviewed against version {reviewed}, '
            f'but version {written.version} is there\n',
        )
        return BAD_RESULT
    sys.stderr.write(f'not settled: {written}\n')
    return UNREACHED
