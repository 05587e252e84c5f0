"""Log events of the randomised soak run."""

from pollenstile.ops.events import define

SOAK_VIOLATION = define(
    9002,
    'soak-violation',
    'A randomised run violated an invariant.',
    'Run the same seed again; the tail of its trace shows the cause.',
)
SOAK_PASSED = define(
    9003,
    'soak-passed',
    'A randomised run ended, and every invariant held.',
)
