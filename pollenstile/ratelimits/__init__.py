"""Request rates that upstreams accept from all hosts together."""

from pollenstile.ratelimits._allocation import (
    Allocation,
    capacity,
    valid_seconds,
)
from pollenstile.ratelimits._codec import RateNews, decode_news, encode_news
from pollenstile.ratelimits._limits import RateLimits
from pollenstile.ratelimits._ranking import AllocatorRanking
from pollenstile.ratelimits._sharing import (
    NEWS_SUBJECT,
    TOKENS_SUBJECT,
    RateSharing,
)
from pollenstile.ratelimits._stated import StatedRate, StatedRates
from pollenstile.ratelimits._types import (
    RatedUpstream,
    TokenGrant,
    TokenRequest,
)
from pollenstile.ratelimits._values import (
    MAX_RATE,
    MIN_RATE,
    UNLIMITED,
    parse_rate,
)
