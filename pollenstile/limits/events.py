"""Log events of admission."""

from pollenstile.ops.events import define

SHED = define(
    2001,
    'shed',
    'A request is refused as not run; the caller is told when to come back.',
    'Many in one class: the pools named in it need more capacity.',
)
EXPIRED = define(
    2002,
    'expired-in-queue',
    'A waiting request can no longer meet its deadline; refused at once.',
    'Many: demand has just risen, or upstreams have just become slow.',
)
LIMIT_CUT = define(
    2003,
    'limit-cut',
    'An upstream is slow or full, and gets fewer calls from this host.',
    'One upstream for long: look at it. All of a pool: add capacity.',
)
