"""Since when a close may have gone unread."""

# Time in which what has gathered in a pause is read.
_READ_SECONDS = 1.0


class ReadPauses:
    """Pauses in which an end of a connection does not read.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.

    Attributes
    ==========

    first_at : float or None
        When reading was paused first, of the pauses that follow each other.
    resumed_at : float or None
        When it went on last; None while it is paused.
    """

    __slots__ = ('clock', 'first_at', 'resumed_at')

    def __init__(self, clock):
        self.clock = clock
        self.first_at = None
        self.resumed_at = None

    def note_paused(self):
        """Record that nothing is read from now on."""
        self.first_at = self.late_since()
        if self.first_at is None:
            self.first_at = self.clock.seconds()
        self.resumed_at = None

    def note_resumed(self):
        """Record that reading goes on."""
        self.resumed_at = self.clock.seconds()

    def late_since(self):
        """Return since when a close may have gone unread; None if it can't."""
        if self.resumed_at is None:
            return self.first_at
        is_read = self.clock.seconds() - self.resumed_at > _READ_SECONDS
        return None if is_read else self.first_at
