"""The daemon: HTTP faces, assembly and shutdown."""

from pollenstile.entry._assembly import (
    built_fleet,
    built_node,
    place_engines,
)
from pollenstile.entry._daemon import Daemon, address_of
from pollenstile.entry._face import CallerFace
from pollenstile.entry._node import Node
