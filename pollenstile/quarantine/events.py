"""Log events of the quarantine."""

from pollenstile.ops.events import define

REQUEST_QUARANTINED = define(
    1401,
    'request-quarantined',
    'A request or a prompt part has crashed upstreams; it, or all requests with'
    ' the part, are refused from now on.',
    'Find the cause in the request; `part` tells whether all requests with that'
    ' part are refused. `pollenstile quarantine` lists and releases both.',
)
QUARANTINE_LIFTED = define(
    1402,
    'quarantine-lifted',
    'A request or a prompt part is released from quarantine; the line gives the'
    ' reason.',
)
SUSPECT_CLEARED = define(
    1403,
    'suspect-cleared',
    'What was in flight at crashed upstreams is sound: a request ran to'
    ' completion, or an answer on a prompt part went on.',
)
CRASH_VOIDED = define(
    1404,
    'crash-void',
    'An upstream that was reported as crashed answers; the reports are void.',
)
QUARANTINE_UNWRITTEN = define(
    1405,
    'quarantine-unwritten',
    'Writing a verdict to the store failed; the host retries.',
)
UPDATE_UNSENT = define(
    1406,
    'quarantine-untold',
    'A peer did not accept a quarantine update; it gets the update from other'
    ' hosts or from the store.',
)
