"""How long a request would wait: work queued before it, and the drain."""

import math

# Seconds over which the rate of started work is averaged.
_WINDOW = 5.0


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


def work_before(queue, key, weight, rank, pool, own):
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
    key : tuple
        Own team and pipeline.
    weight : float
        Own team's.
    rank : int
        Own class.
    pool : str
        The pool that the work is at.
    own : float
        Work of the new request there.
    """
    ahead = queue.is_ahead(key[0], rank)
    mine = own
    others = {}
    before = 0.0
    for flow in queue.flows.values():
        queued = flow.work.get(pool, 0.0)
        if flow.team == key[0] and flow.rank <= rank:
            mine += queued
        elif ahead or flow.rank < rank:
            before += queued
        elif flow.rank == rank:
            share = flow.weight / weight
            found = others.get(flow.team, (0.0, share))
            others[flow.team] = (found[0] + queued, share)
    for queued, share in others.values():
        before += min(queued, mine * share)
    return before + mine - own


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
