"""Log events of what upstreams state about further requests."""

from pollenstile.ops.events import define

UPSTREAM_LEAVING = define(
    1601,
    'upstream-states-leaving',
    'An answer of an upstream, or a peer that had one, states that the upstream'
    ' leaves; it gets no new requests.',
)
LEAVING_UNREADABLE = define(
    1602,
    'leaving-unreadable',
    'An answer has the header of a leaving upstream with another value than 0'
    ' or 1; it is ignored.',
    'Correct the upstream; the line has the value.',
)
LEAVING_NEWS_UNSENT = define(
    1603,
    'leaving-news-unsent',
    'News of a leaving upstream did not reach a peer; it learns from answers'
    ' and from the registry.',
)
UPSTREAM_RESTING = define(
    1604,
    'upstream-resting',
    'An upstream that turned a request away asks this host to send nothing for'
    ' a time.',
    'The upstream is overloaded; look at its own logs.',
)
UPSTREAM_RESTED = define(
    1605,
    'upstream-rested',
    'The time is over for which an upstream asked this host to send nothing.',
)
REST_UNREADABLE = define(
    1606,
    'rest-unreadable',
    'An upstream turned a request away and states a time that is neither a'
    ' number of seconds nor a date; it is ignored.',
    'Correct the upstream; the line has the value.',
)
REST_HELD_BACK = define(
    1607,
    'rest-held-back',
    'All upstreams that a request could go to ask this host to send nothing;'
    ' `choice` is `wait` or `refuse`.',
)
UPSTREAM_BRITTLE = define(
    1608,
    'upstream-brittle',
    'An upstream states how many requests it may turn away in a second before'
    ' it falls over; the hosts divide its places.',
)
UPSTREAM_SOUND = define(
    1609,
    'upstream-sound',
    'An upstream is not known to be brittle any more.',
)
BRITTLE_UNREADABLE = define(
    1610,
    'brittle-unreadable',
    'An answer has the header of a brittle upstream with no readable count; it'
    ' is ignored.',
    'Correct the upstream; the line has the value.',
)
BRITTLE_HELD_BACK = define(
    1611,
    'brittle-held-back',
    'A request has no place at a brittle upstream; it waits or is refused.',
    'If frequent, the service has fewer places than its load needs.',
)
