"""Recent evidence that requests and prompt parts do not crash upstreams."""

from collections import OrderedDict

from pollenstile.ops.bounded import drop_oldest

# Seconds for which an answer or a completed run is evidence.
_EVIDENCE_SECONDS = 30.0
_MAX_SUBJECTS = 4096


class RecentEvidence:
    """Requests or prompt parts that recently did not crash an upstream.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    limit : int
        Number of subjects that are remembered; the oldest is dropped first.

    Attributes
    ==========

    added_at : OrderedDict
        Time at which each subject was last added, oldest first.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.quarantine import RecentEvidence
    >>> clock = Clock()
    >>> completed_runs = RecentEvidence(clock)
    >>> completed_runs.add('fingerprint')
    >>> completed_runs.has_recent('fingerprint')
    True
    >>> clock.advance(30)
    >>> completed_runs.has_recent('fingerprint')
    False
    """

    __slots__ = ('added_at', 'clock', 'limit')

    def __init__(self, clock, limit=_MAX_SUBJECTS):
        self.clock = clock
        self.limit = limit
        self.added_at = OrderedDict()

    def add(self, subject):
        """Record evidence for a subject, such as a fingerprint, now."""
        self.added_at[subject] = self.clock.seconds()
        self.added_at.move_to_end(subject)
        drop_oldest(self.added_at, self.limit)

    def has_recent(self, subject):
        """Return whether there is recent evidence for a subject."""
        added_at = self.added_at.get(subject)
        if added_at is None:
            return False
        return self.clock.seconds() - added_at < _EVIDENCE_SECONDS
