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
