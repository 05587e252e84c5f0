"""Log events of stage work."""

from pollenstile.ops.events import define

STAGE_CALLED = define(
    1101,
    'stage-called',
    'An owner host has sent a batch of pieces to an upstream.',
)
STAGE_CALL_LOST = define(
    1102,
    'stage-call-lost',
    'A call of a stage brought no results; its pieces wait again.',
    'Many at one upstream: look at that upstream.',
)
STAGE_CALL_SLOW = define(
    1103,
    'stage-call-slow',
    'A call of a stage takes over twice its time; its pieces wait again.',
    'Many at one upstream: it is slow or stopped.',
)
STAGE_REFUSED = define(
    1104,
    'stage-refused',
    'The pieces of a request will not be made; the reason is in the line.',
)
STAGE_OWNER_LOST = define(
    1105,
    'stage-owner-lost',
    'The host that owns a stage did not answer; another one is asked.',
)
STAGE_MADE = define(
    1108,
    'stage-made',
    'All pieces of one step of a request are made; how long that took.',
)
STAGE_ROOM = define(
    1107,
    'stage-room',
    'An upstream of a stage had no room for a result; it gets none for a while.',
    'Often, with little held: results are not released in time.',
)
STAGE_RELEASE_FAILED = define(
    1106,
    'stage-release-failed',
    'Results could not be released; they lapse by themselves.',
)
