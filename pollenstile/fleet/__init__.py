"""Configuration in force and membership of upstreams."""

from pollenstile.fleet._apply import (
    Accepted,
    CurrentConfig,
    RaceLost,
    Replaced,
    Unsettled,
    apply_manifest,
    current_config,
    hosts_behind,
)
from pollenstile.fleet._census import Census, HostStatus
from pollenstile.fleet._fleet import Fleet
from pollenstile.fleet._hosts import Hosts, is_live
from pollenstile.fleet._inforce import InForce
from pollenstile.fleet._loads import http_load_reader
from pollenstile.fleet._platformnews import (
    CONFIG_KIND,
    CONFIG_NAME,
    PlatformNews,
)
from pollenstile.fleet._record import (
    HOST,
    UPSTREAM,
    Record,
    by_domain,
    merged,
    with_witness,
    with_witnesses_only,
)
from pollenstile.fleet._relay import Relay
from pollenstile.fleet._sharing import Sharing
from pollenstile.fleet._snapshot import Snapshot
from pollenstile.fleet._table import Table
from pollenstile.fleet._upstreams import Upstreams, is_leaving
from pollenstile.fleet._watchers import Watchers
