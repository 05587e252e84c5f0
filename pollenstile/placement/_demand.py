"""Demand by model: counted at each entry host, added up by the placer."""

from pollenstile.platform import Unavailable, list_all

DEMAND = 'demand'
_DECAY_SECONDS = 30.0
_CHANGE = 0.1
_REPEAT_SECONDS = 60.0
_STALE_SECONDS = 180.0


class DemandCounter:
    """Calls a second by model, smoothed.

    Explanation
    ===========

    Requests are counted when they are admitted, so that a model without any
    engine shows its demand too.

    Examples
    ========

    >>> demand = Demand()
    >>> for _ in range(30):
    ...     demand.count('draft')
    >>> demand.turn(30.0)
    {'draft': 0.5}
    """

    __slots__ = ('counts', 'rates')

    def __init__(self):
        self.counts = {}
        self.rates = {}

    def count(self, model):
        """Count one call that a request will make."""
        self.counts[model] = self.counts.get(model, 0) + 1

    def count_request(self, request):
        """Count the calls that a request will make of engines."""
        for stage in request.pipeline.stages:
            if stage.model:
                self.count(stage.model)

    def turn(self, seconds):
        """Return the smoothed rates after an interval, and begin the next."""
        weight = seconds / (seconds + _DECAY_SECONDS)
        rates = {}
        for model in sorted({*self.rates, *self.counts}):
            latest = self.counts.get(model, 0) / seconds
            before = self.rates.get(model, 0.0)
            rates[model] = round(before + (latest - before) * weight, 3)
        self.rates = rates
        self.counts = {}
        return rates


class DemandExchange:
    """What a host has told the others of its demand, and seen of theirs.

    Parameters
    ==========

    domain, host : str
        Whose demand it is.
    store : Store
        The object API.
    clock : IReactorTime
        For ages.
    """

    __slots__ = (
        'clock',
        'domain',
        'host',
        'others',
        'store',
        'told',
        'told_at',
    )

    def __init__(self, domain, host, store, clock):
        self.domain = domain
        self.host = host
        self.store = store
        self.clock = clock
        self.told = None
        self.told_at = 0.0
        self.others = {}

    async def tell(self, rates):
        """Write the rates if they have changed enough to matter."""
        now = self.clock.seconds()
        repeat = now - self.told_at >= _REPEAT_SECONDS
        if self.told is not None and not repeat:
            if not _changed(self.told, rates):
                return
        self.told = dict(rates)
        self.told_at = now
        name = f'{self.domain}/{self.host}'
        await self.store.put(DEMAND, name, {'rates': self.told})

    async def read(self):
        """Return the demand of the domain, or None when it can't be read."""
        prefix = f'{self.domain}/'
        listing = await list_all(self.store, DEMAND, prefix)
        if isinstance(listing, Unavailable):
            return None
        now = self.clock.seconds()
        fresh = {}
        for found in listing.objects:
            fresh[found.name] = _aged(self.others.get(found.name), found, now)
        self.others = fresh
        return demand_total(fresh, now)


def demand_total(seen, now):
    """Add up what hosts have told.

    Parameters
    ==========

    seen : dict
        Host to its record and when that was first seen.
    now : float
        Records seen first longer ago than 180 s are of hosts that are gone.

    Examples
    ========

    >>> from pollenstile.platform import Found
    >>> old = Found('demand', 'erie/1', 3, {'rates': {'draft': 2.0}})
    >>> new = Found('demand', 'erie/2', 9, {'rates': {'draft': 1.0}})
    >>> demand_total({'erie/1': (old, 0.0), 'erie/2': (new, 170.0)}, 200.0)
    {'draft': 1.0}
    """
    total = {}
    for found, seen_at in seen.values():
        if now - seen_at > _STALE_SECONDS:
            continue
        for model, rate in found.value['rates'].items():
            total[model] = total.get(model, 0.0) + rate
    return total


def _aged(before, found, now):
    if before is not None and before[0].version == found.version:
        return before
    return found, now


def _changed(before, after):
    models = {*before, *after}
    for model in models:
        old = before.get(model, 0.0)
        new = after.get(model, 0.0)
        if abs(new - old) > _CHANGE * max(old, new):
            return True
    return False
