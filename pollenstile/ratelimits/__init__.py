"""Request rates that upstreams accept from all hosts together."""

from pollenstile.ratelimits._stated import StatedRate, StatedRates
from pollenstile.ratelimits._values import (
    MAX_RATE,
    MIN_RATE,
    UNLIMITED,
    parse_rate,
)
