"""Log events of pipelines and routing."""

from pollenstile.ops.events import define

ROUTED = define(
    1001,
    'routed',
    'A stage call goes to this upstream, for this reason.',
)
ATTEMPT_FAILED = define(
    1002,
    'attempt-failed',
    'An attempt ended without a complete answer.',
    'Many for one upstream: look at that upstream.',
)
FOREIGN_REPLY = define(
    1003,
    'foreign-reply-dropped',
    'An upstream answered with the attempt id of another call.',
    'The upstream mixes up answers: take it out and report it.',
)
FINISHED = define(
    1004,
    'finished',
    'A request has its final outcome.',
)
NO_UPSTREAM = define(
    1005,
    'no-upstream',
    'No upstream of the pool can take the call.',
    'See whether the pool is down, leaving or cut off.',
)
HEDGED = define(
    1006,
    'hedged',
    'A slow idempotent call is tried at a second upstream as well.',
)
INVARIANT_BROKEN = define(
    9001,
    'invariant-broken',
    'The program did what it promises never to do.',
    'Report it with the whole line; restart the host.',
)
