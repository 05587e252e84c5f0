"""Configuration in force and membership of upstreams."""

from pollenstile.fleet._snapshot import Snapshot
