"""Simulate stage services and model engines in virtual time.

Explanation
===========

The production queues and chains run over simulated upstreams. An upstream runs
one call at a time, takes a fixed time for each call and each piece, has limited
result memory, and reads the inputs of a call when the call begins.
"""

from random import Random

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from pollenstile.routes import Kind, Route, StageLimits, StageStep
from pollenstile.stagework import (
    CallLost,
    Chain,
    ChainFailed,
    Owner,
    Result,
    Worker,
    build_plan,
    crowded_seconds,
    long_wait,
    usual_seconds,
)

# One-way latency between a host and an upstream, in seconds.
_ONE_WAY_SECONDS = 0.0015
_DOMAINS = ('a', 'b', 'c', 'd')
# Seconds by which the virtual clock advances in each step.
_STEP = 0.002


class StageUpstream:
    """One simulated upstream of a stage service.

    Attributes
    ==========

    results : dict
        Size in bytes of each stored result, by handle.
    ready_at : float
        Time on the clock at which the last accepted call ends.
    worked : float
        Total seconds of all calls.
    spent : dict
        Seconds of calls by request, divided equally among a call's pieces.
    """

    __slots__ = (
        'clock',
        'ident',
        'limits',
        'ready_at',
        'results',
        'spent',
        'worked',
    )

    def __init__(self, clock, ident, limits):
        self.clock = clock
        self.ident = ident
        self.limits = limits
        self.results = {}
        self.ready_at = 0.0
        self.worked = 0.0
        self.spent = {}

    def call(self, pieces, exists):
        """Run a call after all earlier calls; return a Deferred of results.

        Parameters
        ==========

        exists : function
            Takes a handle and returns whether its result is still stored.
        """
        done = Deferred()
        start = max(self.clock.seconds() + _ONE_WAY_SECONDS, self.ready_at)
        work = self.limits.call_seconds
        work += self.limits.piece_seconds * len(pieces)
        self.ready_at = start + work
        self.worked += work
        for piece in pieces:
            request = piece.group.request
            seconds = self.spent.get(request, 0) + work / len(pieces)
            self.spent[request] = seconds
        made = []
        now = self.clock.seconds()
        self.clock.callLater(start - now, self._begin, pieces, exists, made)
        end = self.ready_at + _ONE_WAY_SECONDS - now
        self.clock.callLater(end, _fire, done, made)
        return done

    def free_memory(self):
        """Return the free result memory in bytes."""
        return self.limits.room_bytes - sum(self.results.values())

    def _begin(self, pieces, exists, made):
        for piece in pieces:
            group = piece.group
            if not all(exists(needed) for needed in group.inputs):
                made.append(Result(reason='gone'))
                continue
            if group.result_bytes > self.free_memory():
                made.append(Result(reason='room'))
                continue
            handle = f'{self.ident}/{group.request}.{group.step}.{piece.number}'
            self.results[handle] = group.result_bytes
            self.clock.callLater(
                self.ready_at - self.clock.seconds() + self.limits.hold_seconds,
                self.results.pop,
                handle,
                None,
            )
            made.append(Result(handle))


class StageFleet:
    """Upstreams of several services, and the queues that call them.

    Parameters
    ==========

    services : dict
        :class:`StageLimits` by service name.
    count : int
        The number of upstreams of each service.
    owners : int
        The number of queues of each service: 1 for a queue that the whole
        fleet shares, or the number of hosts where each host batches alone.
    graded : bool
        Whether the queues admit by shares.
    promises : bool
        Whether the queues promise return times to refused callers.
    """

    __slots__ = (
        'budget',
        'clock',
        'graded',
        'promises',
        'queues',
        'services',
        'upstreams',
    )

    def __init__(
        self, services, count=4, owners=1, *, graded=False, promises=False
    ):
        self.clock = Clock()
        self.graded = graded
        self.promises = promises
        self.services = services
        self.budget = 0
        self.upstreams = {}
        self.queues = {}
        for name, limits in services.items():
            members = stage_workers(name, count)
            for member in members:
                self.upstreams[member.address] = StageUpstream(
                    self.clock,
                    member.address,
                    limits,
                )
            self.queues[name] = [
                self._queue(name, limits, members) for _ in range(owners)
            ]

    def end_upstream(self, address):
        """End the process of an upstream, which loses its results."""
        self.upstreams.pop(address)

    def client(self, number=0):
        """Return the stage client that chains use at one host."""
        return _Client(self, number)

    def advance(self, seconds):
        """Advance the virtual clock."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)

    def _queue(self, name, limits, members):
        owner = Owner(self.clock, name, self._call, self._free, self._spend)
        owner.configure(
            limits, members, graded=self.graded, promises=self.promises
        )
        return owner

    def _call(self, worker, pieces, seconds):
        upstream = self.upstreams.get(worker.address)
        if upstream is None:
            return succeed(CallLost('refused', worker.ident, arrived=False))
        return upstream.call(pieces, self._exists)

    def _free(self, address, handles):
        done = Deferred()
        self.clock.callLater(
            2 * _ONE_WAY_SECONDS, self._freed, address, handles, done
        )
        return done

    def _freed(self, address, handles, done):
        upstream = self.upstreams.get(address)
        for handle in handles:
            if upstream is not None:
                upstream.results.pop(handle, None)
        done.callback(upstream is not None)

    def _spend(self, service, number):
        self.budget += number
        return True

    def _exists(self, handle):
        upstream = self.upstreams.get(handle.partition('/')[0])
        return upstream is not None and handle in upstream.results


class _Client:
    """A stage client as chains use it, without connections to peers."""

    __slots__ = ('fleet', 'number')

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number

    def submit(self, group, on_read):
        """Submit a group to the queue of its service."""
        owner = self._owner(group.service)
        return owner.submit(group, on_read).addCallback(self._with_owner)

    def cancel(self, service, plan):
        """Cancel the groups of a request."""
        self._owner(service).cancel(plan.request)

    def release(self, host, service, handles):
        """Release stored results."""
        self._owner(service).release(handles)

    def seconds(self, service, count):
        """Return the expected seconds of pieces at the current backlog."""
        usual = usual_seconds(self.fleet.services[service], count)
        return max(usual, self._owner(service).wait(count))

    def is_crowded(self, service):
        """Return whether result memory is scarce or the queue is long."""
        limits = self.fleet.services[service]
        owner = self._owner(service)
        is_tight = owner.admission.is_tight()
        return is_tight or owner.wait() > crowded_seconds(limits)

    def is_queue_long(self, service):
        """Return whether the queue is too long to accept late requests."""
        limits = self.fleet.services[service]
        return self._owner(service).wait() > long_wait(limits)

    def refresh_backlogs(self, services):
        """Return at once, as backlogs are read from the queues directly."""
        return succeed(None)

    def limits_of(self, service):
        """Return the limits of a service."""
        return self.fleet.services[service]

    def domains_with(self, service):
        """Return the domains that have upstreams of a service."""
        workers = self._owner(service).workers.values()
        return tuple(sorted({worker.domain for worker in workers}))

    def domain_of(self, handles):
        """Return the domain of the first result."""
        return handles[0].split('.')[1].partition(':')[0]

    def _owner(self, service):
        queues = self.fleet.queues[service]
        return queues[self.number % len(queues)]

    def _with_owner(self, outcome):
        return '', outcome


class SimulatedRequest:
    """One request of a simulated load: its arrival and its outcome.

    Parameters
    ==========

    arrival : Arrival
        The request.
    arrived_at : float
        Time on the clock at which the request arrived.
    read : float
        Seconds until the model engine has read the results.

    Attributes
    ==========

    kind : str
        The name of the route.
    aim : float
        Target latency in seconds.
    stage_seconds : float or None
        Seconds from the arrival to the last stage result; None if the stages
        have not completed.
    refused : str
        Reason of the refusal; empty if the request was not refused.
    refused_after : float
        Seconds from the arrival to the refusal.
    retry_after : float
        Seconds until a retry is useful, by the refusal.
    promised : bool
        Whether ``retry_after`` is a promised return time.
    ident, team : str
        Identifier of the request, and the team that sent it.
    pieces : int
        Pieces of its first step.
    """

    __slots__ = (
        'aim',
        'arrived_at',
        'ident',
        'kind',
        'pieces',
        'promised',
        'read',
        'refused',
        'refused_after',
        'retry_after',
        'stage_seconds',
        'team',
    )

    def __init__(self, arrival, arrived_at, read):
        self.kind = arrival.route.name
        self.arrived_at = arrived_at
        self.aim = arrival.route.aim
        self.read = read
        self.ident = arrival.ident
        self.team = arrival.team
        self.pieces = arrival.counts[0]
        self.stage_seconds = None
        self.refused = ''
        self.refused_after = 0.0
        self.retry_after = 0.0
        self.promised = False


class Arrival:
    """The fields of a request that :func:`build_plan` reads."""

    __slots__ = (
        'counts',
        'ends',
        'fingerprint',
        'ident',
        'route',
        'stage_key',
        'team',
        'urgency',
    )

    def __init__(self, ident, route, counts, ends, team=''):
        self.ident = ident
        self.route = route
        self.counts = counts
        self.ends = ends
        self.fingerprint = ''
        self.team = team
        self.stage_key = ident
        self.urgency = route.urgency


def start_request(fleet, client, arrival, read_after):
    """Start the stage work of a request; return a :class:`SimulatedRequest`.

    Parameters
    ==========

    arrival : Arrival
        The request, which arrives now.
    read_after : float
        Seconds after which the model engine has read the results.
    """
    now = fleet.clock.seconds()
    deadline = arrival.ends - now
    served = SimulatedRequest(arrival, now, read_after)
    work = Deferred.fromCoroutine(_run_stages(client, arrival, served))
    work.addTimeout(deadline, fleet.clock)
    work.addCallback(_record_outcome, served, fleet.clock, read_after)
    work.addErrback(_record_timeout, served)
    return served


async def _run_stages(client, arrival, served):
    """Run the stages of a request; return its chain and the outcome."""
    await client.refresh_backlogs(
        [step.service for step in arrival.route.steps]
    )
    ready_by = served.arrived_at + served.aim - served.read
    chain = Chain(client, build_plan(arrival, ready_by, client.seconds))
    return chain, await chain.handles()


def stage_route(name, aim, urgency, steps):
    """Return a route whose steps are (service, ``after``, result bytes)."""
    return Route(
        name,
        'bench',
        f'/{name}/',
        Kind.STREAM,
        15.0,
        aim,
        urgency,
        steps=tuple(StageStep(*step) for step in steps),
    )


def stage_limits(batch, call_ms, piece_ms, room_mb):
    """Return limits from milliseconds and megabytes, as in settings."""
    return StageLimits(
        batch=batch,
        call_seconds=call_ms / 1000,
        piece_seconds=piece_ms / 1000,
        room_bytes=int(room_mb * 1_000_000),
    )


def make_random(seed):
    """Return a random generator with a seed."""
    return Random(seed)


def stage_workers(name, count):
    """Return the workers of a service, spread over the failure domains."""
    return [
        Worker(
            f'{name}-{number}',
            f'{name}.{_DOMAINS[number % len(_DOMAINS)]}:{number}',
            _DOMAINS[number % len(_DOMAINS)],
        )
        for number in range(count)
    ]


def _record_outcome(completed, served, clock, read_after):
    chain, outcome = completed
    took = clock.seconds() - served.arrived_at
    if isinstance(outcome, ChainFailed):
        served.refused = outcome.reason
        served.refused_after = took
        served.retry_after = outcome.retry_after
        served.promised = outcome.promised
        return
    served.stage_seconds = took
    clock.callLater(read_after, chain.release)


def _record_timeout(failure, served):
    served.refused = 'timeout'


def _fire(done, made):
    done.callback(list(made))
