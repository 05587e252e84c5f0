"""Quantiles of measured times with exponential decay."""

import math

# Lowest boundary of the buckets in seconds, and the ratio between two of them.
_MIN_SECONDS = 0.0005
_BUCKET_RATIO = 1.08
_LOG_BUCKET_RATIO = math.log(_BUCKET_RATIO)
_BUCKETS = 210
# Weight of a new measurement above which all weights are scaled down.
_MAX_WEIGHT = 1e9


class DecayedQuantiles:
    """Histogram with geometric buckets and forward decay.

    Explanation
    ===========

    A new measurement has twice the weight of one that is a half-life older, so
    quantiles soon follow a change of the times. Weights of new measurements
    grow with time instead of old ones being scaled down (Cormode et al.,
    *Forward decay*, 2009). Quantiles are exact to 4%. HdrHistogram is not used
    because its counts do not decay: it would need rotating windows, and each
    read of it iterates over thousands of counts.

    Parameters
    ==========

    half_life : float
        In seconds.

    Examples
    ========

    >>> from pollenstile.routing._decayed import DecayedQuantiles
    >>> times = DecayedQuantiles(half_life=10)
    >>> for _ in range(90):
    ...     times.add(0.0, 1.0)
    >>> for _ in range(10):
    ...     times.add(60.0, 2.0)
    >>> round(times.quantile(50))
    2
    """

    __slots__ = (
        'cached_quantiles',
        'count',
        'half_life',
        'start',
        'total',
        'weights',
    )

    def __init__(self, half_life=60.0):
        self.half_life = half_life
        self.start = 0.0
        self.weights = [0.0 for _ in range(_BUCKETS)]
        self.total = 0.0
        self.count = 0
        self.cached_quantiles = {}

    def add(self, now, seconds):
        """Add a measurement.

        Parameters
        ==========

        now : float
            Time on a monotonic clock, in seconds.
        seconds : float
            The measured time.
        """
        weight = 2 ** min(1000, (now - self.start) / self.half_life)
        if weight > _MAX_WEIGHT:
            self._rescale(now, weight)
            weight = 1.0
        self.weights[_bucket(seconds)] += weight
        self.total += weight
        self.count += 1
        self.cached_quantiles.clear()

    def quantile(self, percent):
        """Return a quantile in seconds."""
        cached = self.cached_quantiles.get(percent)
        if cached is None:
            cached = self._quantile(percent)
            self.cached_quantiles[percent] = cached
        return cached

    def _quantile(self, percent):
        remaining = self.total * percent / 100
        highest = 0
        for index, weight in enumerate(self.weights):
            if not weight:
                continue
            highest = index
            remaining -= weight
            if remaining <= 0:
                break
        return _MIN_SECONDS * _BUCKET_RATIO ** (highest + 0.5)

    def _rescale(self, now, factor):
        self.weights = [weight / factor for weight in self.weights]
        self.total /= factor
        self.start = now


def _bucket(seconds):
    if seconds <= _MIN_SECONDS:
        return 0
    index = int(math.log(seconds / _MIN_SECONDS) / _LOG_BUCKET_RATIO)
    return min(_BUCKETS - 1, index)
