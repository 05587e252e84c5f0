"""Requests that recently ran to completion on some upstream."""

from collections import OrderedDict

from pollenstile.ops.bounded import drop_oldest

# Seconds for which a completed run is evidence that a request does not crash
# upstreams, and the number of requests that are remembered by default.
_EVIDENCE_SECONDS = 30.0
_MAX_REQUESTS = 4096


class CompletedRuns:
    """Times of completed runs, by fingerprint.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    most : int
        Number of requests that are remembered.
    """

    __slots__ = ('clock', 'completed_at', 'most')

    def __init__(self, clock, most=_MAX_REQUESTS):
        self.clock = clock
        self.most = most
        self.completed_at = OrderedDict()

    def add(self, fingerprint):
        """Record that a request has run to completion now."""
        self.completed_at[fingerprint] = self.clock.seconds()
        self.completed_at.move_to_end(fingerprint)
        drop_oldest(self.completed_at, self.most)

    def has_recent(self, fingerprint):
        """Return whether a request recently ran to completion."""
        completed_at = self.completed_at.get(fingerprint)
        if completed_at is None:
            return False
        return self.clock.seconds() - completed_at < _EVIDENCE_SECONDS
