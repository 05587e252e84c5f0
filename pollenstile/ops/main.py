"""Command line of ``pollenstile``."""

import argparse
import importlib
import sys

import pollenstile
from pollenstile.ops.collector import collection_paused
from pollenstile.ops.exits import BAD_INPUT
from pollenstile.ops.settings import SettingsError

_EPILOG = """exit codes:
  0  success
  1  the command did not succeed: a refusal, a conflict, a failed check
  2  the command line, a setting or a document is invalid
  3  no server answered"""

# Names of the subcommands; each has a module of its own.
_COMMANDS = (
    'entry',
    'forward',
    'losses',
    'explain',
    'standin',
    'validate',
    'apply',
    'status',
    'drain',
    'quarantine',
    'call',
    'demo',
    'bench',
    'soak',
    'report',
)


def build_parser(names=_COMMANDS):
    """Return the argument parser with subcommands.

    Parameters
    ==========

    names : tuple of str
        Names of the subcommands; only their modules are imported.
    """
    parser = argparse.ArgumentParser(
        prog='pollenstile',
        description='Serving system for multi-stage model pipelines.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=pollenstile.__version__,
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for name in names:
        module = importlib.import_module(f'pollenstile.ops._{name}cmd')
        module.add_parser(commands)
    return parser


def parse_command(words):
    """Return the parsed command line; import only its subcommand.

    Parameters
    ==========

    words : list of str
        Arguments of the command line.
    """
    names = _COMMANDS
    if words and words[0] in _COMMANDS:
        names = (words[0],)
    with collection_paused():
        parser = build_parser(names)
    return parser.parse_args(words)


def main(arguments=None):
    """Run the command line and return the exit code.

    Parameters
    ==========

    arguments : list of str or None
        Command line arguments; None for those of the process.
    """
    parsed = parse_command(sys.argv[1:] if arguments is None else arguments)
    try:
        return parsed.run(parsed)
    except SettingsError as error:
        for mistake in error.mistakes:
            sys.stderr.write(f'pollenstile {parsed.command}: {mistake}\n')
        return BAD_INPUT
