"""Builders of queues and hosts that share an upstream's rate."""

from random import Random

from twisted.internet import reactor
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import Site

from pollenstile.ops.logs import silent_log
from pollenstile.peer import VERSION, BadMessageError, Hello
from pollenstile.permission import Permissions
from pollenstile.ratelimits import RateLimits, valid_seconds
from pollenstile.routes import StageLimits
from pollenstile.stagework import Group, Owner, Result
from pollenstile.upstream import wire

_STEP_SECONDS = 0.01
_WORK_SECONDS = 0.05
_SERVICE = 'encode'


class _Worker:
    """An upstream as the registry has it."""

    ident = 'i'
    address = 'i:1'
    domain = 'd'
    born = 0


class LimitedQueue:
    """A stage queue whose only worker states its rate.

    Attributes
    ==========

    called_at : list of float
        Times of the calls.
    """

    def __init__(self, rate):
        self.clock = Clock()
        self.called_at = []
        self.rates = RateLimits(self.clock, Random(1))
        self.rates.update_hosts({})
        self.rates.stated.note_answer('i/0', [str(rate)], is_proof=True)
        # Allocations open when no token of an earlier allocator can be valid.
        self.clock.advance(3.0)
        self.owner = Owner(
            self.clock,
            _SERVICE,
            self._call,
            lambda address, handles: succeed(True),
            lambda service, number: True,
            permissions=Permissions(self.clock, Random(1), self.rates),
        )
        self.rates.listeners.append(self._tokens_came)
        limits = StageLimits(batch=1, room_bytes=10**9)
        self.owner.configure(limits, [_Worker()])

    def run(self, count, seconds):
        """Let pieces wait, one group each, for some seconds."""
        now = self.clock.seconds()
        for number in range(count):
            group = Group(
                f'r{number}',
                _SERVICE,
                0,
                1,
                deadline=now + 100,
                due=now + 100,
            )
            self.owner.submit(group)
        for _ in range(round(seconds / _STEP_SECONDS)):
            self.clock.advance(_STEP_SECONDS)

    def _tokens_came(self, service):
        self.owner.dispatcher.schedule()

    def _call(self, worker, pieces, seconds):
        self.called_at.append(self.clock.seconds())
        done = Deferred()
        results = [Result(f'h{len(self.called_at)}') for _ in pieces]
        self.clock.callLater(_WORK_SECONDS, done.callback, results)
        return done


class _RatedResource(Resource):
    """An upstream of the JSON interface that states its rate."""

    isLeaf = True

    def __init__(self, rate):
        super().__init__()
        self.rate = rate

    def render(self, request):
        """Answer a call; called by Twisted."""
        request.setHeader(wire.RATE_HEADER, f'{self.rate:g}')
        attempt = request.getHeader(wire.ATTEMPT_HEADER)
        return wire.encode_json({'attempt': attempt, 'output': 'whole'})


def listen_rated(rate):
    """Return the port of an HTTP upstream that states a rate."""
    site = Site(_RatedResource(rate))
    return reactor.listenTCP(0, site, interface='127.0.0.1')


class RandomHosts:
    """Hosts that ask an allocation for tokens, and use them, at random.

    Parameters
    ==========

    allocation : Allocation
        Gives the tokens.
    rate : float
        Requests a second that the upstream accepts.
    rng : random.Random
        Seeded by the test.
    """

    def __init__(self, allocation, rate, rng):
        self.allocation = allocation
        self.rate = rate
        self.rng = rng
        self.held = {f'h{number}': (0, 0.0) for number in range(9)}

    def run(self, seconds):
        """Return the times at which tokens were used."""
        used_at = []
        for step in range(round(seconds / _STEP_SECONDS)):
            now = step * _STEP_SECONDS
            for host in self.held:
                self._use(host, now, used_at)
                self._ask(host, now)
        return used_at

    def _use(self, host, now, used_at):
        tokens, expires_at = self.held[host]
        if tokens and now < expires_at and self.rng.randrange(10) < 2:
            self.held[host] = tokens - 1, expires_at
            used_at.append(now)

    def _ask(self, host, now):
        if self.rng.randrange(100) >= 3:
            return
        tokens, _ = self.held[host]
        wanted = self.rng.choice((0, 1, 5, 50))
        count = self.allocation.allocate(host, self.rate, wanted, tokens, now)
        wait = self.allocation.wait_seconds(self.rate, is_short=count < wanted)
        is_lost = not self.rng.randrange(10)
        expires_at = now + valid_seconds(wait)
        self.held[host] = (0, 0.0) if is_lost else (count, expires_at)


class _Subjects:
    """Handlers of a hub's requests, by subject."""

    def __init__(self):
        self.subjects = {}


class RecordingHub:
    """Stands in for the links to peers, and records what is sent.

    Attributes
    ==========

    asked : list of tuple
        Host and subject of each request.
    """

    def __init__(self):
        self.clock = Clock()
        self.hello = Hello(VERSION, VERSION, 'h', 'd', 'h:1', 1)
        self.requests = _Subjects()
        self.link_up_handlers = []
        self.stopped = False
        self.log = silent_log
        self.asked = []

    def ask(self, host, subject, body, timeout, address=''):
        """Record a request; return a Deferred of an empty answer."""
        self.asked.append((host, subject))
        return succeed(b'')

    def refuses(self, subject, body):
        """Return whether a message of a peer is refused as unreadable."""
        try:
            self.requests.subjects[subject]('p', body)
        except BadMessageError:
            return True
        return False
