"""Whether and when a request may start."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.limits import events
from pollenstile.limits._cost import silent_count
from pollenstile.limits._backlog import (
    FlowRates,
    StartedWork,
    flow_wait,
    wait_time,
    work_before,
)
from pollenstile.limits._estimates import expected_times, needed_time
from pollenstile.limits._fairqueue import RANKS, FairQueue
from pollenstile.limits._gate import Gate, stage_shares
from pollenstile.ops.logs import silent_log
from pollenstile.outcomes import Refused

_TOO_BUSY = 503
_LEAST_RETRY = 1.0
_MOST_RETRY = 60.0


class _Waiting:
    """A request on its way through admission.

    Parameters
    ==========

    request : Request
        As accepted.
    needed : float
        Seconds that it needs once it has started.
    entered : float
        When it came, on the clock, in seconds.
    cost : float
        What it will cost, in the manifest's unit.
    work : dict
        Slot seconds by pool.
    shares : dict
        What it takes of pools; see :func:`stage_shares`.
    """

    __slots__ = (
        'cost',
        'admit',
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
        self.admit = now
        manifest = request.snapshot.manifest
        stages = request.pipeline.stages
        self.request = request
        self.rank = RANKS[request.pipeline.urgency]
        self.needed = needed
        self.latest = request.deadline - needed
        self.shares = stage_shares(stages, times)
        self.cost = 0.0
        self.work = {}
        for stage, took in zip(stages, times, strict=True):
            self.cost += took * manifest.pools[stage.pool].cost
            self.work[stage.pool] = self.work.get(stage.pool, 0) + took
        self.started = None
        self.timer = None

    @property
    def key(self):
        """The flow that it waits in."""
        return (self.request.team, self.request.name)

    @property
    def weight(self):
        """Its team's weight, 1 for a team that is not declared."""
        team = self.request.snapshot.manifest.teams.get(self.request.team)
        return team.weight if team else 1.0


class Admission:
    """Requests that run or wait at one host, and what bounds them.

    Parameters
    ==========

    clock : IReactorTime
        For what is left of deadlines.
    tracker : Tracker
        Measured times of stages.
    concurrency : Concurrency
        Adaptive limits of upstreams.
    most : int
        Requests that may run side by side.
    queue : FairQueue
        Those that wait.
    log : function
        Writes events.
    count : function
        Takes a metric's name.
    """

    __slots__ = (
        'clock',
        'count',
        'flow_rates',
        'gate',
        'log',
        'most',
        'queue',
        'running',
        'started_work',
        'tickets',
        'tracker',
    )

    def __init__(
        self,
        clock,
        tracker,
        concurrency,
        most=2000,
        *,
        queue=None,
        log=silent_log,
        count=silent_count,
    ):
        self.clock = clock
        self.tracker = tracker
        self.most = most
        self.queue = FairQueue() if queue is None else queue
        self.log = log
        self.count = count
        self.gate = Gate(clock, partial(_pool_total, concurrency, tracker))
        self.started_work = StartedWork(clock)
        self.flow_rates = FlowRates(clock)
        self.running = 0
        self.tickets = {}

    async def admit(self, request):
        """Return None when a request may start, or a refusal.

        Explanation
        ===========

        A request that can't meet its deadline behind the present queue is
        refused at once, before anything of it is sent, so that *not run* is
        true; it is never kept waiting to keep its caller quiet. Whoever gets
        None calls :meth:`request_ended` once.
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
        if not self._make_room(waiting):
            return self._refusal(waiting, wait, 'too many requests wait')
        return await self._queued(waiting)

    def request_ended(self, request):
        """Note that an admitted request has ended."""
        self.running -= 1
        self.gate.give_back(self.tickets.pop(request.ident))
        self._start_waiting()

    def stage_ended(self, request, stage):
        """Note that an admitted request needs a stage's room no more."""
        ticket = self.tickets.get(request.ident)
        if ticket is None:
            return
        self.gate.stage_ended(ticket, stage.name)
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
        if self.running >= self.most:
            return True
        pools = waiting.request.snapshot.manifest.pools
        return not self.gate.has_room(waiting.shares, pools)

    def _start(self, waiting):
        self.running += 1
        ticket = self.gate.taken_by(waiting.shares)
        self.tickets[waiting.request.ident] = ticket
        for pool, seconds in waiting.work.items():
            self.started_work.add(waiting.rank, pool, seconds)

    def _wait(self, waiting):
        """Return the estimated wait behind the present queue, in seconds."""
        longest = self._own_flow_wait(waiting)
        pools = waiting.request.snapshot.manifest.pools
        reserve = self.queue.reserves.get(waiting.rank, 0)
        for pool, own in waiting.work.items():
            limit = self.gate.limit(pool, pools[pool])
            before = work_before(self.queue, waiting, pool)
            if self.gate.taken.get(pool, 0) + 1 > limit:
                # Until the first of the calls that run now has ended.
                before += own
            urgent = self.started_work.rate(pool, waiting.rank)
            longest = max(longest, wait_time(before, limit, urgent, reserve))
        return longest

    def _own_flow_wait(self, waiting):
        flow = self.queue.flows.get(waiting.key)
        if flow is None:
            return 0.0
        return flow_wait(
            len(flow.items),
            self.flow_rates.rate(waiting.key),
            self.clock.seconds() - flow.items[0].admit,
        )

    def _make_room(self, waiting):
        """Return whether the queue takes one more; put one out for it.

        Explanation
        ===========

        One team that floods would fill the queue, and others would find it
        full. So the newest of the longest flow, by weight, goes instead.
        """
        policy = waiting.request.snapshot.manifest.policy
        if self.queue.size < policy.max_queue:
            return True
        longest = max(self.queue.flows.values(), key=_length)
        if longest.team == waiting.request.team:
            return False
        put_out = longest.items[-1]
        self._take_out(put_out)
        refusal = self._refusal(
            put_out,
            self._wait(put_out),
            'too many requests wait',
        )
        put_out.started.callback(refusal)
        return True

    def _queued(self, waiting):
        waiting.started = Deferred(lambda _: self._take_out(waiting))
        self.queue.put(waiting.key, waiting.weight, waiting.rank, waiting)
        waiting.timer = self.clock.callLater(
            max(0, waiting.latest - self.clock.seconds()),
            self._expire,
            waiting,
        )
        return waiting.started

    def _take_out(self, waiting):
        if waiting.timer.active():
            waiting.timer.cancel()
        self.queue.drop(waiting.key, waiting)

    def _expire(self, waiting):
        self.queue.drop(waiting.key, waiting)
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

    def _start_waiting(self):
        while self.queue.size:
            key = self._next_key()
            if key is None:
                return
            waiting = self.queue.pop(key)
            waiting.timer.cancel()
            self.flow_rates.add(key, waiting.admit)
            self._start(waiting)
            waiting.started.callback(None)

    def _refusal(self, waiting, wait, reason):
        retry_after = min(_MOST_RETRY, max(_LEAST_RETRY, wait))
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


def _length(flow):
    return len(flow.items) / flow.weight
