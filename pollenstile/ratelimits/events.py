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
RATE_ALLOCATED = define(
    1504,
    'rate-allocated',
    "The host begins to allocate an upstream's rate to the hosts.",
    'Many with `standing_in`: look for hosts that do not answer their peers.',
)
TOKENS_UNANSWERED = define(
    1505,
    'tokens-unanswered',
    'A host did not answer a request for tokens; the next one is asked.',
)
RATE_NEWS_UNSENT = define(
    1506,
    'rate-news-unsent',
    'News of a rate did not reach a peer; it learns from answers.',
)
RATE_HELD_BACK = define(
    1507,
    'rate-held-back',
    'The upstream that a request would go to has no token for it; `choice` is'
    ' `other` upstream, `wait` or `refuse`.',
)
