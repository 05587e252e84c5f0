"""Operators' HTTP face."""

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.ops.http import answer_json, answer_problem


_CENSUS_SECONDS = 2.0


class AdminFace(Resource):
    """``GET /healthz``, ``/readyz``, ``/status`` and ``/fleet``.

    Explanation
    ===========

    ``/healthz`` says that the process runs. ``/readyz`` is for the platform's
    balancer and turns 503 as soon as the host is told to leave. ``/fleet``
    asks all entry hosts which version they have in force.

    Parameters
    ==========

    node : Node
        The host that serves.
    fleet : Fleet or None
        Its part in the fleet.
    """

    isLeaf = True

    def __init__(self, node, fleet=None):
        super().__init__()
        self.node = node
        self.fleet = fleet

    def render(self, request):
        """Serve one request; called by twisted."""
        if request.path == b'/healthz':
            return answer_json(request, {'healthy': True})
        if request.path == b'/readyz':
            return self._ready(request)
        if request.path == b'/status':
            return answer_json(request, self.node.status())
        if request.path == b'/fleet' and self.fleet is not None:
            asked = self.fleet.document(_CENSUS_SECONDS)
            asked.addCallback(_answer_unless_gone, request)
            return NOT_DONE_YET
        return answer_problem(request, 404, 'no such path', 'not-run')

    def _ready(self, request):
        refusal = self.node.refusal()
        if refusal is None:
            return answer_json(request, {'ready': True})
        return answer_problem(request, 503, refusal.reason, 'not-run')


def _answer_unless_gone(document, request):
    if request.channel is not None:
        answer_json(request, document)
