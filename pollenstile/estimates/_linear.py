"""Linear regression with exponential forgetting and prior points."""

# Factor by which each new sample reduces the weight of older ones, so that
# about the latest 50 count. On a calm day a host gets three model answers per
# second, so the line follows a changed load within some 15 s.
_FORGETTING_FACTOR = 0.98
# A sample is capped at this multiple of the predicted value. One frozen host or
# dying engine, with 2 s instead of 0.2 s, then moves the line by 6% instead of
# 26% (after 50 usual samples).
_MAX_RATIO = 3.0


class LinearFit:
    """Least squares with exponential forgetting and fixed prior points.

    Explanation
    ===========

    The prior points keep their weight, so the line is defined before the first
    sample and when all samples have the same abscissa.

    Parameters
    ==========

    prior : tuple of tuple
        Abscissa, ordinate and weight (in samples) of each point; at least two
        points with different abscissas.

    Examples
    ========

    >>> from pollenstile.estimates import LinearFit
    >>> fit = LinearFit(((0, 0.1, 2), (1000, 0.2, 2)))
    >>> round(fit.at(500), 3), round(fit.slope * 1000, 3)
    (0.15, 0.1)
    >>> for _ in range(200):
    ...     fit.learn(0, 0.2)
    ...     fit.learn(1000, 0.25)
    >>> round(fit.at(500), 2), round(fit.slope * 1000, 2)
    (0.22, 0.05)
    """

    __slots__ = ('intercept', 'prior', 'slope', 'sums')

    def __init__(self, prior):
        self.prior = prior
        self.sums = [0.0, 0.0, 0.0, 0.0, 0.0]
        self._solve()

    def at(self, abscissa):
        """Return the predicted ordinate."""
        return self.intercept + self.slope * abscissa

    def learn(self, abscissa, ordinate):
        """Add a sample, capped at :data:`_MAX_RATIO` times the prediction."""
        ordinate = min(ordinate, _MAX_RATIO * self.at(abscissa))
        terms = _terms(abscissa, ordinate, 1.0)
        self.sums = [
            previous * _FORGETTING_FACTOR + term
            for previous, term in zip(self.sums, terms, strict=True)
        ]
        self._solve()

    def _solve(self):
        weight, sum_x, sum_y, sum_xx, sum_xy = self._total_sums()
        spread = weight * sum_xx - sum_x * sum_x
        # A negative slope or intercept is measurement noise.
        self.slope = max(0.0, (weight * sum_xy - sum_x * sum_y) / spread)
        self.intercept = max(0.0, (sum_y - self.slope * sum_x) / weight)

    def _total_sums(self):
        """Return the sums over samples and prior points."""
        parts = [self.sums, *(_terms(*point) for point in self.prior)]
        return [sum(column) for column in zip(*parts, strict=True)]


def _terms(abscissa, ordinate, weight):
    """Return the terms of a point in the sums of least squares."""
    x_term = weight * abscissa
    y_term = weight * ordinate
    return weight, x_term, y_term, x_term * abscissa, x_term * ordinate
