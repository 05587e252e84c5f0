"""Simulated callers: they send requests, time out and retry at other hosts."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile import pipeline
from pollenstile.soak._manifest import NON_IDEMPOTENT, TEAM

_LATENCY_SECONDS = 0.001
_MS_PER_SECOND = 1000
# Longer than the deadline of any pipeline; most callers wait this long.
_FULL_WAIT_SECONDS = 2.8
_SHORTEST_WAIT_SECONDS = 0.2
_FULL_WAIT_SHARE = 0.8
_RETRY_SHARE = 0.7
_MAX_ATTEMPTS = 4


class CallerRequest:
    """One request of a caller with all its attempts.

    Parameters
    ==========

    number : int
        Number of the request, unique in the run.
    name : str
        Name of the pipeline.
    key : str
        Idempotency key; empty for none.

    Attributes
    ==========

    exchanges : list of Exchange
        Attempts that were sent so far, in order.
    """

    __slots__ = ('exchanges', 'key', 'name', 'number')

    def __init__(self, number, name, key):
        self.number = number
        self.name = name
        self.key = key
        self.exchanges = []

    @property
    def content(self):
        """The input, which differs between requests."""
        return {'ask': self.number}

    def may_retry(self):
        """Return whether the request may be sent again safely."""
        if len(self.exchanges) >= _MAX_ATTEMPTS:
            return False
        if self.name not in NON_IDEMPOTENT:
            return True
        return bool(self.key)


class Exchange:
    """One attempt of a caller's request at one host.

    Attributes
    ==========

    request : Request or None
        The accepted request; None when the host refused or was not reached.
    running : Deferred or None
        Execution of the request; None while the host has not accepted it.
    tokens : list of str
        Tokens that were streamed to the caller.
    outcomes : list
        Final outcomes from the host; there must be exactly one.
    ended_at : float
        Time of the outcome, in seconds.
    closed : bool
        Whether the caller has disconnected or received its outcome.
    """

    __slots__ = (
        'caller_request',
        'closed',
        'ended_at',
        'host',
        'outcomes',
        'request',
        'running',
        'timer',
        'tokens',
    )

    def __init__(self, caller_request, host):
        self.caller_request = caller_request
        self.host = host
        self.request = None
        self.running = None
        self.timer = None
        self.tokens = []
        self.outcomes = []
        self.ended_at = 0.0
        self.closed = False


def send(world, caller_request, host):
    """Send a caller's request to a host."""
    exchange = Exchange(caller_request, host)
    caller_request.exchanges.append(exchange)
    world.trace.note(
        'ask',
        number=caller_request.number,
        name=caller_request.name,
        host=host.name,
    )
    wait_seconds = _FULL_WAIT_SECONDS
    if not world.chance(_FULL_WAIT_SHARE):
        wait_seconds = world.rng.uniform(
            _SHORTEST_WAIT_SECONDS, _FULL_WAIT_SECONDS
        )
    exchange.timer = world.clock.callLater(
        wait_seconds, _give_up, world, exchange
    )
    world.clock.callLater(
        _LATENCY_SECONDS,
        host.process.deliver,
        _accept,
        world,
        exchange,
    )


def _accept(world, exchange):
    node = exchange.host.node
    refusal = node.refusal()
    if refusal is not None:
        _respond(refusal, world, exchange)
        return
    exchange.host.exchanges.append(exchange)
    caller_request = exchange.caller_request
    snapshot = node.in_force.snapshot
    budget = (
        snapshot.manifest.pipelines[caller_request.name].deadline_ms
        / _MS_PER_SECOND
    )
    exchange.request = pipeline.Request(
        ident=node.next_ident(),
        name=caller_request.name,
        snapshot=snapshot,
        team=TEAM,
        content=caller_request.content,
        deadline=node.core.clock.seconds() + budget,
        key=caller_request.key,
    )
    running = Deferred.fromCoroutine(
        pipeline.run_request(
            node.core,
            exchange.request,
            exchange.tokens.append,
        ),
    )
    exchange.running = running
    node.track(running, partial(bool, exchange.tokens))
    running.addCallback(_respond, world, exchange)
    running.addErrback(_record_crash, world, exchange)


def _respond(outcome, world, exchange):
    if not exchange.host.process.alive:
        return
    exchange.outcomes.append(outcome)
    exchange.ended_at = world.clock.seconds()
    world.clock.callLater(_LATENCY_SECONDS, _receive_outcome, world, exchange)


def _record_crash(failure, world, exchange):
    # The garbage collector closes the coroutines of a dead process in any
    # order, so errors from them don't indicate a fault of the program.
    if not exchange.host.process.alive:
        return
    world.records.violate(
        'crashed',
        exchange.request.ident,
        error=failure.getErrorMessage(),
        where=failure.getTraceback()[-400:],
    )


def _receive_outcome(world, exchange):
    if exchange.closed:
        return
    exchange.closed = True
    exchange.timer.cancel()
    tag = exchange.outcomes[-1].tag
    world.trace.note('outcome', number=exchange.caller_request.number, tag=tag)
    if tag != 'answered':
        _retry(world, exchange.caller_request)


def _give_up(world, exchange):
    exchange.closed = True
    world.trace.note('gave-up', number=exchange.caller_request.number)
    exchange.host.process.deliver(_cancel_request, exchange)
    _retry(world, exchange.caller_request)


def _cancel_request(exchange):
    # Like the callers' frontend: only idempotent work is cancelled.
    running = exchange.running
    if running is None or exchange.outcomes:
        return
    if exchange.request.pipeline.idempotent:
        running.cancel()


def connection_lost(world, exchange):
    """Close an exchange whose connection broke; the caller may retry."""
    if exchange.closed:
        return
    exchange.closed = True
    exchange.timer.cancel()
    _retry(world, exchange.caller_request)


def _retry(world, caller_request):
    if caller_request.may_retry() and world.chance(_RETRY_SHARE):
        delay = world.rng.uniform(0, 0.5)
        world.clock.callLater(delay, _resend, world, caller_request)


def _resend(world, caller_request):
    send(world, caller_request, world.rng.choice(world.balancer_targets()))
