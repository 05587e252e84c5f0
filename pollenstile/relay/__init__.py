"""Relaying of store reads from one host to the others of its domain."""

from pollenstile.relay._follower import Follower
from pollenstile.relay._messages import (
    Cursor,
    KindUpdate,
    RelayRequest,
    RelayUpdate,
)
from pollenstile.relay._reader import Readers, select_reader
from pollenstile.relay._source import RELAY_SUBJECT, Source
from pollenstile.relay._store import RelayStore
