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

    An upstream may start again under its identifier in another version. Its
    entry stays as it was while the store is away or read late, and nothing in
    its answers tells the version. So the version is not known after its process
    was found to have ended. After a connection to it broke, it is not known
    which process goes on. Where reports state their start, they show it.

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
    broken_at : dict
        Time at which a connection to a process last broke, by incarnation.
    followed : dict
        Incarnations whose address has a later process.
    """

    __slots__ = (
        'broken_at',
        'clock',
        'ended_at',
        'followed',
        'history',
        'listed_at',
    )

    def __init__(self, clock, history):
        self.clock = clock
        self.history = history
        self.ended_at = {}
        self.listed_at = {}
        self.broken_at = {}
        self.followed = {}

    def note_ended(self, incarnation):
        """Record that the process of an upstream has ended."""
        if self.is_doubtful(incarnation):
            return
        self.ended_at.pop(incarnation, None)
        self.ended_at[incarnation] = self.clock.seconds()
        drop_oldest(self.ended_at, _MAX_ENDED)

    def note_broken(self, incarnation):
        """Record that a connection to an upstream broke."""
        self.broken_at.pop(incarnation, None)
        self.broken_at[incarnation] = self.clock.seconds()
        drop_oldest(self.broken_at, _MAX_ENDED)

    def note_same(self, incarnation, asked_at):
        """Record that a process has not ended until a report was asked for.

        Parameters
        ==========

        asked_at : float
            Time on the clock at which the report was asked for.
        """
        for noted in (self.ended_at, self.broken_at):
            if noted.get(incarnation, asked_at) < asked_at:
                noted.pop(incarnation)

    def note_followed(self, incarnation):
        """Record that a later process listens at the address of one."""
        self.followed[incarnation] = True
        drop_oldest(self.followed, _MAX_ENDED)

    def note_listed(self, incarnation):
        """Record that the entry of another process was read."""
        self.broken_at.pop(incarnation, None)
        self.followed.pop(incarnation, None)
        if incarnation in self.ended_at:
            self.listed_at[incarnation] = self.clock.seconds()
            drop_oldest(self.listed_at, _MAX_ENDED)

    def is_doubtful(self, incarnation):
        """Return whether an upstream may be of another version than listed."""
        if incarnation in self.followed:
            return True
        ended_at = self.ended_at.get(incarnation)
        if ended_at is None:
            return False
        if self.listed_at.get(incarnation, _LONG_AGO) > ended_at:
            return False
        if not self.history.is_in_contact():
            return True
        since = max(ended_at, self.history.followed_since)
        return self.clock.seconds() - since < _ENTRY_SECONDS

    def is_sure(self, incarnation):
        """Return whether it is certain that the listed process goes on."""
        if incarnation in self.broken_at or self.is_doubtful(incarnation):
            return False
        return self.history.is_in_contact()
