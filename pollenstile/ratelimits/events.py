"""Log events of upstreams' request rates."""

from pollenstile.ops.events import define

UPSTREAM_LIMITED = define(
    1501,
    'upstream-limited',
    'An upstream states how many requests a second it accepts from all hosts.',
    'The upstream is overloaded or short of memory; look at its own logs.',
)
UPSTREAM_UNLIMITED = define(
    1502,
    'upstream-unlimited',
    'An upstream that had limited its request rate no longer does.',
)
RATE_UNREADABLE = define(
    1503,
    'rate-unreadable',
    'An answer states a request rate that is not a number; it is ignored.',
    'Correct the upstream; the line has the value.',
)
