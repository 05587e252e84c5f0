"""The order in which pieces are made, without I/O."""

# A group that can't be in time any more lets all others go first: an answer
# within its aim is worth five to ten times as much as a late one.
_LATE = 1
_IN_TIME = 0
# Calls that a step of urgency is worth in the order of those in time. It
# decides between groups that are due about together, and nothing else, so
# that the least urgent still move when calls are short of time.
_URGENCY_CALLS = 0.9


def ranked(pieces, now, work):
    """Return pieces in the order in which they are to be made.

    Parameters
    ==========

    pieces : list of Piece
        Those that wait.
    now : float
        Seconds on the clock.
    work : float
        Seconds that the next call takes.
    """

    def rank(piece):
        return *_rank(piece.group, now, work), piece.number

    return sorted(pieces, key=rank)


def ahead_of(group, pieces, now, work):
    """Return how many waiting pieces go before those of a new group.

    Explanation
    ===========

    Those that are as urgent count wherever they stand: more of them will come
    and be due sooner. Without them the least urgent were taken for a wait that
    they never had, and given up seconds later.

    Counting all that waits, an urgent request with small pieces is refused for
    a queue of large ones that it would pass.
    """
    rank = _rank(group, now, work)
    return sum(
        piece.group.urgency <= group.urgency
        or _rank(piece.group, now, work) < rank
        for piece in pieces
    )


def _rank(group, now, work):
    if now + work > group.due:
        return _LATE, group.urgency, group.due, group.ident
    bias = _URGENCY_CALLS * work * group.urgency
    return _IN_TIME, 0, group.due + bias, group.ident
