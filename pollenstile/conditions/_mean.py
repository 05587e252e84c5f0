"""A mean of ratios whose weight decays."""

import math

# Time in which measurements lose half of their weight.
HALF_LIFE_SECONDS = 30.0
# Bounds of ratios: an engine that was measured wrongly still gets requests.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
# Weight from which a mean is not worth keeping.
_NEGLIGIBLE_WEIGHT = 0.02


def bounded(ratio):
    """Return a ratio within its bounds.

    Examples
    ========

    >>> bounded(77)
    5.0
    """
    return min(MAX_RATIO, max(MIN_RATIO, ratio))


class DecayingMean:
    """Weighted geometric mean of ratios.

    Explanation
    ===========

    Ratios are averaged as logarithms, so that twice and half the usual time
    cancel each other out and one long time has a small effect.

    Parameters
    ==========

    now : float
        Seconds on the clock.
    weight : float
        Number of measurements.
    ratio : float
        Their mean.

    Attributes
    ==========

    logarithm : float
        Logarithm of the mean.
    weighed_at : float
        Time on the clock at which the weight was exact; it decays from then
        on.
    """

    __slots__ = ('logarithm', 'weighed_at', 'weight')

    def __init__(self, now, weight=0.0, ratio=1.0):
        self.weight = weight
        self.logarithm = math.log(bounded(ratio))
        self.weighed_at = now

    def add(self, ratio, weight, now):
        """Add the mean of a number of measurements."""
        before = self.weight_at(now)
        self.weighed_at = now
        self.weight = before + weight
        change = math.log(bounded(ratio)) - self.logarithm
        self.logarithm += change * weight / self.weight

    def weight_at(self, now):
        """Return the weight that is left."""
        age = max(0.0, now - self.weighed_at)
        return self.weight * 0.5 ** (age / HALF_LIFE_SECONDS)

    def is_negligible(self, now):
        """Return whether hardly any weight is left."""
        return self.weight_at(now) < _NEGLIGIBLE_WEIGHT
