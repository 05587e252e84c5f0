"""Demand by model: counted on each entry host, summed up by the placer."""

from pollenstile.platform import Unavailable, list_all

DEMAND = 'demand'
_DECAY_SECONDS = 30.0
_CHANGE_RATIO = 0.1
_REPEAT_SECONDS = 60.0
_STALE_SECONDS = 180.0


class DemandCounter:
    """Counter of calls per second by model, smoothed.

    Explanation
    ===========

    Requests are counted when they are admitted, so demand is also measured
    for a model that no engine serves.

    Examples
    ========

    >>> demand = DemandCounter()
    >>> for _ in range(30):
    ...     demand.count('draft')
    >>> demand.end_interval(30.0)
    {'draft': 0.5}
    """

    __slots__ = ('counts', 'rates')

    def __init__(self):
        self.counts = {}
        self.rates = {}

    def count(self, model):
        """Count one call that a request is going to make."""
        self.counts[model] = self.counts.get(model, 0) + 1

    def count_request(self, request):
        """Count the calls to engines that a request is going to make."""
        for stage in request.pipeline.stages:
            if stage.model:
                self.count(stage.model)

    def end_interval(self, seconds):
        """Return the smoothed rates after an interval and start a new one."""
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
    """Exchange of demand records between the hosts of a failure domain.

    Parameters
    ==========

    domain, host : str
        Failure domain and host whose demand is published.
    store : Store
        Client of the object API.
    clock : IReactorTime
        Measures the age of records.
    """

    __slots__ = (
        'clock',
        'domain',
        'host',
        'published',
        'published_at',
        'seen',
        'store',
    )

    def __init__(self, domain, host, store, clock):
        self.domain = domain
        self.host = host
        self.store = store
        self.clock = clock
        self.published = None
        self.published_at = 0.0
        self.seen = {}

    async def publish(self, rates):
        """Write the rates if they changed by more than 10 % or are due."""
        now = self.clock.seconds()
        repeat = now - self.published_at >= _REPEAT_SECONDS
        if self.published is not None and not repeat:
            if not _has_changed(self.published, rates):
                return
        self.published = dict(rates)
        self.published_at = now
        name = f'{self.domain}/{self.host}'
        await self.store.put(DEMAND, name, {'rates': self.published})

    async def read(self):
        """Return the demand of the domain, or None if it can't be read."""
        prefix = f'{self.domain}/'
        listing = await list_all(self.store, DEMAND, prefix)
        if isinstance(listing, Unavailable):
            return None
        now = self.clock.seconds()
        seen = {}
        for found in listing.objects:
            seen[found.name] = _first_seen(
                self.seen.get(found.name), found, now
            )
        self.seen = seen
        return sum_demand(seen, now)


def sum_demand(seen, now):
    """Return the sum of the demand records of all hosts, by model.

    Parameters
    ==========

    seen : dict
        Host to its record and the time at which that was first seen.
    now : float
        Current time. A record that was first seen more than 180 s ago belongs
        to a host that is gone, and is ignored.

    Examples
    ========

    >>> from pollenstile.platform import Found
    >>> old = Found('demand', 'erie/1', 3, {'rates': {'draft': 2.0}})
    >>> new = Found('demand', 'erie/2', 9, {'rates': {'draft': 1.0}})
    >>> sum_demand({'erie/1': (old, 0.0), 'erie/2': (new, 170.0)}, 200.0)
    {'draft': 1.0}
    """
    total = {}
    for found, seen_at in seen.values():
        if now - seen_at > _STALE_SECONDS:
            continue
        for model, rate in found.value['rates'].items():
            total[model] = total.get(model, 0.0) + rate
    return total


def _first_seen(before, found, now):
    if before is not None and before[0].version == found.version:
        return before
    return found, now


def _has_changed(before, after):
    models = {*before, *after}
    for model in models:
        old = before.get(model, 0.0)
        new = after.get(model, 0.0)
        if abs(new - old) > _CHANGE_RATIO * max(old, new):
            return True
    return False
