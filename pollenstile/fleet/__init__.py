"""Configuration in force and membership of upstreams."""

from pollenstile.fleet._inforce import InForce
from pollenstile.fleet._poll import (
    CONFIG_KIND,
    CONFIG_NAME,
    config_poll,
    config_read,
)
from pollenstile.fleet._snapshot import Snapshot
