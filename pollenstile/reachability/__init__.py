"""Failure domains that a host can't reach, by its own connections."""

from pollenstile.reachability._domains import (
    ALL_REACHABLE,
    DomainReachability,
)
