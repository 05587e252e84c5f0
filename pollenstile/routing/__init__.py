"""Selection of upstreams by load, prefix affinity and outlier ejection."""

from pollenstile.routing._affinity import affinity, cache_key
from pollenstile.routing._choose import (
    Choice,
    Hints,
    busyness,
    candidates_of,
    choose_upstream,
)
from pollenstile.routing._decayed import DecayedQuantiles
from pollenstile.routing._ejection import ejection_time, is_panic
from pollenstile.routing._tracker import Tracker, UpstreamState
