"""Time slots of promised returns, without I/O."""

import math
from dataclasses import dataclass

# Length of a slot in seconds.
SLOT_SECONDS = 0.1
# Share of a queue's rate that may be promised; new callers get the rest.
_PROMISED_SHARE = 0.75
# Slots after the first one that are searched or that one group may take up.
# It bounds the work for one refusal where callers wait for minutes.
_MAX_SLOTS = 600
# Pieces below which the room in a slot is a rounding error.
_TOLERANCE = 1e-6


@dataclass(slots=True, frozen=True)
class PieceShare:
    """Pieces of one group that are promised in one slot.

    Parameters
    ==========

    slot : int
        Number of the slot.
    pieces : float
        Pieces, also parts of one.
    """

    slot: int
    pieces: float


def slot_of(seconds):
    """Return the number of the slot that contains a time on the clock.

    Examples
    ========

    >>> from pollenstile.returns import slot_of
    >>> slot_of(2.05), slot_of(2.15)
    (20, 21)
    """
    return math.floor(seconds / SLOT_SECONDS)


def slot_start(slot):
    """Return the time on the clock at which a slot starts."""
    return slot * SLOT_SECONDS


def slot_middle(slot):
    """Return the time on the clock in the middle of a slot."""
    return (slot + 0.5) * SLOT_SECONDS


def allocated_pieces(promised, first, last, count, rate):
    """Return the shares of slots that a group takes up.

    Explanation
    ===========

    The group starts in the first slot that has room. What exceeds the room
    takes up the following slots, because a group is often larger than what a
    queue makes in one slot.

    Parameters
    ==========

    promised : dict
        Promised pieces by slot.
    first, last : int
        Slots in which the group may start.
    count : int
        Pieces of the group.
    rate : float
        Pieces per second that the queue makes.

    Returns
    =======

    list of PieceShare
        Empty if no slot has room. They hold fewer pieces than the group if it
        does not fit into the slots that one group may take up.

    Examples
    ========

    >>> from pollenstile.returns import allocated_pieces
    >>> shares = allocated_pieces({5: 3.0}, 5, 9, 4, 40.0)
    >>> [(share.slot, round(share.pieces, 2)) for share in shares]
    [(6, 3.0), (7, 1.0)]
    """
    capacity = _PROMISED_SHARE * rate * SLOT_SECONDS
    start = _first_with_room(promised, first, last, capacity)
    if start is None:
        return []
    shares = []
    remaining = count
    for slot in range(start, start + _MAX_SLOTS):
        pieces = min(remaining, capacity - promised.get(slot, 0.0))
        if pieces <= _TOLERANCE:
            continue
        shares.append(PieceShare(slot, pieces))
        remaining -= pieces
        if remaining <= _TOLERANCE:
            break
    return shares


def _first_with_room(promised, first, last, capacity):
    for slot in range(first, min(last, first + _MAX_SLOTS) + 1):
        if capacity - promised.get(slot, 0.0) > _TOLERANCE:
            return slot
    return None
