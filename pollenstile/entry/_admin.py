"""Operators' HTTP face."""

from twisted.web.resource import Resource

from pollenstile.ops.http import answer_json, answer_problem


class AdminFace(Resource):
    """``GET /healthz``, ``/readyz`` and ``/status``.

    Explanation
    ===========

    ``/healthz`` says that the process runs. ``/readyz`` is for the platform's
    balancer and turns 503 as soon as the host is told to leave.
    """

    isLeaf = True

    def __init__(self, node):
        super().__init__()
        self.node = node

    def render(self, request):
        """Serve one request; called by twisted."""
        if request.path == b'/healthz':
            return answer_json(request, {'healthy': True})
        if request.path == b'/readyz':
            return self._ready(request)
        if request.path == b'/status':
            return answer_json(request, self.node.status())
        return answer_problem(request, 404, 'no such path', 'not-run')

    def _ready(self, request):
        refusal = self.node.refusal()
        if refusal is None:
            return answer_json(request, {'ready': True})
        return answer_problem(request, 503, refusal.reason, 'not-run')
