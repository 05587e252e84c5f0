"""A straight line through the latest samples."""

# Share of its weight that a sample keeps when another one comes: the latest 50
# or so count. A host of a calm day sees three model answers a second, so the
# line follows a changed load within some 15 s.
_KEPT = 0.98
# A sample of over this many times what the line says counts as that many: one
# frozen host or dying engine, 2 s for a usual 0.2 s, moves the line by 6% and
# not by 26% (after 50 usual ones).
_MOST_RATIO = 3.0


class LinearFit:
    """Least squares with forgetting, from points that are always believed.

    Explanation
    ===========

    The prior points keep their weight for good, so the line is defined before
    the first sample and when all samples have the same abscissa.

    Parameters
    ==========

    prior : tuple of tuple
        Abscissa, ordinate and weight (in samples) of each point; two at least,
        with different abscissas.

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
        """Return the line's ordinate."""
        return self.intercept + self.slope * abscissa

    def learn(self, abscissa, ordinate):
        """Take a sample; one that is far off counts as less far."""
        ordinate = min(ordinate, _MOST_RATIO * self.at(abscissa))
        terms = _terms(abscissa, ordinate, 1.0)
        self.sums = [
            kept * _KEPT + term
            for kept, term in zip(self.sums, terms, strict=True)
        ]
        self._solve()

    def _solve(self):
        weight, across, up, squares, products = self._believed()
        spread = weight * squares - across * across
        # A falling line, or one that begins below zero, is chance.
        self.slope = max(0.0, (weight * products - across * up) / spread)
        self.intercept = max(0.0, (up - self.slope * across) / weight)

    def _believed(self):
        """Return the sums over the samples and the prior points."""
        parts = [self.sums, *(_terms(*point) for point in self.prior)]
        return [sum(column) for column in zip(*parts, strict=True)]


def _terms(abscissa, ordinate, weight):
    """Return what a point adds to the sums of least squares."""
    across = weight * abscissa
    up = weight * ordinate
    return weight, across, up, across * abscissa, across * ordinate
