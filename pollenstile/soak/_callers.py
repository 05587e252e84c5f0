"""Callers: they send, wait, give up and ask again elsewhere."""

from twisted.internet.defer import Deferred

from pollenstile import pipeline
from pollenstile.soak._manifest import NON_IDEMPOTENT, TEAM

_LATENCY = 0.001
_MS = 1000
# Longer than any deadline, and than most callers wait.
_PATIENT = 2.8
_IMPATIENT = 0.2
_PATIENT_SHARE = 0.8
_REPEAT_SHARE = 0.7
_MOST_TRIES = 4


class Ask:
    """What one caller wants: a request and its repeats.

    Parameters
    ==========

    number : int
        Unique in the run.
    name : str
        The pipeline.
    key : str
        Idempotency key; empty for none.
    """

    __slots__ = ('exchanges', 'key', 'name', 'number')

    def __init__(self, number, name, key):
        self.number = number
        self.name = name
        self.key = key
        self.exchanges = []

    @property
    def content(self):
        """The input, another one for each ask."""
        return {'ask': self.number}

    def may_repeat(self):
        """Return whether asking again can do no harm."""
        if len(self.exchanges) >= _MOST_TRIES:
            return False
        if self.name not in NON_IDEMPOTENT:
            return True
        return bool(self.key)


class Exchange:
    """One try of an ask at one host.

    Attributes
    ==========

    request : Request or None
        As accepted; None when the host refused or was not reached.
    tokens : list of str
        Passed on to the caller.
    outcomes : list
        Final outcomes that the host gave; there must be one.
    ended : float
        When the outcome was there, in seconds.
    closed : bool
        Whether the caller has hung up or has its outcome.
    """

    __slots__ = (
        'ask',
        'closed',
        'ended',
        'host',
        'outcomes',
        'request',
        'running',
        'timer',
        'tokens',
    )

    def __init__(self, ask, host):
        self.ask = ask
        self.host = host
        self.request = None
        self.running = None
        self.timer = None
        self.tokens = []
        self.outcomes = []
        self.ended = 0.0
        self.closed = False


def send(world, ask, host):
    """Send an ask to a host."""
    exchange = Exchange(ask, host)
    ask.exchanges.append(exchange)
    world.trace.note('ask', number=ask.number, name=ask.name, host=host.name)
    patience = _PATIENT
    if not world.chance(_PATIENT_SHARE):
        patience = world.rng.uniform(_IMPATIENT, _PATIENT)
    exchange.timer = world.clock.callLater(patience, _give_up, world, exchange)
    world.clock.callLater(
        _LATENCY,
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
    ask = exchange.ask
    snapshot = node.in_force.snapshot
    budget = snapshot.manifest.pipelines[ask.name].deadline_ms / _MS
    exchange.request = pipeline.Request(
        ident=node.next_ident(),
        name=ask.name,
        snapshot=snapshot,
        team=TEAM,
        content=ask.content,
        deadline=node.core.clock.seconds() + budget,
        key=ask.key,
    )
    running = Deferred.fromCoroutine(
        pipeline.run_request(
            node.core,
            exchange.request,
            exchange.tokens.append,
        ),
    )
    exchange.running = running
    node.track(running)
    running.addCallback(_respond, world, exchange)
    running.addErrback(_crash, world, exchange)


def _respond(outcome, world, exchange):
    if not exchange.host.process.alive:
        return
    exchange.outcomes.append(outcome)
    exchange.ended = world.clock.seconds()
    world.clock.callLater(_LATENCY, _arrive, world, exchange)


def _crash(failure, world, exchange):
    # The collector of unused objects closes the coroutines of a dead process
    # in any order; what is left of them says nothing of the program.
    if not exchange.host.process.alive:
        return
    world.records.violate(
        'crashed',
        exchange.request.ident,
        error=failure.getErrorMessage(),
        where=failure.getTraceback()[-400:],
    )


def _arrive(world, exchange):
    if exchange.closed:
        return
    exchange.closed = True
    exchange.timer.cancel()
    tag = exchange.outcomes[-1].tag
    world.trace.note('outcome', number=exchange.ask.number, tag=tag)
    if tag != 'answered':
        _repeat(world, exchange.ask)


def _give_up(world, exchange):
    exchange.closed = True
    world.trace.note('gave-up', number=exchange.ask.number)
    exchange.host.process.deliver(_hang_up, exchange)
    _repeat(world, exchange.ask)


def _hang_up(exchange):
    # As the caller's face does: only idempotent work is stopped.
    running = exchange.running
    if running is None or exchange.outcomes:
        return
    if exchange.request.pipeline.idempotent:
        running.cancel()


def broken(world, exchange):
    """Tell a caller that its connection broke."""
    if exchange.closed:
        return
    exchange.closed = True
    exchange.timer.cancel()
    _repeat(world, exchange.ask)


def _repeat(world, ask):
    if ask.may_repeat() and world.chance(_REPEAT_SHARE):
        delay = world.rng.uniform(0, 0.5)
        world.clock.callLater(delay, _again, world, ask)


def _again(world, ask):
    send(world, ask, world.rng.choice(world.living()))
