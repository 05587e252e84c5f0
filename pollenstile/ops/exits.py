"""Exit codes of the command line."""

import sys

GOOD = 0
# The command ran but did not succeed: a refusal, a conflict, a failed check.
BAD_RESULT = 1
# The command line, a setting or a document is invalid.
BAD_INPUT = 2
# No server answered.
UNREACHED = 3


def report_unknown_outcome(command, outcome):
    """Report a write whose outcome is unknown; return the exit code.

    Parameters
    ==========

    command : str
        Name of the command.
    outcome : Conflict, NotApplied, InDoubt or Unavailable
        Outcome of the store call.
    """
    reason = getattr(outcome, 'reason', repr(outcome))
    sys.stderr.write(f'{command}: the outcome is unknown: {reason}')
    sys.stderr.write('; run the command again\n')
    return UNREACHED
