"""Numbered events of the platform's client."""

from pollenstile.ops.events import define

STORE_BACKING_OFF = define(
    7001,
    'store-backing-off',
    'Calls to the object API keep failing; this host calls it less often.',
    'See whether the object API is down or slow; serving goes on meanwhile.',
)
STORE_ANSWERS = define(
    7002,
    'store-answers',
    'The object API answers again after it had failed.',
)
BUDGET_REFUSED = define(
    7003,
    'store-budget-refused',
    'A call to the object API was not sent: the budget of calls is spent.',
    'When it lasts, find the kind that is called so often, or raise the rate.',
)
WATCH_SILENT = define(
    7004,
    'watch-silent',
    'A watch was not answered within its poll time and the margin.',
    'Nothing; it is re-armed on a connection of its own.',
)
WATCH_LISTED_AGAIN = define(
    7005,
    'watch-listed-again',
    'A watch had a gap and listed all objects of its kind again.',
)
WATCH_MISSED = define(
    7006,
    'watch-missed',
    'The periodic list showed changes that the watch had not.',
    'When it comes often, the object API drops watches; tell the platform.',
)
WATCH_STALE = define(
    7007,
    'watch-stale',
    'A list or a watch showed an older state than one before; ignored.',
    'When it stays, the object API was set back; restart the hosts.',
)
OBJECT_UNREADABLE = define(
    7009,
    'object-unreadable',
    'An object of the store has another shape; it is left out.',
    'Find who else writes objects of that kind.',
)
WATCH_CALLBACK_FAILED = define(
    7008,
    'watch-callback-failed',
    'The part that a change was handed to raised an error.',
    'File the traceback as a bug.',
)
