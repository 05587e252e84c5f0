"""This host's allocations, and its answers to other hosts' requests."""

from pollenstile.ops.logs import silent_log
from pollenstile.ratelimits import events
from pollenstile.ratelimits._allocation import (
    MAX_VALID_SECONDS,
    Allocation,
    valid_seconds,
)
from pollenstile.ratelimits._types import TokenGrant

# Share of the rate that a host allocates for each host ranked before it that it
# can not reach: one such host gives a third, two a ninth. Hosts that can not
# reach each other may all allocate, and their sum stays within one and a half
# times the rate.
_STAND_IN_SHARE = 1 / 3
# Seconds after which a host that stands in allocates the whole rate: machines
# that have been silent for so long have ended, or serve nobody.
_STAND_IN_SECONDS = 60.0
# Seconds after which a host may ask again when it has asked the wrong one.
_ELSEWHERE_SECONDS = 0.3


class Allocators:
    """Allocations of the upstreams for which this host ranks first.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    ranking : AllocatorRanking
        Order of the hosts that may allocate.
    reach : Reachability
        Which of them answer.
    stated : StatedRates
        Rates that upstreams state.
    log : function
        Writes events.

    Attributes
    ==========

    by_name : dict
        :class:`Allocation` by incarnation.
    settled_at : float
        Time since which this host has had the same list of hosts.
    """

    __slots__ = (
        'by_name',
        'clock',
        'log',
        'ranking',
        'reach',
        'settled_at',
        'stated',
    )

    def __init__(self, clock, ranking, reach, stated, log=silent_log):
        self.clock = clock
        self.ranking = ranking
        self.reach = reach
        self.stated = stated
        self.log = log
        self.by_name = {}
        self.settled_at = clock.seconds()

    def note_hosts_changed(self):
        """Record that hosts have joined or left."""
        self.settled_at = self.clock.seconds()

    def answer(self, host, request):
        """Return the :class:`TokenGrant` for a host's request."""
        name = request.name
        self.stated.update(name, request.rate, request.stated_at)
        order = self.ranking.order(name, request.domain)
        first = self.reach.first(order)
        if first != self.ranking.host:
            self.by_name.pop(name, None)
            if first is not None:
                self.reach.probe(first)
            return self._grant(name, 0, _ELSEWHERE_SECONDS, is_allocator=False)
        rate = self.stated.rate(name)
        if not rate:
            self.by_name.pop(name, None)
            return self._grant(name, 0, 0.0)
        before = order[: order.index(first)]
        allocation = self._allocation(name, is_standing_in=bool(before))
        if self.clock.seconds() < allocation.opens_at + _STAND_IN_SECONDS:
            rate *= _STAND_IN_SHARE ** len(self.reach.silent(before))
        count = allocation.allocate(
            host, rate, request.wanted, request.unused, self.clock.seconds()
        )
        wait = allocation.wait_seconds(rate, is_short=count < request.wanted)
        return self._grant(name, count, wait, allocation.spacing_seconds(rate))

    def forget_over(self):
        """Drop the allocations of upstreams that are not limited any more."""
        for name in list(self.by_name):
            if not self.stated.rate(name):
                self.by_name.pop(name)

    def _allocation(self, name, *, is_standing_in):
        allocation = self.by_name.get(name)
        if allocation is not None:
            return allocation
        now = self.clock.seconds()
        # Tokens that another host gave until now may be used as long as this.
        opens_at = self.settled_at + MAX_VALID_SECONDS
        if is_standing_in:
            opens_at = now + MAX_VALID_SECONDS
        allocation = Allocation(max(now, opens_at))
        self.by_name[name] = allocation
        self.log(
            events.RATE_ALLOCATED,
            peer=name,
            rate=self.stated.rate(name),
            standing_in=is_standing_in,
            opens_ms=int((allocation.opens_at - now) * 1000),
        )
        return allocation

    def _grant(self, name, count, wait, spacing=0.0, *, is_allocator=True):
        stated = self.stated.by_name.get(name)
        return TokenGrant(
            name,
            stated.rate if stated else 0.0,
            stated.stated_at if stated else self.clock.seconds(),
            count,
            wait,
            valid_seconds(wait),
            spacing,
            is_allocator,
        )
