"""Forwards HTTP exchanges to upstreams without changing their content."""

from pollenstile.forward._budget import SharedRetryBudget
from pollenstile.forward._client import HttpClient
from pollenstile.forward._cold import ColdShares
from pollenstile.forward._configuration import Configuration
from pollenstile.forward._copies import Copies
from pollenstile.forward._core import ForwardCore
from pollenstile.forward._daemon import ForwardDaemon
from pollenstile.forward._decisions import silence_limits_of
from pollenstile.forward._drained import DRAINED, DrainedDomains
from pollenstile.forward._frontend import CallerFactory
from pollenstile.forward._gauges import DRAINED_SECONDS, UNDER_WAY
from pollenstile.forward._members import PeerHost
from pollenstile.forward._peerkey import PEER_KEY
from pollenstile.forward._overload import ConnectionGate
from pollenstile.forward._plaincodec import (
    FREE_TARGET,
    RUN_TARGET,
    PlainCodec,
    ReportCodec,
)
from pollenstile.closes import ProbeResult
from pollenstile.forward._registry import Registry, Upstream
from pollenstile.forward._run import serve
from pollenstile.forward._selection import (
    UpstreamView,
    home_engine,
    select_engine,
    select_plain_upstream,
    subject_of,
    usable,
)
from pollenstile.forward._settings import HostSettings
from pollenstile.forward._types import (
    BodyEnd,
    Exchange,
    HeaderNames,
    Lost,
    NotRun,
    Refusal,
    RouteQuery,
)
from pollenstile.forward._watched import WatchedSettings
