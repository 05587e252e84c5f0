"""Stage services and model engines in virtual time.

Explanation
===========

The product's own queues and chains run over these fakes: upstreams with one
call at a time, a time for each call and piece, room for results, and inputs
that are read when a call begins.
"""

from random import Random

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from pollenstile.routes import Kind, Route, StageLimits, StageStep
from pollenstile.stagework import (
    CallLost,
    Chain,
    ChainFailed,
    Result,
    Owner,
    Worker,
    crowded_seconds,
    long_wait,
    build_plan,
    usual_seconds,
)

# Seconds between a host and an upstream, one way.
_WAY = 0.0015
_DOMAINS = ('a', 'b', 'c', 'd')
# Seconds that the virtual clock moves at a time.
_STEP = 0.002


class StageUpstream:
    """One upstream of a stage service.

    Attributes
    ==========

    results : dict
        Bytes by handle.
    ready_at : float
        When its call under way ends.
    worked : float
        Seconds that its calls took in all.
    """

    __slots__ = ('clock', 'ident', 'limits', 'ready_at', 'results', 'worked')

    def __init__(self, clock, ident, limits):
        self.clock = clock
        self.ident = ident
        self.limits = limits
        self.results = {}
        self.ready_at = 0.0
        self.worked = 0.0

    def call(self, pieces, exists):
        """Return a Deferred of results; calls wait for one another.

        Parameters
        ==========

        exists : function
            Takes a handle, returns whether its result is there.
        """
        done = Deferred()
        start = max(self.clock.seconds() + _WAY, self.ready_at)
        work = self.limits.call_seconds
        work += self.limits.piece_seconds * len(pieces)
        self.ready_at = start + work
        self.worked += work
        made = []
        now = self.clock.seconds()
        self.clock.callLater(start - now, self._begin, pieces, exists, made)
        end = self.ready_at + _WAY - now
        self.clock.callLater(end, _fire, done, made)
        return done

    def room(self):
        """Return bytes that are free."""
        return self.limits.room_bytes - sum(self.results.values())

    def _begin(self, pieces, exists, made):
        for piece in pieces:
            group = piece.group
            if not all(exists(one) for one in group.inputs):
                made.append(Result(reason='gone'))
                continue
            if group.result_bytes > self.room():
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
        :class:`StageLimits` by name.
    count : int
        Upstreams of each.
    owners : int
        Queues of each service: one for the whole fleet, or one a host for
        hosts that batch alone.
    """

    __slots__ = ('budget', 'clock', 'queues', 'services', 'upstreams')

    def __init__(self, services, count=4, owners=1):
        self.clock = Clock()
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

    def lost(self, address):
        """Let an upstream's process end, and its results with it."""
        self.upstreams.pop(address)

    def client(self, number=0):
        """Return what a chain asks at one host."""
        return _Client(self, number)

    def advance(self, seconds):
        """Let virtual time pass."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)

    def _queue(self, name, limits, members):
        owner = Owner(self.clock, name, self._call, self._free, self._spend)
        owner.configure(limits, members)
        return owner

    def _call(self, worker, pieces, seconds):
        upstream = self.upstreams.get(worker.address)
        if upstream is None:
            return succeed(CallLost('refused', worker.ident, arrived=False))
        return upstream.call(pieces, self._exists)

    def _free(self, address, handles):
        done = Deferred()
        self.clock.callLater(2 * _WAY, self._freed, address, handles, done)
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
    """The side of a stage client that a chain uses, without peers."""

    __slots__ = ('fleet', 'number')

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number

    def submit(self, group, on_read):
        """Hand a group to its queue."""
        owner = self._owner(group.service)
        return owner.submit(group, on_read).addCallback(self._told)

    def cancel(self, service, plan):
        """Forget a request's groups."""
        self._owner(service).cancel(plan.request)

    def release(self, host, service, handles):
        """Release results."""
        self._owner(service).release(handles)

    def seconds(self, service, count):
        """Return what pieces take at the backlog of now."""
        usual = usual_seconds(self.fleet.services[service], count)
        return max(usual, self._owner(service).wait(count))

    def is_crowded(self, service):
        """Return whether room is worth saving."""
        limits = self.fleet.services[service]
        owner = self._owner(service)
        is_tight = owner.admission.is_tight()
        return is_tight or owner.wait() > crowded_seconds(limits)

    def is_queue_long(self, service):
        """Return whether a queue has no place for what is late."""
        limits = self.fleet.services[service]
        return self._owner(service).wait() > long_wait(limits)

    def refresh_backlogs(self, services):
        """Ask nobody: backlogs are those of now."""
        return succeed(None)

    def limits_of(self, service):
        """Return a service's limits."""
        return self.fleet.services[service]

    def domains_with(self, service):
        """Return the domains that have upstreams of a service."""
        workers = self._owner(service).workers.values()
        return tuple(sorted({one.domain for one in workers}))

    def domain_of(self, handles):
        """Return the domain of the first result."""
        return handles[0].split('.')[1].partition(':')[0]

    def _owner(self, service):
        queues = self.fleet.queues[service]
        return queues[self.number % len(queues)]

    def _told(self, outcome):
        return '', outcome


class SimulatedRequest:
    """One request of a played load: when it came, and how it ended.

    Parameters
    ==========

    kind : str
        Name of its route.
    came, aim : float
        On the clock, and seconds.
    read : float
        Seconds until the model engine has read the results.

    Attributes
    ==========

    staged : float or None
        Seconds until its last stage result; None without.
    refused : str
        Reason; empty when it was not refused.
    """

    __slots__ = (
        'aim',
        'arrived_at',
        'kind',
        'read',
        'refused',
        'refused_after',
        'stage_seconds',
    )

    def __init__(self, kind, arrived_at, aim, read):
        self.kind = kind
        self.arrived_at = arrived_at
        self.aim = aim
        self.read = read
        self.stage_seconds = None
        self.refused = ''
        self.refused_after = 0.0


class Arrival:
    """The stage work of one request, as a plan needs it."""

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

    def __init__(self, ident, route, counts, ends):
        self.ident = ident
        self.route = route
        self.counts = counts
        self.ends = ends
        self.fingerprint = ''
        self.team = ''
        self.stage_key = ident
        self.urgency = route.urgency


def start_request(fleet, client, route, counts, ident, deadline, read_after):
    """Start a request's stage work; return its :class:`SimulatedRequest`.

    Parameters
    ==========

    deadline : float
        Seconds from now.
    read_after : float
        Seconds after which the model engine has read the results.
    """
    now = fleet.clock.seconds()
    served = SimulatedRequest(route.name, now, route.aim, read_after)
    arrival = Arrival(ident, route, counts, now + deadline)
    work = Deferred.fromCoroutine(_staged(client, arrival, served))
    work.addTimeout(deadline, fleet.clock)
    work.addCallback(_note_end, served, fleet.clock, read_after)
    work.addErrback(_note_timeout, served)
    return served


async def _staged(client, arrival, served):
    """Return a request's chain and the end of its stage work."""
    await client.refresh_backlogs([one.service for one in arrival.route.steps])
    ready_by = served.arrived_at + served.aim - served.read
    chain = Chain(client, build_plan(arrival, ready_by, client.seconds))
    return chain, await chain.handles()


def stage_route(name, aim, urgency, steps):
    """Return a route with steps of service, ``after`` and result bytes."""
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
    """Return limits in the units that operators write."""
    return StageLimits(
        batch=batch,
        call_seconds=call_ms / 1000,
        piece_seconds=piece_ms / 1000,
        room_bytes=int(room_mb * 1_000_000),
    )


def seeded(seed):
    """Return a random generator."""
    return Random(seed)


def stage_workers(name, count):
    """Return a service's workers, spread over the failure domains."""
    return [
        Worker(
            f'{name}-{place}',
            f'{name}.{_DOMAINS[place % len(_DOMAINS)]}:{place}',
            _DOMAINS[place % len(_DOMAINS)],
        )
        for place in range(count)
    ]


def _note_end(ended, served, clock, read_after):
    chain, outcome = ended
    took = clock.seconds() - served.arrived_at
    if isinstance(outcome, ChainFailed):
        served.refused = outcome.reason
        served.refused_after = took
        return
    served.stage_seconds = took
    clock.callLater(read_after, chain.release)


def _note_timeout(failure, served):
    served.refused = 'timeout'


def _fire(done, made):
    done.callback(list(made))
