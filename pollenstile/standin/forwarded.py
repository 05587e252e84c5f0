"""Upstreams of forwarded requests, over HTTP: stages and model engines.

Explanation
===========

They speak the product's own interface: the default header names, batches as
JSON. Each keeps what it was asked, so that a test can tell what ran where.
"""

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.forward import FREE_TARGET, RUN_TARGET, HeaderNames

NAMES = HeaderNames()
_CONFLICT = 409
_NOT_FOUND = 404


class Results:
    """Results of all stage upstreams of a test, by handle."""

    __slots__ = ('known', 'executed_pieces')

    def __init__(self):
        self.known = {}
        self.executed_pieces = []


class StageResource(Resource):
    """One upstream of a stage service.

    Parameters
    ==========

    clock : IReactorTime
        Times the calls.
    results : Results
        Shared by the upstreams of a test.
    work : float
        Seconds of a call.

    Attributes
    ==========

    address : str
        Names the handles; set once it listens.
    """

    isLeaf = True

    def __init__(self, clock, results, work=0.02):
        super().__init__()
        self.clock = clock
        self.results = results
        self.work = work
        self.address = ''

    def render(self, request):
        """Serve a batch or a release; called by twisted."""
        content = request.content.read()
        if request.path == FREE_TARGET:
            for handle in msgspec.json.decode(content):
                self.results.known.pop(handle, None)
            return b''
        if request.path != RUN_TARGET:
            request.setResponseCode(_NOT_FOUND)
            return b''
        pieces = msgspec.json.decode(content)
        self.clock.callLater(self.work, self._made, request, pieces)
        return NOT_DONE_YET

    def _made(self, request, pieces):
        handles = []
        for piece in pieces:
            if not all(one in self.results.known for one in piece['inputs']):
                handles.append('')
                continue
            place = len(self.results.executed_pieces)
            handle = f'{self.address}/{place}'
            self.results.known[handle] = piece
            self.results.executed_pieces.append(piece)
            handles.append(handle)
        request.write(msgspec.json.encode(handles))
        request.finish()


class EngineResource(Resource):
    """A model engine that streams a fixed number of events.

    Attributes
    ==========

    runs : list of tuple
        Attempt and handles of each request that it ran.
    """

    isLeaf = True

    def __init__(self, clock, results, events=4, gap=0.01):
        super().__init__()
        self.clock = clock
        self.results = results
        self.events = events
        self.gap = gap
        self.runs = []

    def render(self, request):
        """Serve a request; called by twisted."""
        attempt = request.getHeader(NAMES.attempt) or b''
        stated = request.getHeader(NAMES.results) or b''
        handles = [one for one in stated.decode().split(',') if one]
        request.setHeader(NAMES.attempt, attempt)
        if not all(one in self.results.known for one in handles):
            request.setHeader(NAMES.not_run, b'1')
            request.setResponseCode(_CONFLICT)
            return b''
        self.runs.append((attempt.decode(), tuple(handles)))
        request.setHeader(NAMES.stamp, b'proof')
        request.setHeader(b'content-type', b'text/event-stream')
        self._event(request, 1)
        return NOT_DONE_YET

    def _event(self, request, number):
        request.write(b'id: %d\ndata: piece\n\n' % number)
        if number == self.events:
            request.finish()
            return
        self.clock.callLater(self.gap, self._event, request, number + 1)
