"""Fake server of a stage pool or of a plain service."""

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.ops.http import answer_json, answer_problem
from pollenstile.standin._slots import Slots
from pollenstile.standin.faults import Faults, set_attempt_header
from pollenstile.upstream import wire

_MS_PER_SECOND = 1000


class PlainServer:
    """State of one fake server.

    Parameters
    ==========

    clock : IReactorTime
        Real or virtual clock.
    name : str
        Name in answers, so that tests can check which server answered.
    work : float
        Run time of a call, in seconds.
    max_running : int
        Maximum number of concurrent calls.

    Attributes
    ==========

    runs : list of str
        Attempts that started to run, for checks of at-most-once execution.
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
        """Return the current load report."""
        return self.slots.report(leaving=self.faults.leaving)


class PlainResource(Resource):
    """``POST /v1/call`` and ``GET /v1/load`` of a fake server."""

    isLeaf = True

    def __init__(self, server):
        super().__init__()
        self.server = server

    def render_GET(self, request):
        """Answer with the load report; called by Twisted."""
        return answer_json(request, self.server.load())

    def render_POST(self, request):
        """Run one call; called by Twisted."""
        set_attempt_header(request, self.server.faults)
        if self.server.faults.refusing:
            return answer_problem(request, 503, 'refusing', wire.NOT_RUN)
        try:
            call = wire.decode_plain_call(request.content.read())
        except wire.DECODE_ERRORS as error:
            return answer_problem(request, 400, str(error), wire.NOT_RUN)
        _PlainCall(self.server, request, call).begin()
        return NOT_DONE_YET


class _PlainCall:
    """One call, from the queue to its answer."""

    __slots__ = ('call', 'http', 'is_disconnected', 'server', 'timer')

    def __init__(self, server, http, call):
        self.server = server
        self.http = http
        self.call = call
        self.timer = None
        self.is_disconnected = False

    def begin(self):
        """Start when a slot is free."""
        self.http.notifyFinish().addErrback(self.on_disconnect)
        self.server.slots.acquire(self.work)

    def work(self):
        """Run the call."""
        self.server.runs.append(self.call.attempt)
        if self.server.faults.frozen:
            return
        run_seconds = self.server.work * self.server.faults.slow
        self.timer = self.server.clock.callLater(
            run_seconds, self.answer, run_seconds
        )

    def answer(self, run_seconds):
        """Release the slot and answer."""
        self.timer = None
        self.server.slots.release()
        output = {
            'by': self.server.name,
            'step': self.call.step,
            'for': self.call.attempt.partition('/')[0],
        }
        if self.is_disconnected:
            return
        answer_json(
            self.http,
            wire.PlainReply(
                self.server.faults.attempt_to_name(self.call.attempt),
                output,
                run_seconds * _MS_PER_SECOND,
                self.server.load(),
            ),
        )

    def on_disconnect(self, failure):
        """Stop a call whose caller disconnected."""
        self.is_disconnected = True
        if self.server.slots.remove_waiting(self.work):
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.server.slots.release()
