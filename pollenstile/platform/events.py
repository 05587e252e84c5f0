"""Numbered events of the platform client."""

from pollenstile.ops.events import define

STORE_BACKING_OFF = define(
    7001,
    'store-backing-off',
    'Calls to the object API keep failing; this host calls it less often.',
    'Check whether the object API is down or slow; requests are still served.',
)
STORE_ANSWERS = define(
    7002,
    'store-answers',
    'The object API answers again after a series of failures.',
)
BUDGET_REFUSED = define(
    7003,
    'store-budget-refused',
    'A call to the object API was not sent: the call budget is exhausted.',
    'If it persists, find the kind with the most calls, or raise the rate.',
)
WATCH_SILENT = define(
    7004,
    'watch-silent',
    'A watch was not answered within its poll time and the margin.',
    'None; the watch is sent again on a new connection.',
)
WATCH_LISTED_AGAIN = define(
    7005,
    'watch-listed-again',
    'A watch missed compacted changes and lists all objects again.',
)
WATCH_MISSED = define(
    7006,
    'watch-missed',
    'The periodic list contained changes that the watch had not reported.',
    'If it is frequent, the object API loses watches; inform the platform.',
)
WATCH_STALE = define(
    7007,
    'watch-stale',
    'A list or a watch returned an older state than before; it is ignored.',
    'If it persists, the object API was rolled back without a new era; restart'
    ' the hosts.',
)
WATCH_LATE = define(
    7012,
    'watch-late',
    'A watch was answered with a state that is older than an earlier read.',
    'If it persists, changes are known late here: check the path to the store.',
)
SHARED_READ_FAILED = define(
    7013,
    'shared-read-failed',
    'A read that requests wait for ended with an error of the program.',
    'Report it as a bug, with the line.',
)
STORE_RETURNED = define(
    7010,
    'store-returned',
    'The store came back from an older copy of itself.',
    'Expect the writes of the last seconds again; see OPERATIONS.',
)
STORE_ERA_FELL = define(
    7011,
    'store-era-fell',
    'An answer is from before the return of the store; it is ignored.',
    'If it persists, the store counts its returns anew; restart the hosts.',
)
OBJECT_UNREADABLE = define(
    7009,
    'object-unreadable',
    'An object of the store does not match its schema; it is skipped.',
    'Find the other writer of objects of that kind.',
)
WATCH_CALLBACK_FAILED = define(
    7008,
    'watch-callback-failed',
    'The callback that received a change raised an error.',
    'File the traceback as a bug.',
)
