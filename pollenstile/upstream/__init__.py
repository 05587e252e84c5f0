"""Clients of upstreams: engines, stage pools and plain services."""

from pollenstile.upstream._http import http_transport
from pollenstile.upstream._pools import ConnectionPools
from pollenstile.upstream._types import (
    Call,
    Chunk,
    Load,
    Lost,
    NotRun,
    Rejected,
    Reply,
)
