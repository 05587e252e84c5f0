"""Failure domains that a host can't reach, by its own connections."""

from pollenstile.reachability._domains import (
    MIN_UPSTREAMS,
    ALL_REACHABLE,
    DomainReachability,
)
