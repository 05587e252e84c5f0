"""Max-min fairness between the teams of one urgency, as plain functions."""

# Share of what was admitted that teams may lack of their equal shares before
# teams above their share yield to them.
_MAX_LACKING_SHARE = 0.05


def equal_level(offers, admitted):
    """Return the most that each team gets by max-min fairness.

    Explanation
    ===========

    Teams that offer less than the level get what they offer; what they leave
    unused is shared equally by the others.

    Parameters
    ==========

    offers : list of int
        Pieces offered by each team.
    admitted : int
        Pieces admitted of all teams together.

    Examples
    ========

    >>> equal_level([1, 2, 9], 9)
    6.0
    >>> equal_level([4, 4], 4)
    2.0
    """
    remaining = admitted
    ordered = sorted(offers)
    for number, offer in enumerate(ordered):
        level = remaining / (len(ordered) - number)
        if offer >= level:
            return level
        remaining -= offer
    return float('inf')


def has_deprived(counts, level):
    """Return whether teams below a level lack a part of their share.

    Parameters
    ==========

    counts : iterable of Count
        What each team offered, and what was admitted of it.
    level : float
        Most that each team gets by max-min fairness.

    Examples
    ========

    >>> from pollenstile.shares._window import Count
    >>> has_deprived([Count(9, 8), Count(2, 1)], 7)
    True
    >>> has_deprived([Count(9, 7), Count(2, 2)], 7)
    False
    """
    lacking = 0
    admitted = 0
    for count in counts:
        admitted += count.admitted
        lacking += max(0, min(count.offered, level) - count.admitted)
    return lacking > _MAX_LACKING_SHARE * admitted
