"""Builders of hosts whose upstreams state that they want no requests."""

from twisted.internet import reactor
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import Site

from features.builders.forward import ForwardScenario
from pollenstile.forward import HeaderNames, NotRun, PlainCodec, Upstream
from pollenstile.forward._owners import StageOwners
from pollenstile.forward._stagecalls import StageCalls
from pollenstile.forward._tokenqueue import TokenQueue
from pollenstile.routes import RouteTable, Service, StageLimits
from pollenstile.stagework import Group
from pollenstile.statements import Statements
from pollenstile.upstream import wire

NAMES = HeaderNames()
SERVICE = 'desk'
STAGE = 'encode'
# Any number of calls of one piece each.
_LIMITS = StageLimits(slots=40, room_bytes=10**9)
_OK = 200
_UNAVAILABLE = 503


def state_leaving(core, name, service=SERVICE):
    """Let an incarnation state to a host that it leaves."""
    statements = Statements(_OK, leaving=('1',), is_proof=True)
    core.permissions.note_answer(name, service, statements)


def ask_rest(core, name, seconds, service=SERVICE):
    """Let an incarnation turn a host away and ask for seconds of rest."""
    statements = Statements(_UNAVAILABLE, rests=(f'{seconds:g}',))
    core.permissions.note_answer(name, service, statements)


def open_connection(call):
    """Open the connection of a scripted call, if its host still wants it."""
    call.sent = False
    refusal = call.check()
    if refusal is None:
        call.sent = True
        return
    assert isinstance(refusal, NotRun)
    call.head.callback(refusal)


class _TurnedAway:
    """An answer that turns a stage call away and asks for rest."""

    def __init__(self, seconds):
        self.code = _UNAVAILABLE
        self.phrase = b'busy'
        self.headers = Headers(
            {NAMES.not_run: ['1'], NAMES.rest: [f'{seconds:g}']}
        )

    def deliverBody(self, protocol):
        """Deliver an empty body; called by Twisted."""
        protocol.transport = _Transport()
        protocol.connectionLost(Failure(ResponseDone()))


class _Transport:
    """A transport without a connection."""

    def abortConnection(self):
        """Do nothing; called by Twisted."""


class StageHost:
    """A host with the queue of a stage service over some workers.

    Attributes
    ==========

    story : ForwardScenario
        The host's core, and the calls that it has sent.
    """

    def __init__(self, count):
        self.story = ForwardScenario('once', upstreams=0)
        core = self.story.core
        core.configuration.table = RouteTable(
            1,
            {},
            {STAGE: Service(STAGE, stage=_LIMITS)},
        )
        calls = StageCalls(
            core.clock, self.story, PlainCodec(), NAMES, core.permissions
        )
        self.owners = StageOwners(
            core.clock,
            core.registry,
            core.configuration,
            calls,
            lambda service, number: True,
            core.quarantine,
            core.permissions,
        )
        core.registry.listeners.append(self.owners.configure)
        for number in range(count):
            ident = f'w{number}'
            upstream = Upstream(ident, STAGE, f'10.0.1.{number}:1', 'd')
            core.registry.apply(ident, upstream)
        self.owner = self.owners.owner(STAGE)

    def submit(self, count):
        """Submit pieces one after the other, each in a group of its own."""
        now = self.story.clock.seconds()
        for _ in range(count):
            number = len(self.owner.jobs)
            group = Group(
                f'r{number}',
                STAGE,
                0,
                1,
                deadline=now + 100,
                due=now + 100,
            )
            self.owner.submit(group)
            self.advance(0.01)

    def advance(self, seconds):
        """Advance the virtual clock in small steps."""
        for _ in range(round(seconds / 0.01)):
            self.story.clock.advance(0.01)

    def turn_away(self, call, seconds):
        """Answer a call with 503 and a time of rest."""
        call.head.callback(_TurnedAway(seconds))

    def sent_to(self):
        """Return the addresses of the calls, in order."""
        return [call.address for call in self.story.calls]


class CountingQueue(TokenQueue):
    """A queue of waiting requests that counts how often one begins to wait."""

    def __init__(self, clock):
        super().__init__(clock)
        self.waits = 0

    def wait(self, exchange, seconds):
        """Count a wait, and return its Deferred."""
        self.waits += 1
        return super().wait(exchange, seconds)


class _TurningAway(Resource):
    """An upstream of the JSON interface that turns calls away."""

    isLeaf = True

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds

    def render(self, request):
        """Answer a call; called by Twisted."""
        attempt = request.getHeader(wire.ATTEMPT_HEADER)
        request.setResponseCode(_UNAVAILABLE)
        request.setHeader(wire.ATTEMPT_HEADER, attempt)
        request.setHeader(wire.OUTCOME_HEADER, wire.NOT_RUN)
        request.setHeader('retry-after', f'{self.seconds:g}')
        return b''


def listen_turning_away(seconds):
    """Return the port of an HTTP upstream that asks for rest."""
    site = Site(_TurningAway(seconds))
    return reactor.listenTCP(0, site, interface='127.0.0.1')
