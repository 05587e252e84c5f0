"""Capacity of pools that admitted requests reserve."""

# Seconds for which the limit of a pool is cached.
_CACHE_SECONDS = 0.05
# Sums of fractions accumulate rounding errors; a remainder below this number of
# calls counts as zero.
_ROUNDING_ERROR = 1e-6


class Reservation:
    """Capacity that an admitted request still reserves, by stage.

    Parameters
    ==========

    shares : dict
        Pool and number of calls that are reserved there, by stage.
    """

    __slots__ = ('shares',)

    def __init__(self, shares):
        self.shares = shares


def stage_shares(stages, times):
    """Return the number of calls to reserve for each stage of a request.

    Explanation
    ===========

    A reservation at a pool lasts from the admission of a request to the end of
    its stage there, but the request uses the pool only during the stage itself.
    Each reservation is weighted with the stage's share of that time, so that
    their sum is the mean number of calls at the pool (Little's law).

    Parameters
    ==========

    stages : list of Stage
        In order.
    times : list of float
        Their expected times, in seconds.

    Examples
    ========

    >>> from pollenstile.manifest import Stage
    >>> from pollenstile.limits._reservations import stage_shares
    >>> stage_shares([Stage('a', 'x'), Stage('b', 'y')], [1.0, 3.0])
    {'a': ('x', 1.0), 'b': ('y', 0.75)}
    """
    shares = {}
    before = 0.0
    for stage, expected in zip(stages, times, strict=True):
        before += expected
        shares[stage.name] = (stage.pool, expected / before if before else 1.0)
    return shares


class PoolReservations:
    """Reserved calls of admitted requests, by pool.

    Parameters
    ==========

    clock : IReactorTime
        Measures the age of cached limits.
    total : function
        ``total(pool)`` returns the current concurrency limit of a pool.
    """

    __slots__ = ('cached_limits', 'clock', 'reserved', 'total')

    def __init__(self, clock, total):
        self.clock = clock
        self.total = total
        self.reserved = {}
        self.cached_limits = {}

    def limit(self, name, pool):
        """Return the current concurrency limit of a pool."""
        now = self.clock.seconds()
        cached = self.cached_limits.get(name)
        if cached is None or now - cached[0] > _CACHE_SECONDS:
            cached = (now, self.total(pool))
            self.cached_limits[name] = cached
        return cached[1]

    def has_capacity(self, shares, pools):
        """Return whether every pool of a request has capacity for it.

        Explanation
        ===========

        A pool without reservations accepts one request whatever its limit, so
        that a limit below one call can't block requests forever.
        """
        for name, share in shares.values():
            reserved = self.reserved.get(name, 0)
            if reserved and reserved + share > self.limit(name, pools[name]):
                return False
        return True

    def reserve(self, shares):
        """Reserve capacity for a request; return the reservation."""
        for name, share in shares.values():
            self.reserved[name] = self.reserved.get(name, 0) + share
        return Reservation(dict(shares))

    def stage_ended(self, reservation, stage):
        """Release the reservation of one stage."""
        held = reservation.shares.pop(stage, None)
        if held is None:
            return
        name, share = held
        remaining = self.reserved[name] - share
        self.reserved[name] = remaining if remaining > _ROUNDING_ERROR else 0

    def release(self, reservation):
        """Release what is still reserved."""
        for stage in list(reservation.shares):
            self.stage_ended(reservation, stage)
