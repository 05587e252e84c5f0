"""Bounds of what is read of an upstream's answer.

Explanation
===========

An upstream may send bytes that are no answer and never end. Over a bound they
are given up, and another upstream may be asked.
"""

from dataclasses import dataclass

# Bytes of an event, and of all that a stream brings without an event that goes
# on after the last one: thousands of times an event of some tokens.
MAX_EVENT_BYTES = 262144
# Bytes of the body of a failure without a stated length, which is read before
# it is passed on.
MAX_FAILURE_BYTES = 262144
# Bytes of a failure of a stated length, and of a whole answer without one if
# the configuration doesn't let callers send larger bodies themselves.
MAX_UNSTATED_BYTES = 4194304
# Bytes of an answer of a stated length that are held back before it begins, so
# that the request can be sent again after an incomplete answer. Beside another
# attempt, which its beginning closes, it is held back like one without.
MAX_BUFFERED_BYTES = 65536
# Bytes that a host holds back of all answers together: an eighth of the least
# memory that a host has.
MAX_HELD_BYTES = 33554432

# Reasons for which an attempt is lost.
ENDLESS_HEAD = 'endless head'
ENDLESS_EVENT = 'endless event'
NO_PROGRESS = 'events that bring nothing'
ENDLESS_FAILURE = 'endless failure'
ENDLESS_ANSWER = 'endless answer'


@dataclass(slots=True)
class HeldBytes:
    """Bytes that a host holds back of all answers together.

    Attributes
    ==========

    total : int
        Number of bytes.
    """

    total: int = 0

    def is_full(self):
        """Return whether further answers had better begin."""
        return self.total >= MAX_HELD_BYTES


class HeldAnswer:
    """The part of one answer that is held back until it begins.

    Parameters
    ==========

    held : HeldBytes
        Counts the bytes of all answers.
    """

    __slots__ = ('held', 'parts', 'size')

    def __init__(self, held):
        self.held = held
        self.parts = []
        self.size = 0

    def append(self, data):
        """Hold back a part of the answer."""
        self.parts.append(data)
        self.size += len(data)
        self.held.total += len(data)

    def is_over(self, limit):
        """Return whether the answer had better begin.

        Parameters
        ==========

        limit : int
            Bytes to hold back of this answer, while the host may hold more.
        """
        if self.size <= MAX_BUFFERED_BYTES:
            return False
        return self.size > limit or self.held.is_full()

    def release(self):
        """Return all that was held back, and hold nothing."""
        parts = self.parts
        self.held.total -= self.size
        self.parts = []
        self.size = 0
        return parts


def has_length(head):
    """Return whether a head states the length of its body."""
    return isinstance(head.length, int)


def failure_bound(head):
    """Return the bytes up to which the body of a failure is read."""
    return MAX_UNSTATED_BYTES if has_length(head) else MAX_FAILURE_BYTES


def unstated_bound(exchange):
    """Return the bytes up to which a whole answer without a length is held."""
    return max(MAX_UNSTATED_BYTES, exchange.table.limits.body_bytes)
