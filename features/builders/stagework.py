"""Builders of stage work: pieces, workers and queues in virtual time."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.routes import StageLimits, StageStep
from pollenstile.stagework import (
    CallLost,
    Group,
    GroupDone,
    Owner,
    Piece,
    Plan,
    Result,
    Worker,
)

SERVICE = 'encode'
CALL = 0.24
PIECE = 0.025
LIMITS = StageLimits(
    batch=8,
    call_seconds=CALL,
    piece_seconds=PIECE,
    room_bytes=1000,
)


def group(request='r', count=1, size=100, due=10.0, **fields):
    """Return a group of the service."""
    return Group(
        request,
        SERVICE,
        fields.pop('step', 0),
        count,
        result_bytes=size,
        due=due,
        deadline=fields.pop('deadline', 20.0),
        is_first=not fields.get('inputs'),
        **fields,
    )


def chain_plan(request, service, now):
    """Return a plan of one step of two pieces."""
    steps = (StageStep(service, (), 100),)
    return Plan(request, request, steps, (2,), (now + 2,), now + 8, 0)


def pieces_of(*groups):
    """Return all pieces of some groups."""
    return [
        Piece(member_group, number)
        for member_group in groups
        for number in range(member_group.count)
    ]


def workers(*domains):
    """Return workers, one in each of the failure domains."""
    return [
        Worker(f'w{number}', f'10.0.0.{number}:1', domain)
        for number, domain in enumerate(domains)
    ]


class Queue:
    """An owner in virtual time, with calls that the test answers.

    Attributes
    ==========

    calls : list of tuple
        Worker, pieces and Deferred of each call, in order.
    freed : list of tuple
        Address, handles and Deferred of each release.
    budget : int
        Remaining repeats.
    outcomes : dict
        Outcome by request.
    read : list of str
        Requests whose inputs were fetched.
    """

    def __init__(self, *domains, limits=LIMITS):
        self.clock = Clock()
        self.calls = []
        self.freed = []
        self.budget = 100
        self.outcomes = {}
        self.read = []
        self.owner = Owner(
            self.clock,
            SERVICE,
            self._call,
            self._free,
            self._spend,
        )
        self.owner.configure(limits, workers(*domains))

    def submit(self, new_group):
        """Submit a group and dispatch pieces to free workers."""
        waiter = self.owner.submit(
            new_group, lambda: self.read.append(new_group.request)
        )
        waiter.addCallback(self.note, new_group.request)
        self.clock.advance(0.01)

    def answer(self, index, outcome=None):
        """Answer a call, by default with results for all its pieces."""
        worker, pieces, done = self.calls[index]
        if outcome is None:
            outcome = [
                Result(f'{worker.address}/{index}.{number}')
                for number, _ in enumerate(pieces)
            ]
        done.callback(outcome)
        self.clock.advance(0.01)

    def requests(self, index):
        """Return the requests of a call's pieces."""
        return [piece.group.request for piece in self.calls[index][1]]

    def _call(self, worker, pieces, seconds):
        done = Deferred()
        self.calls.append((worker, pieces, done))
        self.clock.callLater(seconds, _time_out, done, worker)
        return done

    def _free(self, address, handles):
        done = Deferred()
        self.freed.append((address, handles, done))
        return done

    def _spend(self, service, number):
        if self.budget < number:
            return False
        self.budget -= number
        return True

    def note(self, outcome, request):
        """Record the outcome of a request's group."""
        self.outcomes[request] = outcome


def _time_out(done, worker):
    if not done.called:
        done.callback(CallLost('timeout', worker.ident, arrived=True))


class RecordingClient:
    """A stage client that records submitted groups.

    Parameters
    ==========

    domains : tuple of str
        Domains that have workers of the service ``rank``; other services have
        workers in all domains.
    """

    def __init__(self, domains=('a', 'b', 'c')):
        self.domains = domains
        self.groups = []
        self.waiting = []

    def submit(self, new_group, on_read):
        """Record a group."""
        self.groups.append(new_group)
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def seconds(self, service, count):
        """Return the same duration for all steps."""
        return 0.4

    def is_crowded(self, service):
        """Return that no service is crowded."""
        return False

    is_queue_long = is_crowded

    def limits_of(self, service):
        """Return the same limits for all services."""
        return LIMITS

    def domains_with(self, service):
        """Return the domains with workers of a service."""
        return self.domains if service == 'rank' else ('a', 'b', 'c')

    def domain_of(self, handles):
        """Return the domain in the first letter of a handle."""
        return handles[0][0]

    def release(self, host, service, handles):
        """Release nothing."""

    def made(self, domain):
        """Complete the latest group with results in a domain."""
        count = self.groups[-1].count
        handles = tuple(f'{domain}/{number}' for number in range(count))
        self.waiting[-1].callback(('host', GroupDone(handles)))
