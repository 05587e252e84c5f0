"""Which upstream takes a call: load, affinity, ejection."""

from pollenstile.routing._affinity import affinity, cache_key
from pollenstile.routing._choose import (
    Choice,
    Hints,
    busyness,
    candidates_of,
    choose_upstream,
)
from pollenstile.routing._decayed import DecayedQuantiles
from pollenstile.routing._ejection import bar_time, is_panic
from pollenstile.routing._tracker import Tracker, UpstreamState
