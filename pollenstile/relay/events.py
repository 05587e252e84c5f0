"""Log events of hosts that follow a reader of the store."""

from pollenstile.ops.events import define

READER_FOLLOWED = define(
    1230,
    'reader-followed',
    'The host takes the news of the store from the reader of its domain.',
)
READER_LOST = define(
    1231,
    'reader-lost',
    'The reader is gone, silent or without the store; the host reads itself.',
)
READER_SKIPPED = define(
    1232,
    'reader-skipped',
    'A reader failed and is passed over for a while; the next one is asked.',
)
READ_TURN = define(
    1238,
    'read-turn',
    'All readers are without the store; the host reads when its turn comes.',
    'Compare `wait_ms` and `age_ms` with the bound on changes.',
)
