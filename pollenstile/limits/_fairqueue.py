"""Fair queue that shares capacity between teams by cost.

Explanation
===========

Start-time fair queueing over teams (Goyal, Vin and Cheng, 1996), with the
virtual time of generalised processor sharing: it advances by the started cost
divided by the total weight of the waiting teams. More urgent classes are served
first, but only within a team's fair share: cost that a team starts in one class
is added to its tags of that class and of all less urgent ones, and a team whose
tag is too far ahead of the virtual time waits behind all others. So a flooding
team gains nothing by marking all its requests urgent. A share of the started
cost is reserved for the less urgent classes.
"""

from collections import deque

RANKS = {'urgent': 0, 'normal': 1, 'batch': 2}
# Rank of teams that have exceeded their share, behind all classes.
_EXCESS_RANK = 3
# Cost by which a team may exceed its share, in average requests of a team of
# weight 1.
_MAX_LEAD = 6.0
# Weight of the latest request in the average cost.
_SMOOTHING = 0.05
# Share of all started cost that is reserved for each rank.
RESERVES = {0: 0.0, 1: 0.05, 2: 0.1}
# Maximum credit or debt of a rank, as a multiple of its largest first item.
_MAX_CREDIT = 2.0


class Flow:
    """Queued requests of one team to one pipeline.

    Parameters
    ==========

    team : str
        The calling team.
    weight : float
        The team's share.
    rank : int
        Rank of the pipeline's urgency; 0 is served first.
    """

    __slots__ = ('items', 'rank', 'team', 'weight', 'work')

    def __init__(self, team, weight, rank):
        self.team = team
        self.weight = weight
        self.rank = rank
        self.items = deque()
        # Queued slot seconds by pool.
        self.work = {}

    def add(self, item):
        """Append an item."""
        self.items.append(item)
        for pool, seconds in item.work.items():
            self.work[pool] = self.work.get(pool, 0) + seconds

    def subtract_work(self, item):
        """Subtract the work of an item that was removed."""
        for pool, seconds in item.work.items():
            self.work[pool] -= seconds


class FairQueue:
    """Queued requests and the order in which they start.

    Parameters
    ==========

    reserves : dict
        Share of all started cost that a rank gets while it waits.
    max_lead : float
        Cost by which a team may exceed its share, in average requests;
        infinite for strict priorities.
    """

    __slots__ = (
        'average_cost',
        'credits',
        'flows',
        'max_lead',
        'reserves',
        'size',
        'tags',
        'virtual_time',
    )

    def __init__(self, reserves=None, max_lead=_MAX_LEAD):
        self.reserves = RESERVES if reserves is None else reserves
        self.max_lead = max_lead
        self.flows = {}
        self.size = 0
        self.tags = {}
        self.virtual_time = 0.0
        self.average_cost = 0.0
        self.credits = {}

    def put(self, key, weight, rank, item):
        """Append an item with ``cost``, ``work`` and ``latest`` to its flow.

        Parameters
        ==========

        key : tuple
            Names of the team and of the pipeline.
        weight : float
            The team's weight.
        rank : int
            Rank of the urgency class.
        """
        flow = self.flows.get(key)
        if flow is None:
            flow = Flow(key[0], weight, rank)
            self.flows[key] = flow
        flow.weight = weight
        flow.add(item)
        self.size += 1

    def remove(self, key, item):
        """Remove an item."""
        flow = self.flows[key]
        flow.items.remove(item)
        flow.subtract_work(item)
        self._drop_empty(key)

    def tag(self, team, rank):
        """Return a team's start tag in a class, in cost over weight."""
        return max(self.virtual_time, self.tags.get((team, rank), 0.0))

    def is_ahead(self, team, rank):
        """Return whether a team has exceeded its share."""
        lead = self.tag(team, rank) - self.virtual_time
        return lead > self.max_lead * self.average_cost

    def next_key(self, is_blocked):
        """Return the key of the flow whose first item starts next, or None.

        Parameters
        ==========

        is_blocked : function
            ``is_blocked(item)`` returns whether capacity for it is missing.
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
        """Remove the first item of a flow, charge its cost and return it."""
        flow = self.flows[key]
        item = flow.items.popleft()
        flow.subtract_work(item)
        self.average_cost += _SMOOTHING * (item.cost - self.average_cost)
        self._charge(flow, item.cost)
        self._drop_empty(key)
        return item

    def _order(self, flow):
        # Between pipelines of one team, the request that must start earliest
        # goes first.
        head = flow.items[0]
        tie_break = (self.tag(flow.team, flow.rank), head.latest)
        if self.is_ahead(flow.team, flow.rank):
            return (_EXCESS_RANK, *tie_break)
        if self.credits.get(flow.rank, 0) >= head.cost:
            return (-1, *tie_break)
        return (flow.rank, *tie_break)

    def _charge(self, flow, cost):
        weights = {flow.team: flow.weight}
        head_costs = {}
        for other in self.flows.values():
            weights[other.team] = other.weight
            head = other.items[0].cost if other.items else cost
            head_costs[other.rank] = max(head, head_costs.get(other.rank, 0))
        for rank in RANKS.values():
            if rank < flow.rank:
                continue
            tag = self.tag(flow.team, rank)
            self.tags[flow.team, rank] = tag + cost / flow.weight
        self.virtual_time += cost / sum(weights.values())
        self._credit(head_costs, flow.rank, cost)

    def _credit(self, head_costs, started_rank, cost):
        for rank, share in self.reserves.items():
            if rank not in head_costs:
                self.credits.pop(rank, None)
                continue
            credit = self.credits.get(rank, 0) + share * cost
            if rank == started_rank:
                credit -= cost
            limit = _MAX_CREDIT * head_costs[rank]
            self.credits[rank] = max(-limit, min(credit, limit))

    def _drop_empty(self, key):
        self.size -= 1
        if not self.flows[key].items:
            self.flows.pop(key)
        if self.size:
            return
        # The queue is empty: capacity that teams used while it was idle does
        # not count against them.
        self.tags.clear()
        self.credits.clear()
        self.virtual_time = 0.0
