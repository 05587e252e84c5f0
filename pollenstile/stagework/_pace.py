"""What an owner remembers of its queue to judge by."""

from collections import deque

# Seconds over which the rate of made pieces is measured.
_RATE_WINDOW = 1.0
# Share of the newest group in the share of groups that are taken.
_NEWEST_TAKEN = 0.1


class Pace:
    """Rate of made pieces, and share of the groups that were taken.

    Attributes
    ==========

    shares : dict
        Share of the latest first groups that were taken, by urgency.
    queued_since : float or None
        Since when pieces have waited without a break.
    """

    __slots__ = ('made_at', 'queued_since', 'shares')

    def __init__(self):
        self.shares = {}
        self.made_at = deque()
        self.queued_since = None

    def share(self, urgency):
        """Return the share of the groups of an urgency that were taken."""
        return self.shares.get(urgency, 1.0)

    def note_taken(self, urgency, *, taken):
        """Note whether a first group was taken."""
        share = self.share(urgency)
        self.shares[urgency] = share + _NEWEST_TAKEN * (taken - share)

    def record_made(self, now):
        """Note that a piece was made."""
        self.made_at.append(now)

    def rate(self, now, *, queued):
        """Return pieces made a second while pieces waited all the time.

        Parameters
        ==========

        queued : bool
            Whether pieces wait now.

        Returns
        =======

        float
            0 when the queue was empty lately: then nothing is known.
        """
        if not queued:
            self.queued_since = None
        elif self.queued_since is None:
            self.queued_since = now
        while self.made_at and self.made_at[0] < now - _RATE_WINDOW:
            self.made_at.popleft()
        since = self.queued_since
        if since is None or now - since < _RATE_WINDOW:
            return 0
        return len(self.made_at) / _RATE_WINDOW
