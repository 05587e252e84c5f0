"""The entry host's daemon: HTTP resources, assembly and shutdown."""

from pollenstile.entry._assembly import (
    built_fleet,
    built_node,
    place_engines,
)
from pollenstile.entry._daemon import Daemon, address_of
from pollenstile.entry._frontend import CallerFace
from pollenstile.entry._node import Node
