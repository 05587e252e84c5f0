"""Log events of admission."""

from pollenstile.ops.events import define

SHED = define(
    2001,
    'shed',
    'A request is refused without having run; the refusal says when to retry.',
    'Many in one class: the pools of its pipelines need more capacity.',
)
EXPIRED = define(
    2002,
    'expired-in-queue',
    'A queued request can no longer meet its deadline and is refused.',
    'Many: demand has just risen, or upstreams have just become slower.',
)
LIMIT_CUT = define(
    2003,
    'limit-cut',
    'The concurrency limit of a slow or full upstream is reduced.',
    'One upstream for long: inspect it. All of a pool: add capacity.',
)
