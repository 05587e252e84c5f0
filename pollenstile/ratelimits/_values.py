"""Values with which upstreams state their request rates."""

import math

# The rate of an upstream that states none.
UNLIMITED = 0.0
# Lowest rate in requests a second. With less, the next answer that shows that
# the limit is over would not come for minutes.
MIN_RATE = 0.1
# A higher rate, in requests a second, is no limit.
MAX_RATE = 1000.0


def parse_rate(values):
    """Return the rate that the values of an answer's header state.

    Explanation
    ===========

    Of several values the lowest counts. Negative values, infinite ones and
    other text are not readable; a rate of zero counts as the lowest rate.

    Parameters
    ==========

    values : sequence of str
        Values of the header, each possibly with several parts.

    Returns
    =======

    float or None
        Requests a second; ``UNLIMITED`` without a header, None when no value
        is readable.

    Examples
    ========

    >>> from pollenstile.ratelimits import parse_rate
    >>> parse_rate([]), parse_rate(['2.5']), parse_rate(['4', '1, x'])
    (0.0, 2.5, 1.0)
    >>> parse_rate(['0']), parse_rate(['1e9']), parse_rate([''])
    (0.1, 0.0, None)
    """
    if not values:
        return UNLIMITED
    parts = [part.strip() for text in values for part in text.split(',')]
    rates = [rate for rate in map(_readable_rate, parts) if rate is not None]
    if not rates:
        return None
    lowest = max(MIN_RATE, min(rates))
    return UNLIMITED if lowest > MAX_RATE else lowest


def _readable_rate(text):
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
