"""Log events of an entry host's daemon."""

from pollenstile.ops.events import define

STARTED = define(8001, 'started', 'The host listens on these addresses.')
READY = define(
    8002,
    'ready',
    'The host has a configuration and accepts requests.',
)
LEAVING = define(
    8003,
    'leaving',
    'The host is shutting down and finishes the requests in flight.',
)
STOPPED = define(8004, 'stopped', 'The host has shut down.')
CALLER_REFUSED = define(
    8005,
    'caller-refused',
    'A request was refused before it was accepted: key, path or body.',
    'Many from one team: its client is misconfigured.',
)
CRASHED = define(
    8006,
    'request-crashed',
    'An unexpected exception ended a request.',
    'Report it with the complete line.',
)
GRACE_ENDED = define(
    8011,
    'grace-ended',
    'Requests were still running near the end of the grace. Each was told how it'
    ' ended, and begun answers were reset; the lines of their ends (1004) have'
    ' the step grace.',
    'Many: give a longer grace, or shorter deadlines.',
)
CUT_OFF = define(
    8007,
    'callers-cut-off',
    'Connections of callers that did not read their answers were aborted at'
    ' shutdown; the line has the last request of each.',
    'None; such callers have stopped or are unreachable.',
)
ANSWER_RESET = define(
    8008,
    'answer-reset',
    'The host reset the connection of a caller: the answer had begun and has no'
    ' end.',
    'The line of its end (1004) has the cause.',
)
CALLER_LEFT = define(
    8009,
    'caller-closed',
    'A caller closed its connection before its answer was complete.',
)
