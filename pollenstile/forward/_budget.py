"""Repeats that a service takes from all hosts together, this host's part."""

from collections import deque
from itertools import repeat

# Part of the shared allowance that hosts use. The rest is for repeats that a
# host has sent and forgotten, as one does that starts again.
_USED_SHARE = 0.6


class SharedRetryBudget:
    """Sends beyond the first of each request, by service.

    Explanation
    ===========

    Over any window, a service takes ``ratio`` times its requests and
    ``slack`` more. Requests are counted where they arrive, so that part needs
    no division; the slack is divided evenly among the hosts.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    ratio, slack, window : float
        Of the platform; the window in seconds.

    Attributes
    ==========

    hosts : int
        Hosts that share the slack.
    """

    __slots__ = (
        'clock',
        'firsts',
        'hosts',
        'ratio',
        'repeats',
        'slack',
        'window',
    )

    def __init__(self, clock, ratio, slack, window):
        self.clock = clock
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.hosts = 1
        self.firsts = {}
        self.repeats = {}

    def note_first(self, service):
        """Count a request that a caller sent for a service."""
        self.firsts.setdefault(service, deque()).append(self.clock.seconds())

    def spend(self, service, number=1, sharers=None):
        """Return whether repeats may be sent now; if so, count them.

        Parameters
        ==========

        sharers : int or None
            Hosts that send to the service, where these are not all.
        """
        if self.left(service, sharers) < number:
            return False
        times = self.repeats.setdefault(service, deque())
        times.extend(repeat(self.clock.seconds(), number))
        return True

    def left(self, service, sharers=None):
        """Return the number of repeats that may still be sent."""
        firsts = self._recent(self.firsts, service)
        repeats = self._recent(self.repeats, service)
        slack = self.slack / max(1, sharers or self.hosts)
        return _USED_SHARE * (self.ratio * firsts + slack) - repeats

    def _recent(self, rows, service):
        times = rows.get(service)
        if not times:
            return 0
        oldest = self.clock.seconds() - self.window
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
