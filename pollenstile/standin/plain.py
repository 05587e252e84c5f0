"""Stand-in of a stage pool's server or of a plain service."""

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.ops.http import answer_json, answer_problem
from pollenstile.standin._slots import Slots
from pollenstile.standin.faults import Faults, state_attempt
from pollenstile.upstream import wire

_MS = 1000


class PlainServer:
    """State of one stand-in.

    Parameters
    ==========

    clock : IReactorTime
        Real or virtual.
    name : str
        Stated in answers, so that tests see who answered.
    work : float
        Seconds that a call takes.
    most : int
        Calls side by side.

    Attributes
    ==========

    runs : list of str
        Attempts that ran, for checks of *at most once*.
    """

    __slots__ = ('clock', 'faults', 'name', 'runs', 'slots', 'work')

    def __init__(self, clock, name, work=0.02, max_running=8, incarnation='1'):
        self.clock = clock
        self.name = name
        self.work = work
        self.slots = Slots(max_running, incarnation)
        self.faults = Faults()
        self.runs = []

    def load(self):
        """Return the load to state."""
        return self.slots.report(leaving=self.faults.leaving)


class PlainResource(Resource):
    """``POST /v1/call`` and ``GET /v1/load`` of a stand-in."""

    isLeaf = True

    def __init__(self, server):
        super().__init__()
        self.server = server

    def render_GET(self, request):
        """State the load; called by twisted."""
        return answer_json(request, self.server.load())

    def render_POST(self, request):
        """Run one call; called by twisted."""
        state_attempt(request, self.server.faults)
        if self.server.faults.refusing:
            return answer_problem(request, 503, 'refusing', wire.NOT_RUN)
        try:
            call = wire.decode_plain_call(request.content.read())
        except wire.DecodeError as error:
            return answer_problem(request, 400, str(error), wire.NOT_RUN)
        _Running(self.server, request, call).begin()
        return NOT_DONE_YET


class _Running:
    """One call from queue to answer."""

    __slots__ = ('call', 'gone', 'http', 'server', 'timer')

    def __init__(self, server, http, call):
        self.server = server
        self.http = http
        self.call = call
        self.timer = None
        self.gone = False

    def begin(self):
        """Wait for a slot."""
        self.http.notifyFinish().addErrback(self.disconnected)
        self.server.slots.acquire(self.work)

    def work(self):
        """Run the call."""
        self.server.runs.append(self.call.attempt)
        if self.server.faults.frozen:
            return
        took = self.server.work * self.server.faults.slow
        self.timer = self.server.clock.callLater(took, self.answer, took)

    def answer(self, took):
        """Answer and give the slot back."""
        self.timer = None
        self.server.slots.release()
        output = {
            'by': self.server.name,
            'step': self.call.step,
            'for': self.call.attempt.partition('/')[0],
        }
        if self.gone:
            return
        answer_json(
            self.http,
            wire.PlainReply(
                self.server.faults.stated(self.call.attempt),
                output,
                took * _MS,
                self.server.load(),
            ),
        )

    def disconnected(self, failure):
        """Stop a call that nobody waits for."""
        self.gone = True
        if self.server.slots.remove_waiting(self.work):
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.server.slots.release()
