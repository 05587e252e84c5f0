"""Log events of claims."""

from pollenstile.ops.events import define

CLAIMED = define(
    3001,
    'claimed',
    'A key is held by this request from now on.',
)
REPEATED = define(
    3002,
    'repeated',
    'A request came with a key that another holds, and was not run.',
    'Many from one team: its callers time out too early or repeat too soon.',
)
CLAIM_REFUSED = define(
    3003,
    'claim-refused',
    'A key could not be claimed in time; the request was not run.',
    'See whether the object API is down or slow.',
)
CLAIM_SKIPPED = define(
    3004,
    'claim-skipped',
    'The object API is away; a request runs without a claim because its'
    ' upstream itself drops repeats of a key.',
    'See whether the object API is down or slow.',
)
RELEASED = define(
    3005,
    'claim-released',
    'A claimed request did not run; its key may be used again.',
)
APPEND_LOST = define(
    3006,
    'append-lost',
    'Another host wrote the next segment of a shard first; tried again.',
    'Much of it: more hosts append to a shard than it can bear; forward them.',
)
APPEND_IN_DOUBT = define(
    3007,
    'append-in-doubt',
    'The answer to an append is lost; the log is read to settle it.',
    'See whether the object API is down or slow.',
)
STATE_DISTRUSTED = define(
    3008,
    'shard-read-again',
    'This host was paused for so long that a shard is read from the start.',
    'Find out what pauses the host.',
)
BAD_SEGMENT = define(
    3009,
    'bad-segment',
    'An object in the log of a shard is no segment; the shard is not used.',
    'Find out who wrote it; hosts of a newer version may have.',
)
FOLDED = define(
    3010,
    'segment-folded',
    'A segment whose claims have all expired was deleted.',
)
