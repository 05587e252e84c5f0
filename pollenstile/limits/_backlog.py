"""How long a request would wait: work queued before it, and the drain."""

import math

# Seconds over which the rate of started work is averaged.
_WINDOW = 5.0
_FLOW_WINDOW = 10.0
# A flow that waits for less says nothing of its rate.
_LEAST_AGE = 2.0
_LEAST_SEEN = 0.05


class FlowRates:
    """Starts a second of each flow, from the last seconds.

    Parameters
    ==========

    clock : IReactorTime
        For fading.
    """

    __slots__ = ('clock', 'sums')

    def __init__(self, clock):
        self.clock = clock
        self.sums = {}

    def add(self, key, since):
        """Note a start.

        Parameters
        ==========

        since : float
            From when on its flow has waited, in seconds.
        """
        now = self.clock.seconds()
        total, first = self._faded(key, now)
        if total < 1 / _FLOW_WINDOW:
            first = since
        self.sums[key] = (total + 1, now, first)

    def rate(self, key):
        """Return starts a second, over no more time than there has been."""
        now = self.clock.seconds()
        total, first = self._faded(key, now)
        seen = 1 - math.exp(min(0, first - now) / _FLOW_WINDOW)
        return total / (_FLOW_WINDOW * max(seen, _LEAST_SEEN))

    def _faded(self, key, now):
        total, when, first = self.sums.get(key, (0.0, now, now))
        return total * math.exp((when - now) / _FLOW_WINDOW), first


def flow_wait(waiting, rate, head_age):
    """Return a wait from how a flow has really drained.

    Explanation
    ===========

    Shares and rates of other classes are estimates. A flow that has waited
    for a while tells itself: as many as wait now, at the rate of its starts.

    Parameters
    ==========

    waiting : int
        Requests of the flow that wait.
    rate : float
        Starts of the flow, a second.
    head_age : float
        Seconds that its first has waited.

    Examples
    ========

    >>> from pollenstile.limits._backlog import flow_wait
    >>> flow_wait(10, 2.0, 5.0), flow_wait(10, 2.0, 0.1), flow_wait(9, 0, 5)
    (5.5, 0.0, 5)
    """
    if head_age < _LEAST_AGE:
        return 0.0
    if rate <= 1 / _FLOW_WINDOW:
        return head_age
    return (waiting + 1) / rate


class StartedWork:
    """Rate of started work by class and pool, in slot seconds a second.

    Parameters
    ==========

    clock : IReactorTime
        For fading.

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
        """Note work that starts."""
        total = self._faded(rank, pool) + seconds
        self.sums[rank, pool] = (total, self.clock.seconds())

    def rate(self, pool, below):
        """Return the rate of all classes with a rank below one."""
        total = 0.0
        for rank in range(below):
            total += self._faded(rank, pool)
        return total / _WINDOW

    def _faded(self, rank, pool):
        total, when = self.sums.get((rank, pool), (0.0, 0.0))
        if not total:
            return 0.0
        return total * math.exp((when - self.clock.seconds()) / _WINDOW)


def work_before(queue, waiting, pool):
    """Return queued work that goes before a new request, in slot seconds.

    Explanation
    ===========

    More urgent classes go first whole. Another team of the same class is
    served beside the own one by weight, so of its work only as much counts as
    goes while the own team's is served. A team beyond its share waits for all.

    Parameters
    ==========

    queue : FairQueue
        With items that have ``work``, slot seconds by pool.
    waiting : object
        The new request, with what an item of the queue has.
    pool : str
        The pool that the work is at.
    """
    ahead = queue.is_ahead(waiting.key[0], waiting.rank)
    mine = waiting.work[pool]
    before = -mine
    for key, flow in queue.flows.items():
        if flow.team == waiting.key[0]:
            mine += _own_before(key, flow, waiting) * flow.work.get(pool, 0)
        elif ahead or flow.rank < waiting.rank:
            before += flow.work.get(pool, 0)
    if not ahead:
        before += _beside(queue, waiting, pool, mine)
    return before + mine


def _own_before(key, flow, waiting):
    """Return the part of a flow of the same team that goes before."""
    if key == waiting.key:
        return 1.0
    if flow.rank > waiting.rank:
        return 0.0
    return _earlier(flow, waiting.latest)


def _beside(queue, waiting, pool, mine):
    """Return work of other teams of the class that goes beside the own."""
    others = {}
    for flow in queue.flows.values():
        if flow.team == waiting.key[0] or flow.rank != waiting.rank:
            continue
        share = mine * flow.weight / waiting.weight
        queued, _ = others.get(flow.team, (0.0, share))
        others[flow.team] = (queued + flow.work.get(pool, 0), share)
    return sum(min(queued, share) for queued, share in others.values())


def _earlier(flow, latest):
    """Return about which part of a flow must start before a time."""
    first = flow.items[0].latest
    last = flow.items[-1].latest
    if first >= latest:
        return 0.0
    if last <= latest:
        return 1.0
    return (latest - first) / (last - first)


def wait_time(before, limit, urgent_rate, reserve):
    """Return seconds until queued work is started.

    Parameters
    ==========

    before : float
        Slot seconds queued before.
    limit : float
        Slots that drain it.
    urgent_rate : float
        Slot seconds a second that more urgent classes take of them.
    reserve : float
        Part of the slots that they leave in any case.

    Examples
    ========

    >>> from pollenstile.limits._backlog import wait_time
    >>> wait_time(10.0, 5.0, 0.0, 0.1), wait_time(10.0, 5.0, 5.0, 0.2)
    (2.0, 10.0)
    """
    return before / max(limit - urgent_rate, reserve * limit, 0.01)
