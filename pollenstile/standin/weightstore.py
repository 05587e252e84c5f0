"""Stand-in of the platform's weight store, which is rate-limited."""

from math import ceil

from twisted.internet.defer import succeed
from twisted.web.resource import Resource

from pollenstile.platform import Throttled, Ticket, Unavailable
from pollenstile.standin._objectweb import reply


class MemoryWeights:
    """A token bucket of tickets.

    Parameters
    ==========

    clock : twisted.internet.interfaces.IReactorTime
        Refills the bucket.
    rate : float
        Tickets a second.
    burst : float
        Most tickets at once.

    Public state
    ============

    down : bool
        Whether the store can't be reached.
    issued : list of Ticket
        All tickets so far.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> weights = MemoryWeights(Clock(), rate=0.5, burst=1)
    >>> weights.ticket('draft', '3').addCallback(print) and None
    Ticket(model='draft', version='3')
    >>> weights.ticket('draft', '3').addCallback(print) and None
    Throttled(retry_after=2.0)
    """

    __slots__ = ('burst', 'clock', 'down', 'filled', 'issued', 'rate', 'tokens')

    def __init__(self, clock, rate=1.0, burst=4):
        self.clock = clock
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled = clock.seconds()
        self.down = False
        self.issued = []

    def ticket(self, model, version):
        """Return a Deferred of ``Ticket``, ``Throttled``, ``Unavailable``."""
        if self.down:
            return succeed(Unavailable('ticket', 'memory', 'refused'))
        return succeed(self.drawn(model, version))

    def drawn(self, model, version):
        """Return ``Ticket`` or ``Throttled``."""
        now = self.clock.seconds()
        gained = (now - self.filled) * self.rate
        self.tokens = min(self.tokens + gained, self.burst)
        self.filled = now
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
        return _answer(request, self.weights.drawn(*path[:2]))


def _answer(request, outcome):
    if isinstance(outcome, Throttled):
        wait = str(ceil(outcome.retry_after)).encode()
        request.setHeader(b'retry-after', wait)
        return reply(request, 429, outcome)
    return reply(request, 200, outcome)


def weightstore(clock):
    """Return the resource of a weight store with the usual rate."""
    return weightstore_resource(MemoryWeights(clock))


def weightstore_resource(weights):
    """Return the resource to stand at ``/v1/weights``."""
    return _WeightsResource(weights)
