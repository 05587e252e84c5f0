"""Exit codes of the command line."""

GOOD = 0
# The thing asked for was not reached: a refusal, a conflict, a failed check.
BAD_RESULT = 1
# The command, a setting or a document is wrong.
BAD_INPUT = 2
# Nothing answered.
UNREACHED = 3
