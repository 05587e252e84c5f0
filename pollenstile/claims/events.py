"""Log events of the claims of idempotency keys."""

from pollenstile.ops.events import define

CLAIMED = define(
    3001,
    'claimed',
    'This request now holds its idempotency key.',
)
REPEATED = define(
    3002,
    'repeated',
    'A request was not run because another request holds its key.',
    'If many come from one team, its callers time out or retry too early.',
)
CLAIM_REFUSED = define(
    3003,
    'claim-refused',
    'A key could not be claimed in time; the request was not run.',
    'Check whether the object API is down or slow.',
)
CLAIM_SKIPPED = define(
    3004,
    'claim-skipped',
    'The object API is unavailable; a request runs without a claim because its'
    ' upstream deduplicates requests by key.',
    'Check whether the object API is down or slow.',
)
RELEASED = define(
    3005,
    'claim-released',
    'A claimed request did not run; its key was released for reuse.',
)
APPEND_LOST = define(
    3006,
    'append-lost',
    'Another host wrote the next segment of a shard first; the append is'
    ' retried.',
    'If frequent, too many hosts append to one shard; forward the appends to'
    ' one host.',
)
APPEND_IN_DOUBT = define(
    3007,
    'append-in-doubt',
    'No answer to an append arrived; the log is read to find its outcome.',
    'Check whether the object API is down or slow.',
)
STATE_DISTRUSTED = define(
    3008,
    'shard-read-again',
    'This host was paused too long to trust its copy of a shard; the shard is'
    ' read again from the start.',
    'Find out what paused the host.',
)
BAD_SEGMENT = define(
    3009,
    'bad-segment',
    'An object in the log of a shard is not a valid segment; claims in the'
    ' shard are refused.',
    'Find out which host wrote it; it may run a newer version.',
)
FOLDED = define(
    3010,
    'segment-folded',
    'A segment was deleted because all its claims have expired.',
)
LOG_RETURNED = define(
    3011,
    'log-returned',
    'The log of a shard came back from an older copy; it is read again.',
)
CLAIMS_RESTORED = define(
    3012,
    'claims-restored',
    'Claims that the log had lost are appended again.',
)
