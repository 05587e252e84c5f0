"""Order in which waiting pieces are made, without I/O."""

# Groups that cannot be in time any more are ranked last: an answer within its
# target latency is worth five to ten times as much as a late one.
_LATE = 1
_IN_TIME = 0
# Calls by which each step of urgency shifts the due time of groups in time. The
# shift only reorders groups that are due at about the same time, so that the
# least urgent ones still make progress when calls are scarce.
_URGENCY_CALLS = 0.9


def ranked(pieces, now, work):
    """Return pieces in the order in which they are to be made.

    Parameters
    ==========

    pieces : list of Piece
        Waiting pieces.
    now : float
        Seconds on the clock.
    work : float
        Seconds that the next call takes; a group that is due before the end of
        such a call is late.
    """

    def rank(piece):
        return *_rank(piece.group, now, work), piece.number

    return sorted(pieces, key=rank)


def count_ahead(group, pieces, now, work):
    """Return how many waiting pieces are made before those of a new group.

    Explanation
    ===========

    All pieces that are at least as urgent count, wherever they are ranked: more
    of them will arrive and be due sooner. Without them, the least urgent groups
    were admitted with too short an expected wait and refused seconds later.

    If all waiting pieces counted, an urgent request with small pieces would be
    refused because of a queue of large ones that it would overtake.

    Pieces of returning callers always count, whatever their urgency: they are
    never ranked as late, so a new group can't rely on overtaking them.
    """
    rank = _rank(group, now, work)
    return sum(
        piece.group.is_returning
        or piece.group.urgency <= group.urgency
        or _rank(piece.group, now, work) < rank
        for piece in pieces
    )


def count_before(group, pieces, now, work):
    """Return how many waiting pieces are certain to be made before a group's.

    Explanation
    ===========

    Unlike :func:`count_ahead`, which allows for later arrivals, this is a lower
    bound: groups of later steps are refused only where they can't be made.
    """
    rank = _rank(group, now, work)
    return sum(_rank(piece.group, now, work) < rank for piece in pieces)


def _rank(group, now, work):
    if now + work > group.due and not group.is_returning:
        return _LATE, group.urgency, group.due, group.ident
    bias = _URGENCY_CALLS * work * group.urgency
    return _IN_TIME, 0, group.due + bias, group.ident
