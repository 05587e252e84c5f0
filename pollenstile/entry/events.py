"""Log events of the daemon."""

from pollenstile.ops.events import define

STARTED = define(8001, 'started', 'The host listens on these addresses.')
READY = define(8002, 'ready', 'The host has a configuration and serves.')
LEAVING = define(
    8003,
    'leaving',
    'The host was told to stop; it finishes what is in flight.',
)
STOPPED = define(8004, 'stopped', 'The host has finished and stops.')
CALLER_REFUSED = define(
    8005,
    'caller-refused',
    'A request was refused before it became one: key, path or body.',
    'Many from one team: its client is set up wrongly.',
)
CRASHED = define(
    8006,
    'request-crashed',
    'A fault of the program ended a request.',
    'Report it with the whole line.',
)
CUT_OFF = define(
    8007,
    'callers-cut-off',
    'Callers did not read their answers for long, and the host has to leave.',
    'Nothing; such callers have stopped or are cut off.',
)
