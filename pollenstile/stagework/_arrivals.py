"""When callers came first, as the owner of their first stage has seen it."""

from dataclasses import dataclass

# Keys that are remembered at most: a burst of ten times the usual load, for as
# long as callers wait.
_MOST_KEYS = 20_000


@dataclass(slots=True)
class _Arrival:
    """A caller's attempts so far."""

    request: str
    first: float
    deadline: float
    waited: float = 0.0


class Arrivals:
    """First arrivals by the key of the stage work.

    Explanation
    ===========

    A caller that was refused comes back under another attempt, at another
    host, with less time left; the key of its stage work stays. Its aim counts
    from the first time. Guessed from the time left, against the most patient
    caller, seven in eight new callers counted as having come before, by a
    third of their aim.

    Attributes
    ==========

    seen : dict
        Latest attempt, first arrival and deadline by key; oldest first.

    Examples
    ========

    >>> from pollenstile.stagework import Group
    >>> arrivals = Arrivals()
    >>> first = Group('a', 's', 0, 1, key='k', ends=6.0)
    >>> arrivals.waited(first, 1.0), arrivals.waited(first, 1.5)
    (0.0, 0.0)
    >>> arrivals.waited(Group('b', 's', 0, 1, key='k', ends=6.0), 2.5)
    1.5
    """

    __slots__ = ('seen',)

    def __init__(self):
        self.seen = {}

    def waited(self, group, now):
        """Return seconds from a caller's first arrival to this one's."""
        if not group.key:
            return 0.0
        known = self.seen.get(group.key)
        if known is None or known.deadline < now:
            self._forget(now)
            self.seen[group.key] = _Arrival(group.request, now, group.deadline)
            return 0.0
        if known.request != group.request:
            known.request = group.request
            known.waited = now - known.first
            known.deadline = max(known.deadline, group.deadline)
        return known.waited

    def _forget(self, now):
        while self.seen:
            key = next(iter(self.seen))
            if self.seen[key].deadline >= now and len(self.seen) < _MOST_KEYS:
                return
            self.seen.pop(key)
