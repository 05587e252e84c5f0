"""Room in pools for whole requests."""

# Sums over a pool are kept for so many seconds.
_KEPT = 0.05
# Sums of fractions drift; what is no call at all is nothing.
_NOTHING = 1e-6


class Ticket:
    """Room that an admitted request still holds, by stage.

    Parameters
    ==========

    shares : dict
        Stage to its pool and the calls that it counts as there.
    """

    __slots__ = ('shares',)

    def __init__(self, shares):
        self.shares = shares


def stage_shares(stages, times):
    """Return the calls that each stage of a waiting request counts as.

    Explanation
    ===========

    A request is counted at a pool from its admission to the end of its stage
    there, though it is really there only for the stage's own time. Weighting
    it with that part of the time makes the count the mean number of calls at
    the pool (Little's law).

    Parameters
    ==========

    stages : list of Stage
        In order.
    times : list of float
        Usual times of them, in seconds.

    Examples
    ========

    >>> from pollenstile.manifest import Stage
    >>> from pollenstile.limits._gate import stage_shares
    >>> stage_shares([Stage('a', 'x'), Stage('b', 'y')], [1.0, 3.0])
    {'a': ('x', 1.0), 'b': ('y', 0.75)}
    """
    shares = {}
    before = 0.0
    for stage, took in zip(stages, times, strict=True):
        before += took
        shares[stage.name] = (stage.pool, took / before if before else 1.0)
    return shares


class Gate:
    """Calls that admitted requests hold or will need, by pool.

    Parameters
    ==========

    clock : IReactorTime
        For the age of sums.
    total : function
        ``total(pool)`` returns calls that a declared pool takes now.
    """

    __slots__ = ('clock', 'kept', 'taken', 'total')

    def __init__(self, clock, total):
        self.clock = clock
        self.total = total
        self.taken = {}
        self.kept = {}

    def limit(self, name, pool):
        """Return calls that a pool takes now."""
        now = self.clock.seconds()
        found = self.kept.get(name)
        if found is None or now - found[0] > _KEPT:
            found = (now, self.total(pool))
            self.kept[name] = found
        return found[1]

    def has_room(self, shares, pools):
        """Return whether every pool of a request takes one more.

        Explanation
        ===========

        A pool that holds nothing takes one request whatever its limit says,
        so that a limit below one call stops nothing for good.
        """
        for name, share in shares.values():
            taken = self.taken.get(name, 0)
            if taken and taken + share > self.limit(name, pools[name]):
                return False
        return True

    def taken_by(self, shares):
        """Return a ticket for a request that starts now."""
        for name, share in shares.values():
            self.taken[name] = self.taken.get(name, 0) + share
        return Ticket(dict(shares))

    def stage_ended(self, ticket, stage):
        """Give the room of one stage back."""
        held = ticket.shares.pop(stage, None)
        if held is None:
            return
        name, share = held
        left = self.taken[name] - share
        self.taken[name] = left if left > _NOTHING else 0

    def give_back(self, ticket):
        """Give all room back that is still held."""
        for stage in list(ticket.shares):
            self.stage_ended(ticket, stage)
