"""Upstreams whose registered version may be that of a past process."""

from pollenstile.ops.bounded import drop_oldest

# Seconds of contact with the store after which the entry of an upstream that
# has started again is known: it is written at the start.
_ENTRY_SECONDS = 3.0
_MAX_ENDED = 512
_LONG_AGO = float('-inf')


class VersionDoubts:
    """Whether the software version of an upstream is known.

    Explanation
    ===========

    An upstream may start again under its identifier in another version. While
    the store is away its entry stays as it was, and nothing in its answers
    tells the version.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    history : SoftwareHistory
        Tells since when the host is in contact with the store.

    Attributes
    ==========

    ended_at : dict
        Time at which a process was found to have ended, by incarnation, oldest
        first.
    listed_at : dict
        Time at which the entry of a process was first read, by incarnation.
    """

    __slots__ = ('clock', 'ended_at', 'history', 'listed_at')

    def __init__(self, clock, history):
        self.clock = clock
        self.history = history
        self.ended_at = {}
        self.listed_at = {}

    def note_ended(self, incarnation):
        """Record that the process of an upstream has ended."""
        if self.is_doubtful(incarnation):
            return
        self.ended_at.pop(incarnation, None)
        self.ended_at[incarnation] = self.clock.seconds()
        drop_oldest(self.ended_at, _MAX_ENDED)

    def note_listed(self, incarnation):
        """Record that the entry of another process was read."""
        if incarnation in self.ended_at:
            self.listed_at[incarnation] = self.clock.seconds()
            drop_oldest(self.listed_at, _MAX_ENDED)

    def is_doubtful(self, incarnation):
        """Return whether an upstream may be of another version than listed."""
        ended_at = self.ended_at.get(incarnation)
        if ended_at is None:
            return False
        if self.listed_at.get(incarnation, _LONG_AGO) > ended_at:
            return False
        if not self.history.is_in_contact():
            return True
        since = max(ended_at, self.history.followed_since)
        return self.clock.seconds() - since < _ENTRY_SECONDS
