"""Log events of stage work."""

from pollenstile.ops.events import define

STAGE_CALLED = define(
    1101,
    'stage-called',
    'An owner host sent a batch of pieces to an upstream.',
)
STAGE_CALL_LOST = define(
    1102,
    'stage-call-lost',
    'A stage call returned no results; its pieces are queued again.',
    'If there are many for one upstream, check that upstream.',
)
STAGE_CALL_SLOW = define(
    1103,
    'stage-call-slow',
    'A stage call exceeds twice its expected time; its pieces are requeued.',
    'If there are many for one upstream, it is slow or stopped.',
)
STAGE_REFUSED = define(
    1104,
    'stage-refused',
    'The pieces of a request will not be made; the line has the reason.',
)
STAGE_OWNER_LOST = define(
    1105,
    'stage-owner-lost',
    'The host that owns a stage did not answer; another host is asked.',
)
STAGE_BACKLOG_UNREAD = define(
    1109,
    'stage-backlog-unread',
    'The host that owns a stage told its backlog in bytes of no message; the'
    ' last backlog is used.',
    'Check that all hosts run versions that understand each other.',
)
STAGE_MADE = define(
    1108,
    'stage-made',
    'All pieces of one step of a request are made; the line has the times.',
)
STAGE_ROOM = define(
    1107,
    'stage-room',
    'An upstream of a stage had no memory for a result; its calls pause.',
    'If frequent with few held bytes, results are not released in time.',
)
STAGE_RELEASE_FAILED = define(
    1106,
    'stage-release-failed',
    'Results could not be released; they expire by themselves.',
)
