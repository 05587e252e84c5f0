"""Builders of stage work: pieces, workers, and queues in virtual time."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.routes import StageLimits, StageStep
from pollenstile.stagework import (
    Group,
    GroupDone,
    Result,
    Owner,
    Piece,
    Plan,
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
        deadline=fields.pop('ends', 20.0),
        is_first=not fields.get('inputs'),
        **fields,
    )


def chain_plan(request, service, now):
    """Return a plan of one step of two pieces."""
    steps = (StageStep(service, (), 100),)
    return Plan(request, request, steps, (2,), (now + 2,), now + 8, 0)


def pieces_of(*groups):
    """Return all pieces of some groups."""
    return [Piece(one, place) for one in groups for place in range(one.count)]


def workers(*domains):
    """Return workers, one in each of some failure domains."""
    return [
        Worker(f'w{place}', f'10.0.0.{place}:1', domain)
        for place, domain in enumerate(domains)
    ]


class Queue:
    """An owner in virtual time whose calls the test answers.

    Attributes
    ==========

    calls : list of tuple
        Worker, pieces and Deferred of each call, in order.
    freed : list of tuple
        Address, handles and Deferred of each release.
    budget : int
        Repeats that may still be sent.
    outcomes : dict
        By request.
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

    def submit(self, one):
        """Hand in a group, and let free workers draw."""
        waiter = self.owner.submit(one, lambda: self.read.append(one.request))
        waiter.addCallback(self.note, one.request)
        self.clock.advance(0.01)

    def answer(self, place, outcome=None):
        """Answer a call; with results for all its pieces by default."""
        worker, pieces, done = self.calls[place]
        if outcome is None:
            outcome = [
                Result(f'{worker.address}/{place}.{number}')
                for number, _ in enumerate(pieces)
            ]
        done.callback(outcome)
        self.clock.advance(0.01)

    def requests(self, place):
        """Return the requests of a call's pieces."""
        return [piece.group.request for piece in self.calls[place][1]]

    def _call(self, worker, pieces, seconds):
        done = Deferred()
        self.calls.append((worker, pieces, done))
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
        """Keep what became of a request's group."""
        self.outcomes[request] = outcome


class RecordingClient:
    """A stage client that notes the groups it is asked for.

    Parameters
    ==========

    domains : tuple of str
        Those that have workers of the service ``rank``; others are everywhere.
    """

    def __init__(self, domains=('a', 'b', 'c')):
        self.domains = domains
        self.groups = []
        self.waiting = []

    def submit(self, one, on_read):
        """Note a group."""
        self.groups.append(one)
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def seconds(self, service, count):
        """Return the same for all."""
        return 0.4

    def is_crowded(self, service):
        """Return that nothing is crowded."""
        return False

    is_queue_long = is_crowded

    def limits_of(self, service):
        """Return the same for all."""
        return LIMITS

    def domains_with(self, service):
        """Return where there are workers of the last step."""
        return self.domains if service == 'rank' else ('a', 'b', 'c')

    def domain_of(self, handles):
        """Return the domain that a handle begins with."""
        return handles[0][0]

    def release(self, host, service, handles):
        """Release nothing."""

    def made(self, domain):
        """Let the newest group be made in a domain."""
        count = self.groups[-1].count
        handles = tuple(f'{domain}/{number}' for number in range(count))
        self.waiting[-1].callback(('host', GroupDone(handles)))
