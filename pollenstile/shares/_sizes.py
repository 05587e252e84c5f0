"""Admission of the largest groups of one urgency, compared to the others."""

from pollenstile.shares._window import Count, SlidingCounts, bucket_number

# Share of the groups that count as the largest.
_LARGEST_SHARE = 0.1
# Ratio of the admitted shares of the largest groups and of the others below
# which the largest yield to nobody.
_MIN_RATIO = 0.5


class SizeShares:
    """Groups of one urgency by their pieces.

    Attributes
    ==========

    counts : SlidingCounts
        Groups by number of pieces.
    least : float
        Pieces from which a group that is neglected yields to nobody; infinite
        while the largest groups are not neglected.
    bucket : int
        Bucket of the window for which ``least`` holds.
    """

    __slots__ = ('bucket', 'counts', 'least')

    def __init__(self):
        self.counts = SlidingCounts()
        self.least = float('inf')
        self.bucket = -1

    def is_neglected(self, pieces, now):
        """Return whether groups of this size are admitted too seldom."""
        bucket = bucket_number(now)
        if bucket != self.bucket:
            self.bucket = bucket
            self.counts.advance(now)
            self.least = neglected_size(self.counts.totals)
        return pieces >= self.least


def neglected_size(counts):
    """Return the size from which groups are admitted too seldom.

    Parameters
    ==========

    counts : dict
        :class:`Count` of groups by number of pieces.

    Returns
    =======

    float
        Infinite when the largest tenth of the groups is admitted at least half
        as often as the others, or when all groups are of one size.

    Examples
    ========

    >>> neglected_size({1: Count(9, 9), 4: Count(1, 0)})
    4
    >>> neglected_size({1: Count(9, 3), 4: Count(1, 1)})
    inf
    """
    total = sum(count.offered for count in counts.values())
    largest = Count()
    others = Count()
    least = float('inf')
    for size in sorted(counts, reverse=True):
        count = counts[size]
        together = largest.offered + count.offered
        fits = together <= _LARGEST_SHARE * total and not others.offered
        if fits or not largest.offered:
            least = size
            largest.add(count.offered, count.admitted)
        else:
            others.add(count.offered, count.admitted)
    if not others.offered:
        return float('inf')
    is_neglected = largest.share() < _MIN_RATIO * others.share()
    return least if is_neglected else float('inf')
