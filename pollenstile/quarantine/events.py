"""Log events of requests that crash upstreams."""

from pollenstile.ops.events import define

REQUEST_QUARANTINED = define(
    1401,
    'request-quarantined',
    'A request has crashed upstreams; it is refused from now on.',
    'Find what in it does; `pollenstile quarantine` lists and lifts.',
)
QUARANTINE_LIFTED = define(
    1402,
    'quarantine-lifted',
    'A request is sent to upstreams again; the reason is in the line.',
)
SUSPECT_CLEARED = define(
    1403,
    'suspect-cleared',
    'A request that was under way where upstreams crashed ran to its end.',
)
CRASH_VOID = define(
    1404,
    'crash-void',
    'An upstream that was reported as crashed answers; the reports fall.',
)
QUARANTINE_UNWRITTEN = define(
    1405,
    'quarantine-unwritten',
    'The store has not taken a verdict; the host tries again.',
)
NEWS_UNTOLD = define(
    1406,
    'quarantine-untold',
    'A peer did not take news of crashes; others tell it, or the store.',
)
