"""Fake of the platform's weight store, which is rate-limited."""

from math import ceil

from twisted.internet.defer import succeed
from twisted.web.resource import Resource

from pollenstile.platform import Throttled, Ticket, Unavailable
from pollenstile.standin._objectweb import reply


class MemoryWeights:
    """In-memory weight store that limits tickets by a token bucket.

    Parameters
    ==========

    clock : twisted.internet.interfaces.IReactorTime
        Times the refill of the bucket.
    rate : float
        Tickets per second.
    burst : float
        Capacity of the bucket, in tickets.

    Public state
    ============

    down : bool
        Whether the store is unreachable.
    issued : list of Ticket
        All tickets issued so far.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> weights = MemoryWeights(Clock(), rate=0.5, burst=1)
    >>> weights.ticket('draft', '3').addCallback(print) and None
    Ticket(model='draft', version='3')
    >>> weights.ticket('draft', '3').addCallback(print) and None
    Throttled(retry_after=2.0)
    """

    __slots__ = (
        'burst',
        'clock',
        'down',
        'issued',
        'rate',
        'refilled_at',
        'tokens',
    )

    def __init__(self, clock, rate=1.0, burst=4):
        self.clock = clock
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = clock.seconds()
        self.down = False
        self.issued = []

    def ticket(self, model, version):
        """Return a Deferred of ``Ticket``, ``Throttled``, ``Unavailable``."""
        if self.down:
            return succeed(Unavailable('ticket', 'memory', 'refused'))
        return succeed(self.take_ticket(model, version))

    def take_ticket(self, model, version):
        """Issue a ticket; return ``Ticket`` or ``Throttled``."""
        now = self.clock.seconds()
        refill = (now - self.refilled_at) * self.rate
        self.tokens = min(self.tokens + refill, self.burst)
        self.refilled_at = now
        if self.tokens < 1:
            return Throttled((1 - self.tokens) / self.rate)
        self.tokens -= 1
        self.issued.append(Ticket(model, version))
        return self.issued[-1]


class _WeightsResource(Resource):
    isLeaf = True

    def __init__(self, weights):
        super().__init__()
        self.weights = weights

    def render_POST(self, request):
        path = [segment.decode() for segment in request.postpath]
        if len(path) != 3 or path[2] != 'tickets':
            return reply(request, 404, {'reason': 'no such call'})
        if self.weights.down:
            return reply(request, 503, {'reason': 'down'})
        return _answer(request, self.weights.take_ticket(*path[:2]))


def _answer(request, outcome):
    if isinstance(outcome, Throttled):
        wait = str(ceil(outcome.retry_after)).encode()
        request.setHeader(b'retry-after', wait)
        return reply(request, 429, outcome)
    return reply(request, 200, outcome)


def weightstore(clock):
    """Return the resource of a weight store with the default rate."""
    return weightstore_resource(MemoryWeights(clock))


def weightstore_resource(weights):
    """Return the resource to mount at ``/v1/weights``."""
    return _WeightsResource(weights)
