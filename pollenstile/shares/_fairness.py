"""Max-min fairness between the teams of one urgency."""


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
