"""Connections to upstreams that a peer opens for a host without a path."""

from pollenstile.tunnel._client import Tunnels
from pollenstile.tunnel._frames import (
    EndedFrames,
    TunnelEnd,
    encode_data,
    encode_end,
)
from pollenstile.tunnel._messages import OpenAnswer, OpenResult
from pollenstile.tunnel._paths import DIRECT_PATHS, Paths
from pollenstile.tunnel._server import TUNNEL_SUBJECT, TunnelServer
