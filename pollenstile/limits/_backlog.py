"""Estimated queueing time of a request, from the work queued before it."""

import math

# Time constants in seconds of the decaying averages of started work and of the
# starts of a flow.
_WORK_WINDOW_SECONDS = 5.0
_FLOW_WINDOW_SECONDS = 10.0
# The start rate of a flow is used only when its first request has waited for at
# least this time.
_MIN_HEAD_AGE_SECONDS = 2.0
# Minimum share of the averaging window over which a rate is computed.
_MIN_OBSERVED_SHARE = 0.05


class FlowRates:
    """Start rate of each flow, as a decaying average.

    Parameters
    ==========

    clock : IReactorTime
        Times the decay.
    """

    __slots__ = ('clock', 'sums')

    def __init__(self, clock):
        self.clock = clock
        self.sums = {}

    def add(self, key, since):
        """Record the start of a request.

        Parameters
        ==========

        since : float
            Clock time from which on the flow has waited, in seconds.
        """
        now = self.clock.seconds()
        total, observed_since = self._decayed(key, now)
        if total < 1 / _FLOW_WINDOW_SECONDS:
            observed_since = since
        self.sums[key] = (total + 1, now, observed_since)

    def rate(self, key):
        """Return starts per second, over the observed part of the window."""
        now = self.clock.seconds()
        total, observed_since = self._decayed(key, now)
        observed_share = 1 - math.exp(
            min(0, observed_since - now) / _FLOW_WINDOW_SECONDS
        )
        return total / (
            _FLOW_WINDOW_SECONDS * max(observed_share, _MIN_OBSERVED_SHARE)
        )

    def _decayed(self, key, now):
        total, updated_at, observed_since = self.sums.get(key, (0.0, now, now))
        return total * math.exp(
            (updated_at - now) / _FLOW_WINDOW_SECONDS
        ), observed_since


def flow_wait(waiting, rate, head_age):
    """Return the wait for a flow at its measured start rate.

    Explanation
    ===========

    Estimates from shares and from the rates of other classes are uncertain. For
    a flow that has waited for some time, the measured rate of its own starts
    gives the time in which its present requests start.

    Parameters
    ==========

    waiting : int
        Number of waiting requests of the flow.
    rate : float
        Starts of the flow per second.
    head_age : float
        Seconds for which its first request has waited.

    Examples
    ========

    >>> from pollenstile.limits._backlog import flow_wait
    >>> flow_wait(10, 2.0, 5.0), flow_wait(10, 2.0, 0.1), flow_wait(9, 0, 5)
    (5.5, 0.0, 5)
    """
    if head_age < _MIN_HEAD_AGE_SECONDS:
        return 0.0
    if rate <= 1 / _FLOW_WINDOW_SECONDS:
        return head_age
    return (waiting + 1) / rate


class StartedWork:
    """Rate of started work by class and pool, in slot seconds per second.

    Parameters
    ==========

    clock : IReactorTime
        Times the decay.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.limits._backlog import StartedWork
    >>> clock = Clock()
    >>> work = StartedWork(clock)
    >>> work.add(0, 'engines', 5.0)
    >>> work.rate('engines', 1), work.rate('engines', 0)
    (1.0, 0.0)
    >>> clock.advance(5)
    >>> round(work.rate('engines', 1), 2)
    0.37
    """

    __slots__ = ('clock', 'sums')

    def __init__(self, clock):
        self.clock = clock
        self.sums = {}

    def add(self, rank, pool, seconds):
        """Record started work."""
        total = self._decayed(rank, pool) + seconds
        self.sums[rank, pool] = (total, self.clock.seconds())

    def rate(self, pool, below):
        """Return the summed rate of all classes with a lower rank."""
        total = 0.0
        for rank in range(below):
            total += self._decayed(rank, pool)
        return total / _WORK_WINDOW_SECONDS

    def _decayed(self, rank, pool):
        total, updated_at = self.sums.get((rank, pool), (0.0, 0.0))
        if not total:
            return 0.0
        return total * math.exp(
            (updated_at - self.clock.seconds()) / _WORK_WINDOW_SECONDS
        )


def work_before(queue, waiting, pool):
    """Return the work queued before a new request, in slot seconds.

    Explanation
    ===========

    All work of more urgent classes starts first. Another team of the same
    class is served concurrently, by weight, so its work counts only as far as
    it is served while the work of the request's own team is. A team that has
    exceeded its share waits for all others.

    Parameters
    ==========

    queue : FairQueue
        Queued items; each has ``work``, slot seconds by pool.
    waiting : object
        The new request, with the attributes of a queued item.
    pool : str
        The pool whose work is summed.
    """
    exceeds_share = queue.is_ahead(waiting.key[0], waiting.rank)
    own = waiting.work[pool]
    before = -own
    for key, flow in queue.flows.items():
        if flow.team == waiting.key[0]:
            own += _part_before(key, flow, waiting) * flow.work.get(pool, 0)
        elif exceeds_share or flow.rank < waiting.rank:
            before += flow.work.get(pool, 0)
    if not exceeds_share:
        before += _concurrent_work(queue, waiting, pool, own)
    return before + own


def _part_before(key, flow, waiting):
    """Return the share of a flow of the same team that starts before."""
    if key == waiting.key:
        return 1.0
    if flow.rank > waiting.rank:
        return 0.0
    return _share_before(flow, waiting.latest)


def _concurrent_work(queue, waiting, pool, own):
    """Return the work of other teams of the class that starts meanwhile."""
    others = {}
    for flow in queue.flows.values():
        if flow.team == waiting.key[0] or flow.rank != waiting.rank:
            continue
        share = own * flow.weight / waiting.weight
        queued, _ = others.get(flow.team, (0.0, share))
        others[flow.team] = (queued + flow.work.get(pool, 0), share)
    return sum(min(queued, share) for queued, share in others.values())


def _share_before(flow, latest):
    """Return the approximate share of a flow that must start before a time."""
    first = flow.items[0].latest
    last = flow.items[-1].latest
    if first >= latest:
        return 0.0
    if last <= latest:
        return 1.0
    return (latest - first) / (last - first)


def wait_time(before, limit, urgent_rate, reserve):
    """Return the seconds until queued work has started.

    Parameters
    ==========

    before : float
        Slot seconds queued before the request.
    limit : float
        Slots that serve the queue.
    urgent_rate : float
        Slot seconds per second that more urgent classes use.
    reserve : float
        Share of the slots that more urgent classes can't use.

    Examples
    ========

    >>> from pollenstile.limits._backlog import wait_time
    >>> wait_time(10.0, 5.0, 0.0, 0.1), wait_time(10.0, 5.0, 5.0, 0.2)
    (2.0, 10.0)
    """
    return before / max(limit - urgent_rate, reserve * limit, 0.01)
