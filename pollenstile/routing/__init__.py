"""Which upstream takes a call: load, affinity, ejection."""

from pollenstile.routing._choose import Choice, busyness, chosen
from pollenstile.routing._tracker import Tracker, UpstreamState
