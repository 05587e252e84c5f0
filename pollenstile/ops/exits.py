"""Exit codes of the command line."""

import sys

GOOD = 0
# The thing asked for was not reached: a refusal, a conflict, a failed check.
BAD_RESULT = 1
# The command, a setting or a document is wrong.
BAD_INPUT = 2
# Nothing answered.
UNREACHED = 3


def unsure(command, outcome):
    """Say that a write may have been done or not; return the exit code.

    Parameters
    ==========

    command : str
        As it was called.
    outcome : Conflict, NotApplied, InDoubt or Unavailable
        Of the store.
    """
    reason = getattr(outcome, 'reason', repr(outcome))
    sys.stderr.write(f'{command}: not sure that it was done: {reason}')
    sys.stderr.write('; say it again\n')
    return UNREACHED
