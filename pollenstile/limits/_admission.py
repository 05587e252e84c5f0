"""Admission of requests: start, queue or refuse."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.limits import events
from pollenstile.limits._backlog import (
    FlowRates,
    StartedWork,
    flow_wait,
    wait_time,
    work_before,
)
from pollenstile.limits._cost import silent_count
from pollenstile.limits._estimates import expected_times, needed_time
from pollenstile.limits._fairqueue import RANKS, FairQueue
from pollenstile.limits._reservations import PoolReservations, stage_shares
from pollenstile.ops.logs import silent_log
from pollenstile.ops.timers import cancel_timer
from pollenstile.outcomes import Refused

_TOO_BUSY = 503
# Bounds of the delay after which a refused caller is told to retry.
_MIN_RETRY_SECONDS = 1.0
_MAX_RETRY_SECONDS = 60.0


class _Waiting:
    """A request during its admission.

    Parameters
    ==========

    request : Request
        The accepted request.
    times : list of float
        Expected time of each stage, in seconds.
    needed : float
        Seconds that the request needs after its start.
    now : float
        Clock time of the arrival, in seconds.

    Attributes
    ==========

    latest : float
        Clock time by which the request must start to meet its deadline.
    cost : float
        Expected cost, in the unit of the manifest.
    work : dict
        Expected slot seconds by pool.
    shares : dict
        Capacity to reserve; see :func:`stage_shares`.
    """

    __slots__ = (
        'arrived_at',
        'cost',
        'latest',
        'needed',
        'rank',
        'request',
        'shares',
        'started',
        'timer',
        'work',
    )

    def __init__(self, request, times, needed, now):
        self.arrived_at = now
        manifest = request.snapshot.manifest
        stages = request.pipeline.stages
        self.request = request
        self.rank = RANKS[request.pipeline.urgency]
        self.needed = needed
        self.latest = request.deadline - needed
        self.shares = stage_shares(stages, times)
        self.cost = 0.0
        self.work = {}
        for stage, expected in zip(stages, times, strict=True):
            self.cost += expected * manifest.pools[stage.pool].cost
            self.work[stage.pool] = self.work.get(stage.pool, 0) + expected
        self.started = None
        self.timer = None

    @property
    def key(self):
        """Key of the flow that it waits in."""
        return (self.request.team, self.request.name)

    @property
    def weight(self):
        """Weight of its team; 1 for a team that is not declared."""
        team = self.request.snapshot.manifest.teams.get(self.request.team)
        return team.weight if team else 1.0


class Admission:
    """Admission control of one host.

    Parameters
    ==========

    clock : IReactorTime
        Times waits and deadlines.
    tracker : Tracker
        Measured times of stages.
    concurrency : Concurrency
        Adaptive concurrency limits of upstreams.
    max_running : int
        Maximum number of concurrently running requests.
    queue : FairQueue
        Waiting requests.
    log : function
        Writes events.
    count : function
        Takes a metric's name.
    """

    __slots__ = (
        'clock',
        'count',
        'flow_rates',
        'log',
        'max_running',
        'queue',
        'reservations',
        'reserved',
        'running',
        'started_work',
        'tracker',
    )

    def __init__(
        self,
        clock,
        tracker,
        concurrency,
        max_running=2000,
        *,
        queue=None,
        log=silent_log,
        count=silent_count,
    ):
        self.clock = clock
        self.tracker = tracker
        self.max_running = max_running
        self.queue = FairQueue() if queue is None else queue
        self.log = log
        self.count = count
        self.reservations = PoolReservations(
            clock, partial(_pool_total, concurrency, tracker)
        )
        self.started_work = StartedWork(clock)
        self.flow_rates = FlowRates(clock)
        self.running = 0
        self.reserved = {}

    async def admit(self, request):
        """Return None once a request may start, or a refusal.

        Explanation
        ===========

        A request that can't meet its deadline behind the present queue is
        refused at once, before any call is sent for it, so that the refusal can
        state that the request has not run. A request that can't be in time is
        never queued. When the result is None, :meth:`request_ended` must be
        called exactly once.
        """
        times = expected_times(request, self.tracker)
        needed = needed_time(request, self.tracker, times)
        waiting = _Waiting(request, times, needed, self.clock.seconds())
        if self._can_start(waiting):
            self._start(waiting)
            return None
        wait = self._wait(waiting)
        if self.clock.seconds() + wait > waiting.latest:
            return self._refusal(waiting, wait, 'the deadline can not be met')
        if not self._has_queue_place(waiting):
            return self._refusal(waiting, wait, 'too many requests wait')
        return await self._enqueue(waiting)

    def leave(self, ends_at):
        """Refuse waiting requests that can't be done before a time.

        Explanation
        ===========

        Each is refused when its latest start is past, at once if it is now.

        Parameters
        ==========

        ends_at : float
            Time at which the leaving host ends its requests.
        """
        for flow in list(self.queue.flows.values()):
            for waiting in list(flow.items):
                latest = min(waiting.latest, ends_at - waiting.needed)
                waiting.timer.cancel()
                waiting.timer = self.clock.callLater(
                    max(0, latest - self.clock.seconds()),
                    self._refuse_leaving,
                    waiting,
                )

    def request_ended(self, request):
        """Release the capacity of an admitted request that has ended."""
        self.running -= 1
        self.reservations.release(self.reserved.pop(request.ident))
        self._start_waiting()

    def stage_ended(self, request, stage):
        """Release the capacity of a stage that has ended."""
        reservation = self.reserved.get(request.ident)
        if reservation is None:
            return
        self.reservations.stage_ended(reservation, stage.name)
        self._start_waiting()

    def _can_start(self, waiting):
        if self.clock.seconds() > waiting.latest:
            return False
        if self.queue.size and self._next_key():
            return False
        return not self._is_blocked(waiting)

    def _next_key(self):
        return self.queue.next_key(self._is_blocked)

    def _is_blocked(self, waiting):
        if self.running >= self.max_running:
            return True
        pools = waiting.request.snapshot.manifest.pools
        return not self.reservations.has_capacity(waiting.shares, pools)

    def _start(self, waiting):
        self.running += 1
        reservation = self.reservations.reserve(waiting.shares)
        self.reserved[waiting.request.ident] = reservation
        for pool, seconds in waiting.work.items():
            self.started_work.add(waiting.rank, pool, seconds)

    def _wait(self, waiting):
        """Return the estimated wait behind the present queue, in seconds."""
        longest = self._own_flow_wait(waiting)
        pools = waiting.request.snapshot.manifest.pools
        reserve = self.queue.reserves.get(waiting.rank, 0)
        for pool, own in waiting.work.items():
            limit = self.reservations.limit(pool, pools[pool])
            before = work_before(self.queue, waiting, pool)
            if self.reservations.reserved.get(pool, 0) + 1 > limit:
                # A running call must end first.
                before += own
            urgent_rate = self.started_work.rate(pool, waiting.rank)
            longest = max(
                longest, wait_time(before, limit, urgent_rate, reserve)
            )
        return longest

    def _own_flow_wait(self, waiting):
        flow = self.queue.flows.get(waiting.key)
        if flow is None:
            return 0.0
        return flow_wait(
            len(flow.items),
            self.flow_rates.rate(waiting.key),
            self.clock.seconds() - flow.items[0].arrived_at,
        )

    def _has_queue_place(self, waiting):
        """Return whether the queue has a free place, evicting if needed.

        Explanation
        ===========

        A flooding team could fill the queue, and all others would be refused.
        So when the queue is full, the newest request of the longest flow (in
        relation to its weight) is refused instead, unless that flow is of the
        same team.
        """
        policy = waiting.request.snapshot.manifest.policy
        if self.queue.size < policy.max_queue:
            return True
        longest = max(self.queue.flows.values(), key=_weighted_length)
        if longest.team == waiting.request.team:
            return False
        evicted = longest.items[-1]
        self._remove(evicted)
        refusal = self._refusal(
            evicted,
            self._wait(evicted),
            'too many requests wait',
        )
        evicted.started.callback(refusal)
        return True

    def _enqueue(self, waiting):
        waiting.started = Deferred(lambda _: self._remove(waiting))
        self.queue.put(waiting.key, waiting.weight, waiting.rank, waiting)
        waiting.timer = self.clock.callLater(
            max(0, waiting.latest - self.clock.seconds()),
            self._expire,
            waiting,
        )
        return waiting.started

    def _remove(self, waiting):
        cancel_timer(waiting.timer)
        self.queue.remove(waiting.key, waiting)

    def _expire(self, waiting):
        self.queue.remove(waiting.key, waiting)
        self.log(
            events.EXPIRED,
            request=waiting.request.ident,
            team=waiting.request.team,
            pipeline=waiting.request.name,
        )
        self.count('admission.expired')
        waiting.started.callback(
            self._refusal(waiting, self._wait(waiting), 'waited too long'),
        )

    def _refuse_leaving(self, waiting):
        self.queue.remove(waiting.key, waiting)
        refusal = self._refusal(waiting, 0, 'this host is leaving')
        waiting.started.callback(refusal)

    def _start_waiting(self):
        while self.queue.size:
            key = self._next_key()
            if key is None:
                return
            waiting = self.queue.pop(key)
            waiting.timer.cancel()
            self.flow_rates.add(key, waiting.arrived_at)
            self._start(waiting)
            waiting.started.callback(None)

    def _refusal(self, waiting, wait, reason):
        retry_after = min(_MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, wait))
        self.count('admission.shed')
        self.log(
            events.SHED,
            request=waiting.request.ident,
            team=waiting.request.team,
            pipeline=waiting.request.name,
            reason=reason,
            waiting=self.queue.size,
            wait_ms=int(wait * 1000),
            retry_after=round(retry_after, 1),
        )
        return Refused(_TOO_BUSY, reason, retry_after=retry_after)


def _pool_total(concurrency, tracker, pool):
    return concurrency.total(pool, tracker.state)


def _weighted_length(flow):
    return len(flow.items) / flow.weight
