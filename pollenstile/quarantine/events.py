"""Log events of the quarantine."""

from pollenstile.ops.events import define

REQUEST_QUARANTINED = define(
    1401,
    'request-quarantined',
    'A request has crashed upstreams; it is refused from now on.',
    'Find the cause in the request; `pollenstile quarantine` lists quarantined'
    ' requests and releases them.',
)
QUARANTINE_LIFTED = define(
    1402,
    'quarantine-lifted',
    'A request is released from quarantine; the line gives the reason.',
)
SUSPECT_CLEARED = define(
    1403,
    'suspect-cleared',
    'A request that was in flight at crashed upstreams ran to completion.',
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
