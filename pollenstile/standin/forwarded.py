"""Fake HTTP upstreams of forwarding hosts: stages and model engines.

Explanation
===========

They use the default formats: the default header names, and batches as JSON.
Each records the requests that it ran, so that a test can check what ran where.
"""

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.forward import FREE_TARGET, RUN_TARGET, HeaderNames

NAMES = HeaderNames()
_CONFLICT = 409
_NOT_FOUND = 404


class Results:
    """Results shared by all stage upstreams of a test.

    Attributes
    ==========

    known : dict
        Pieces whose results are kept, by handle.
    executed_pieces : list of dict
        All pieces that ran, in order.
    """

    __slots__ = ('executed_pieces', 'known')

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
        Results shared by the upstreams of a test.
    work : float
        Run time of a call, in seconds.

    Attributes
    ==========

    address : str
        First part of the handles; set once the upstream listens.
    """

    isLeaf = True

    def __init__(self, clock, results, work=0.02):
        super().__init__()
        self.clock = clock
        self.results = results
        self.work = work
        self.address = ''

    def render(self, request):
        """Run a batch or release results; called by Twisted."""
        content = request.content.read()
        if request.path == FREE_TARGET:
            for handle in msgspec.json.decode(content):
                self.results.known.pop(handle, None)
            return b''
        if request.path != RUN_TARGET:
            request.setResponseCode(_NOT_FOUND)
            return b''
        pieces = msgspec.json.decode(content)
        self.clock.callLater(self.work, self._finish_batch, request, pieces)
        return NOT_DONE_YET

    def _finish_batch(self, request, pieces):
        handles = []
        for piece in pieces:
            if not all(
                source in self.results.known for source in piece['inputs']
            ):
                handles.append('')
                continue
            position = len(self.results.executed_pieces)
            handle = f'{self.address}/{position}'
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
        Attempt and result handles of each request that ran.
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
        """Stream the answer to a request; called by Twisted."""
        attempt = request.getHeader(NAMES.attempt) or b''
        stated = request.getHeader(NAMES.results) or b''
        handles = [handle for handle in stated.decode().split(',') if handle]
        request.setHeader(NAMES.attempt, attempt)
        if not all(handle in self.results.known for handle in handles):
            request.setHeader(NAMES.not_run, b'1')
            request.setResponseCode(_CONFLICT)
            return b''
        self.runs.append((attempt.decode(), tuple(handles)))
        request.setHeader(NAMES.stamp, b'proof')
        request.setHeader(b'content-type', b'text/event-stream')
        self._send_event(request, 1)
        return NOT_DONE_YET

    def _send_event(self, request, number):
        request.write(b'id: %d\ndata: piece\n\n' % number)
        if number == self.events:
            request.finish()
            return
        self.clock.callLater(self.gap, self._send_event, request, number + 1)
