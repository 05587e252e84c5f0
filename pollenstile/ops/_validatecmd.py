"""``pollenstile validate``: checks manifests without applying them."""

import sys

from pollenstile.manifest import manifest_schema, report_lines
from pollenstile.ops.exits import BAD_INPUT, GOOD


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser('validate', help='check manifests')
    parser.add_argument('files', nargs='*', help='YAML or JSON documents')
    parser.add_argument(
        '--schema',
        action='store_true',
        help='print the JSON Schema of manifests',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Check each file and return the worst exit code."""
    if arguments.schema:
        print(manifest_schema())
        return GOOD
    if not arguments.files:
        sys.stderr.write('pollenstile validate: give a file or --schema\n')
        return BAD_INPUT
    codes = [_check_file(path) for path in arguments.files]
    return max(codes)


def _check_file(path):
    text = read_file(path)
    if text is None:
        return BAD_INPUT
    lines, code = report_lines(path, text)
    stream = sys.stderr if code else sys.stdout
    for line in lines:
        stream.write(f'{line}\n')
    return code


def read_file(path):
    """Return a file's bytes, or write an error line and return None."""
    try:
        with open(path, 'rb') as source:
            return source.read()
    except OSError as error:
        sys.stderr.write(f'{path}: {error.strerror}\n')
    return None
