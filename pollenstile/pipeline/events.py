"""Log events of pipeline requests and their routing."""

from pollenstile.ops.events import define

ROUTED = define(
    1001,
    'routed',
    'A stage call is sent to this upstream, for this reason.',
)
ATTEMPT_FAILED = define(
    1002,
    'attempt-failed',
    'An attempt ended without a complete answer.',
    'Many for one upstream: check that upstream.',
)
FOREIGN_REPLY = define(
    1003,
    'foreign-reply-dropped',
    'An upstream answered with the attempt id of another call.',
    'The upstream mixes up answers: take it out of service and report it.',
)
FINISHED = define(
    1004,
    'finished',
    'A request has its final outcome.',
)
NO_UPSTREAM = define(
    1005,
    'no-upstream',
    'No upstream of the pool can accept the call.',
    'Check whether the pool is down, leaving or unreachable.',
)
HEDGED = define(
    1006,
    'hedged',
    'A slow idempotent call is also sent to a second upstream.',
)
SILENT = define(
    1007,
    'attempt-silent',
    'Nothing came of an attempt for its limit. It goes on; the line says whether'
    ' another one was started beside it, or why not.',
    'Many for one upstream: check that upstream.',
)
RESUMED = define(
    1008,
    'attempt-resumed',
    'An attempt that was silent goes on, after this time.',
)
INVARIANT_BROKEN = define(
    9001,
    'invariant-broken',
    'The program violated one of its invariants.',
    'Report it with the complete line; restart the host.',
)
