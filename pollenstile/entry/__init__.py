"""The entry host's daemon: HTTP resources, assembly and shutdown."""

from pollenstile.entry._assembly import (
    add_placement,
    build_fleet,
    build_node,
)
from pollenstile.entry._daemon import Daemon, address_of
from pollenstile.entry._frontend import CallerResource
from pollenstile.entry._grace import plan_grace
from pollenstile.entry._node import Node
