"""Command line of ``pollenstile``."""

import argparse
import sys

import pollenstile
from pollenstile.ops import (
    _applycmd,
    _benchcmd,
    _callcmd,
    _democmd,
    _draincmd,
    _entrycmd,
    _explaincmd,
    _forwardcmd,
    _lossescmd,
    _quarantinecmd,
    _reportcmd,
    _soakcmd,
    _standincmd,
    _statuscmd,
    _validatecmd,
)
from pollenstile.ops.exits import BAD_INPUT
from pollenstile.ops.settings import SettingsError

_EPILOG = """exit codes:
  0  success
  1  the command did not succeed: a refusal, a conflict, a failed check
  2  the command line, a setting or a document is invalid
  3  no server answered"""

_COMMANDS = (
    _entrycmd,
    _forwardcmd,
    _lossescmd,
    _explaincmd,
    _standincmd,
    _validatecmd,
    _applycmd,
    _statuscmd,
    _draincmd,
    _quarantinecmd,
    _callcmd,
    _democmd,
    _benchcmd,
    _soakcmd,
    _reportcmd,
)


def build_parser():
    """Return the argument parser with all subcommands."""
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
    for module in _COMMANDS:
        module.add_parser(commands)
    return parser


def main(arguments=None):
    """Run the command line and return the exit code.

    Parameters
    ==========

    arguments : list of str or None
        Command line arguments; None for those of the process.
    """
    parsed = build_parser().parse_args(arguments)
    try:
        return parsed.run(parsed)
    except SettingsError as error:
        for mistake in error.mistakes:
            sys.stderr.write(f'pollenstile {parsed.command}: {mistake}\n')
        return BAD_INPUT
