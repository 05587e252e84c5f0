"""Recent throughput and admission statistics of a queue."""

from collections import deque

# Seconds over which the rate of finished pieces is measured.
_RATE_WINDOW_SECONDS = 1.0
# Weight of the latest group in the share of admitted groups.
_ADMISSION_SMOOTHING = 0.1


class QueueStats:
    """Rate of finished pieces, and share of groups that were admitted.

    Attributes
    ==========

    admitted_shares : dict
        Share of recent first-step groups that were admitted, by urgency.
    queued_since : float or None
        Time since which the queue was never empty.
    """

    __slots__ = ('admitted_shares', 'made_at', 'queued_since')

    def __init__(self):
        self.admitted_shares = {}
        self.made_at = deque()
        self.queued_since = None

    def admitted_share(self, urgency):
        """Return the share of groups of an urgency that were admitted."""
        return self.admitted_shares.get(urgency, 1.0)

    def record_admission(self, urgency, *, accepted):
        """Record whether a first-step group was admitted."""
        share = self.admitted_share(urgency)
        self.admitted_shares[urgency] = share + _ADMISSION_SMOOTHING * (
            accepted - share
        )

    def record_made(self, now):
        """Record that a piece was made."""
        self.made_at.append(now)

    def rate(self, now, *, queued):
        """Return pieces made per second while the queue was never empty.

        Parameters
        ==========

        queued : bool
            Whether pieces wait now.

        Returns
        =======

        float
            0 when the rate is unknown because the queue was empty at some time
            within the window.
        """
        if not queued:
            self.queued_since = None
        elif self.queued_since is None:
            self.queued_since = now
        while self.made_at and self.made_at[0] < now - _RATE_WINDOW_SECONDS:
            self.made_at.popleft()
        since = self.queued_since
        if since is None or now - since < _RATE_WINDOW_SECONDS:
            return 0
        return len(self.made_at) / _RATE_WINDOW_SECONDS
