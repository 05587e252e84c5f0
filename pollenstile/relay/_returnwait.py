"""Wait for a reader of a store that is back from an outage."""

# Seconds for which a host waits for a reader that has read the store before it
# reads the store itself. Readers call an absent store each 0.5 s, and a change
# must be in force within 2 s.
_WAIT_SECONDS = 1.0


class ReturnWait:
    """Whether a host waits for a reader instead of reading the store.

    Explanation
    ===========

    When all hosts read a store that has returned from a copy, each reads all of
    it. A host that can follow another one waits until this one has read it.

    Parameters
    ==========

    follower : Follower
        Follows the readers of the domain.

    Attributes
    ==========

    until : float
        Time, on the clock, at which the wait ends.
    """

    __slots__ = ('follower', 'until')

    def __init__(self, follower):
        self.follower = follower
        self.until = 0.0

    def begin(self):
        """Wait from now on; what readers answered in the outage is void."""
        self.follower.skipped.clear_all()
        self.follower.no_store_answers = 0
        self.until = self.follower.clock.seconds() + _WAIT_SECONDS

    def is_on(self):
        """Return whether a reader may still make own reads unnecessary."""
        follower = self.follower
        if follower.is_following() or follower.clock.seconds() >= self.until:
            return False
        return follower.reader(follower.skipped.is_skipped) is not None

    def has_candidate(self):
        """Return whether a reader could be followed if the store answered."""
        return self.follower.reader(_never) is not None


def _never(host):
    return False
