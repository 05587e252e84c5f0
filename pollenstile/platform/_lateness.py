"""How late the answers to a watch are, as other reads of the store show."""

from bisect import bisect_right
from collections import deque

# Reads that are remembered; a host reads its configuration once a second.
_MAX_READS = 64


class RevisionTimes:
    """Revisions of the store that reads of any kind have shown.

    Explanation
    ===========

    A watch that is answered late looks like one without changes. But the store
    has one revision for all kinds: an answer that goes up to an older revision
    than an earlier read is at least as late as that read is old.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.

    Attributes
    ==========

    reads : deque of tuple
        Revision and time of each read that showed a newer one, oldest first.
    late_seconds : dict
        Seconds by which the latest answer to a watch was late, by kind.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.platform import RevisionTimes
    >>> clock = Clock()
    >>> times = RevisionTimes(clock)
    >>> times.note(7)
    >>> clock.advance(0.5)
    >>> times.note_watched('upstreams', 6), times.note_watched('hosts', 7)
    (0.5, 0.0)
    """

    __slots__ = ('clock', 'late_seconds', 'reads')

    def __init__(self, clock):
        self.clock = clock
        self.reads = deque(maxlen=_MAX_READS)
        self.late_seconds = {}

    def note(self, revision):
        """Record the revision that a read has just shown."""
        if not self.reads or revision > self.reads[-1][0]:
            self.reads.append((revision, self.clock.seconds()))

    def note_watched(self, kind, revision):
        """Record an answer to a watch; return by how many seconds it is late.

        Explanation
        ===========

        That is the time since a read first showed a newer revision: the answer
        may be later than that, but not earlier.
        """
        place = bisect_right(self.reads, revision, key=_revision_of)
        late = 0.0
        if place < len(self.reads):
            late = self.clock.seconds() - self.reads[place][1]
        self.late_seconds[kind] = late
        return late


def _revision_of(read):
    return read[0]
