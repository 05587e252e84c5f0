"""The daemon: HTTP faces, assembly and shutdown."""

from pollenstile.entry._assembly import (
    build_fleet,
    build_node,
    add_placement,
)
from pollenstile.entry._daemon import Daemon, address_of
from pollenstile.entry._face import CallerResource
from pollenstile.entry._node import Node
