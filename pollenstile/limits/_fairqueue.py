"""A queue that shares capacity between teams by cost.

Explanation
===========

Start-time fair queueing over teams (Goyal, Vin and Cheng, 1996), with the
virtual time of generalised processor sharing: it advances by the cost that is
started over the weights of teams that wait. Classes of urgency go first, but
only within a team's fair share: cost that a team starts in one class counts in
its accounts of that class and of all less urgent ones, and a team whose
account runs ahead of the virtual time waits behind everybody else. So marking
everything urgent gains a flooding team nothing. A part of what is started is
reserved to the less urgent classes.
"""

from collections import deque

RANKS = {'urgent': 0, 'normal': 1, 'batch': 2}
_EXCESS = 3
# Cost that a team may run ahead of its share, in average requests of a team
# of weight 1.
_LEAD = 6.0
_SMOOTHING = 0.05
# Parts of all started cost kept for classes that wait behind others.
RESERVES = {0: 0.0, 1: 0.05, 2: 0.1}
_MOST_CREDIT = 2.0


class Flow:
    """Waiting requests of one team to one pipeline.

    Parameters
    ==========

    team : str
        The caller.
    weight : float
        The team's share.
    rank : int
        Of the pipeline's urgency; 0 goes first.
    """

    __slots__ = ('items', 'rank', 'team', 'weight', 'work')

    def __init__(self, team, weight, rank):
        self.team = team
        self.weight = weight
        self.rank = rank
        self.items = deque()
        # Slot seconds that wait, by pool.
        self.work = {}

    def add(self, item):
        """Append an item."""
        self.items.append(item)
        for pool, seconds in item.work.items():
            self.work[pool] = self.work.get(pool, 0) + seconds

    def forget(self, item):
        """Take an item's work off; the item is out already."""
        for pool, seconds in item.work.items():
            self.work[pool] -= seconds


class FairQueue:
    """Waiting requests, and which goes next.

    Parameters
    ==========

    reserves : dict
        Part of all started cost that a rank gets while it waits.
    lead : float
        How far a team may run ahead; infinite for strict classes.
    """

    __slots__ = (
        'average',
        'credits',
        'flows',
        'lead',
        'reserves',
        'size',
        'tags',
        'virtual',
    )

    def __init__(self, reserves=None, lead=_LEAD):
        self.reserves = RESERVES if reserves is None else reserves
        self.lead = lead
        self.flows = {}
        self.size = 0
        self.tags = {}
        self.virtual = 0.0
        self.average = 0.0
        self.credits = {}

    def put(self, key, weight, rank, item):
        """Append an item, to a flow; it has ``cost``, ``work`` and ``latest``.

        Parameters
        ==========

        key : tuple
            The team's name and the pipeline's.
        weight : float
            The team's weight.
        rank : int
            Of the class.
        """
        flow = self.flows.get(key)
        if flow is None:
            flow = Flow(key[0], weight, rank)
            self.flows[key] = flow
        flow.weight = weight
        flow.add(item)
        self.size += 1

    def drop(self, key, item):
        """Take an item out."""
        flow = self.flows[key]
        flow.items.remove(item)
        flow.forget(item)
        self._shrink(key)

    def tag(self, team, rank):
        """Return a team's account in a class, in cost over weight."""
        return max(self.virtual, self.tags.get((team, rank), 0.0))

    def is_ahead(self, team, rank):
        """Return whether a team has had more than its share."""
        lead = self.tag(team, rank) - self.virtual
        return lead > self.lead * self.average

    def next_key(self, is_blocked):
        """Return the key of the flow whose first item goes next, or None.

        Parameters
        ==========

        is_blocked : function
            ``is_blocked(item)`` tells whether there is no room for it.
        """
        best = None
        best_order = None
        for key, flow in self.flows.items():
            order = self._order(flow)
            if best_order is not None and order >= best_order:
                continue
            if is_blocked(flow.items[0]):
                continue
            best = key
            best_order = order
        return best

    def pop(self, key):
        """Start the first item of a flow; return it."""
        flow = self.flows[key]
        item = flow.items.popleft()
        flow.forget(item)
        self.average += _SMOOTHING * (item.cost - self.average)
        self._charge(flow, item.cost)
        self._shrink(key)
        return item

    def _order(self, flow):
        # Between pipelines of one team, what must start first goes first.
        head = flow.items[0]
        place = (self.tag(flow.team, flow.rank), head.latest)
        if self.is_ahead(flow.team, flow.rank):
            return (_EXCESS, *place)
        if self.credits.get(flow.rank, 0) >= head.cost:
            return (-1, *place)
        return (flow.rank, *place)

    def _charge(self, flow, cost):
        waiting = {flow.team: flow.weight}
        heads = {}
        for other in self.flows.values():
            waiting[other.team] = other.weight
            head = other.items[0].cost if other.items else cost
            heads[other.rank] = max(head, heads.get(other.rank, 0))
        for rank in RANKS.values():
            if rank < flow.rank:
                continue
            tag = self.tag(flow.team, rank)
            self.tags[flow.team, rank] = tag + cost / flow.weight
        self.virtual += cost / sum(waiting.values())
        self._credit(heads, flow.rank, cost)

    def _credit(self, heads, started, cost):
        for rank, part in self.reserves.items():
            if rank not in heads:
                self.credits.pop(rank, None)
                continue
            credit = self.credits.get(rank, 0) + part * cost
            if rank == started:
                credit -= cost
            most = _MOST_CREDIT * heads[rank]
            self.credits[rank] = max(-most, min(credit, most))

    def _shrink(self, key):
        self.size -= 1
        if not self.flows[key].items:
            self.flows.pop(key)
        if self.size:
            return
        # Nobody waits: what a team had while capacity was idle is no debt.
        self.tags.clear()
        self.credits.clear()
        self.virtual = 0.0
