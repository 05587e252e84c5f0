"""Quantiles of measured times in which old measurements fade."""

import math

_LOWEST = 0.0005
_STEP = 1.08
_LOG_STEP = math.log(_STEP)
_BUCKETS = 210
_LARGEST_WEIGHT = 1e9


class DecayedQuantiles:
    """A histogram of geometric buckets with forward decay.

    Explanation
    ===========

    A new measurement weighs twice as much as one a half-life older, so that a
    stage that has become slow or fast again is soon known to be so. Weights
    grow with time in place of old ones being scaled down (Cormode et al.,
    *Forward decay*, 2009). Quantiles are exact to 4%. HdrHistogram, which
    keeps its counts for good, is not used: its windows would have to be
    rotated, and each read of it walks thousands of counts.

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

    __slots__ = ('count', 'half_life', 'kept', 'start', 'total', 'weights')

    def __init__(self, half_life=60.0):
        self.half_life = half_life
        self.start = 0.0
        self.weights = [0.0 for _ in range(_BUCKETS)]
        self.total = 0.0
        self.count = 0
        self.kept = {}

    def add(self, now, seconds):
        """Note a measurement.

        Parameters
        ==========

        now : float
            On a clock that does not go back, in seconds.
        seconds : float
            The measured time.
        """
        weight = 2 ** min(1000, (now - self.start) / self.half_life)
        if weight > _LARGEST_WEIGHT:
            self._rescale(now, weight)
            weight = 1.0
        self.weights[_bucket(seconds)] += weight
        self.total += weight
        self.count += 1
        self.kept.clear()

    def quantile(self, percent):
        """Return a quantile in seconds."""
        found = self.kept.get(percent)
        if found is None:
            found = self._quantile(percent)
            self.kept[percent] = found
        return found

    def _quantile(self, percent):
        left = self.total * percent / 100
        highest = 0
        for place, weight in enumerate(self.weights):
            if not weight:
                continue
            highest = place
            left -= weight
            if left <= 0:
                break
        return _LOWEST * _STEP ** (highest + 0.5)

    def _rescale(self, now, factor):
        self.weights = [weight / factor for weight in self.weights]
        self.total /= factor
        self.start = now


def _bucket(seconds):
    if seconds <= _LOWEST:
        return 0
    place = int(math.log(seconds / _LOWEST) / _LOG_STEP)
    return min(_BUCKETS - 1, place)
