"""Retry budgets: this host's part of the retries that a service accepts."""

from collections import deque
from itertools import repeat

# Share of the common allowance that hosts use. The rest covers retries that a
# host sent before a restart and no longer counts.
_USED_SHARE_OF_ALLOWANCE = 0.6


class SharedRetryBudget:
    """Limits retries (sends after a request's first) for each service.

    Explanation
    ===========

    Within any window, a service accepts ``ratio`` times its requests plus
    ``slack`` as retries. Each request is counted by the host that receives it,
    so the first term needs no division; the slack is divided evenly among the
    hosts.

    Parameters
    ==========

    clock : IReactorTime
        Source of the time in seconds.
    ratio, slack, window : float
        Limits set by the platform; the window in seconds.

    Attributes
    ==========

    hosts : int
        Number of hosts that share the slack.
    requests, retries : dict
        Times of recent requests and retries, a deque by service.
    """

    __slots__ = (
        'clock',
        'hosts',
        'ratio',
        'requests',
        'retries',
        'slack',
        'window',
    )

    def __init__(self, clock, ratio, slack, window):
        self.clock = clock
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.hosts = 1
        self.requests = {}
        self.retries = {}

    def note_request(self, service):
        """Count a caller's request to a service."""
        self.requests.setdefault(service, deque()).append(self.clock.seconds())

    def spend(self, service, number=1, sharers=None):
        """Count retries if the budget allows them; return whether it does.

        Parameters
        ==========

        service : str
            The service to send to.
        number : int
            Number of retries.
        sharers : int or None
            Number of hosts that share the slack; None for all hosts.
        """
        if self.remaining(service, sharers) < number:
            return False
        times = self.retries.setdefault(service, deque())
        times.extend(repeat(self.clock.seconds(), number))
        return True

    def remaining(self, service, sharers=None):
        """Return the number of retries that the budget still allows."""
        requests = self._count_recent(self.requests, service)
        retries = self._count_recent(self.retries, service)
        slack = self.slack / max(1, sharers or self.hosts)
        return (
            _USED_SHARE_OF_ALLOWANCE * (self.ratio * requests + slack) - retries
        )

    def _count_recent(self, times_by_service, service):
        times = times_by_service.get(service)
        if not times:
            return 0
        oldest = self.clock.seconds() - self.window
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
