"""Log events of hosts that follow the store reader of their domain."""

from pollenstile.ops.events import define

READER_FOLLOWED = define(
    1230,
    'reader-followed',
    'The host receives changes of the store from the reader of its domain.',
)
READER_LOST = define(
    1231,
    'reader-lost',
    'The reader is gone, silent or cut off from the store; the host reads the'
    ' store itself.',
)
READER_SKIPPED = define(
    1232,
    'reader-skipped',
    'A reader failed and is skipped for a while; the next one is asked.',
)
READ_TURN = define(
    1238,
    'read-turn',
    'No reader reaches the store; the host reads it after a delay by its rank.',
    'Compare `wait_ms` and `age_ms` with the bound on changes.',
)
