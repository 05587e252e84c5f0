"""What a host has read of the store, told to the hosts of its domain."""

from pollenstile.relay._follower import Follower
from pollenstile.relay._messages import (
    Asked,
    Cursor,
    KindNews,
    Word,
)
from pollenstile.relay._reader import Readers, reader_of
from pollenstile.relay._source import RELAY_SUBJECT, Source
from pollenstile.relay._store import RelayStore
