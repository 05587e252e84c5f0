"""Requests of this host for tokens of limited upstreams."""

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from pollenstile.ops.logs import silent_log
from pollenstile.peer import Unanswered
from pollenstile.ratelimits import events
from pollenstile.ratelimits._codec import decode_grants, encode_requests
from pollenstile.ratelimits._types import TokenRequest

# Seconds until the next host is asked when one did not answer.
_NEXT_HOST_SECONDS = 0.1
# Seconds until a host asks again that knows no other host yet.
_UNKNOWN_HOSTS_SECONDS = 0.5
# Spread of the times at which hosts ask, as a share of the wait.
_JITTER_SHARE = 0.1


class TokenClient:
    """Asks the allocators of upstreams for tokens, one request at a time.

    Parameters
    ==========

    clock : IReactorTime
        Seconds and timers.
    rng : random.Random
        Spreads the requests; seeded in tests.
    allocators : Allocators
        Allocations of this host, with the ranking of all hosts.
    notify : function
        Called with a service when a request for its upstreams has ended.
    log : function
        Writes events.

    Attributes
    ==========

    by_name : dict
        :class:`Allotment` by incarnation.
    """

    __slots__ = ('allocators', 'by_name', 'clock', 'log', 'notify', 'rng')

    def __init__(self, clock, rng, allocators, notify, log=silent_log):
        self.clock = clock
        self.rng = rng
        self.allocators = allocators
        self.notify = notify
        self.log = log
        self.by_name = {}

    def schedule(self, allotment):
        """Ask for tokens, or return some, once this host may."""
        is_asking = allotment.waiters is not None
        if allotment.has_use() and not is_asking and allotment.timer is None:
            delay = max(0.0, allotment.asks_at - self.clock.seconds())
            allotment.timer = self.clock.callLater(
                delay, self._timer_fired, allotment
            )

    def ask(self, allotment):
        """Ask an upstream's allocator, also for its other upstreams."""
        allocator = self._allocator(allotment)
        if allocator is None:
            allotment.wanting.clear()
            allotment.asks_at = self.clock.seconds() + _UNKNOWN_HOSTS_SECONDS
            return
        asked = [
            other
            for other in self.by_name.values()
            if other is allotment
            or (self._is_due(other) and self._allocator(other) == allocator)
        ]
        requests = [self._request(one) for one in asked]
        if allocator == self.allocators.ranking.host:
            try:
                self._grant_own(allocator, asked, requests)
            except Exception:
                # Who waits for tokens would not ask again.
                self._answer_failed(Failure(), allocator, asked)
            return
        asking = Deferred.fromCoroutine(
            self._ask_peer(allocator, asked, requests)
        )
        asking.addErrback(self._answer_failed, allocator, asked)

    def _grant_own(self, allocator, asked, requests):
        for one, request in zip(asked, requests, strict=True):
            grant = self.allocators.answer(allocator, request)
            self._apply(one, grant, self.clock.seconds())

    def sent(self):
        """Return the requests sent to limited upstreams, by incarnation."""
        return {name: one.sent for name, one in self.by_name.items()}

    def held_back(self):
        """Return the requests that had no token, by incarnation."""
        return {name: one.held_back for name, one in self.by_name.items()}

    def _timer_fired(self, allotment):
        allotment.timer = None
        if allotment.has_use() and allotment.waiters is None:
            self.ask(allotment)

    def _allocator(self, allotment):
        upstream = allotment.upstream
        ranking = self.allocators.ranking
        order = ranking.order(upstream.name, upstream.domain)
        return self.allocators.reach.first(order)

    def _is_due(self, allotment):
        if allotment.waiters is not None or not allotment.wanted():
            return False
        return self.clock.seconds() >= allotment.asks_at

    def _request(self, allotment):
        """Return the request for tokens; the host's own ones are returned."""
        name = allotment.upstream.name
        stated = self.allocators.stated.by_name.get(name)
        request = TokenRequest(
            name,
            allotment.upstream.domain,
            stated.rate if stated else 0.0,
            stated.stated_at if stated else 0.0,
            allotment.wanted(),
            allotment.tokens,
        )
        allotment.start_asking()
        return request

    async def _ask_peer(self, allocator, asked, requests):
        asked_at = self.clock.seconds()
        reach = self.allocators.reach
        body = encode_requests(requests, asked_at)
        answer = await reach.ask(allocator, body)
        reach.note(allocator, answer)
        if isinstance(answer, Unanswered):
            self.log(
                events.TOKENS_UNANSWERED, peer=allocator, reason=answer.reason
            )
            self._retry(asked)
            return
        decoded = decode_grants(answer, self.clock.seconds())
        grants = {grant.name: grant for grant in decoded}
        for allotment in asked:
            self._apply(allotment, grants[allotment.upstream.name], asked_at)

    def _answer_failed(self, failure, allocator, asked):
        """Treat an answer that can not be read as none."""
        self.log(
            events.TOKENS_UNANSWERED,
            level='warning',
            peer=allocator,
            reason=repr(failure.value),
        )
        self._retry(asked)

    def _retry(self, asked):
        for allotment in asked:
            if allotment.waiters is not None:
                allotment.wanting |= allotment.asked_for
                self._finish(allotment, _NEXT_HOST_SECONDS)

    def _apply(self, allotment, grant, asked_at):
        """Apply the answer to a request that was sent at a time."""
        self.allocators.stated.update(grant.name, grant.rate, grant.stated_at)
        if self.by_name.get(grant.name) is not allotment:
            # The limit is over.
            return
        if grant.is_allocator:
            allotment.tokens = grant.count
            # Counted from the request, as the allocator counts from later on.
            allotment.expires_at = asked_at + grant.valid_seconds
            allotment.spacing = grant.spacing_seconds
        self._finish(allotment, grant.wait_seconds)

    def _finish(self, allotment, wait):
        jitter = 1 + self.rng.uniform(0, _JITTER_SHARE)
        allotment.asks_at = self.clock.seconds() + wait * jitter
        allotment.wake_waiters()
        self.notify(allotment.upstream.service)
        self.schedule(allotment)
