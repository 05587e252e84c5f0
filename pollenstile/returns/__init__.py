"""Return times of callers that a full stage queue has refused."""

from pollenstile.returns._slots import PieceShare, allocated_pieces, slot_of
from pollenstile.returns._times import Promise, ReturnTimes
