"""Log events of the randomised soak run."""

from pollenstile.ops.events import define

SOAK_VIOLATION = define(
    9002,
    'soak-violation',
    'A randomised run saw something that must never happen.',
    'Run the same seed again; the tail of its trace leads to the cause.',
)
SOAK_PASSED = define(
    9003,
    'soak-passed',
    'A randomised run ended with every invariant held.',
)
