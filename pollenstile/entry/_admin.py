"""HTTP resource for operators."""

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pollenstile.entry.events import CRASHED
from pollenstile.ops.http import answer_json, answer_problem

_VERSION_QUERY_SECONDS = 2.0


class AdminResource(Resource):
    """``GET /healthz``, ``/readyz``, ``/status`` and ``/fleet``.

    Explanation
    ===========

    ``/healthz`` shows that the process runs. ``/readyz`` is polled by the
    platform's load balancer and returns 503 as soon as the host starts to
    leave. ``/fleet`` queries all entry hosts for the configuration version
    that each one uses.

    Parameters
    ==========

    node : Node
        State of the host.
    fleet : Fleet or None
        The host's connection to the fleet.
    """

    isLeaf = True

    def __init__(self, node, fleet=None):
        super().__init__()
        self.node = node
        self.fleet = fleet

    def render(self, request):
        """Serve one request; called by Twisted."""
        if request.path == b'/healthz':
            return answer_json(request, {'healthy': True})
        if request.path == b'/readyz':
            return self._answer_readiness(request)
        if request.path == b'/status':
            return answer_json(request, self.node.status())
        if request.path == b'/fleet' and self.fleet is not None:
            pending = self.fleet.document(_VERSION_QUERY_SECONDS)
            pending.addCallbacks(
                _answer_if_connected,
                _answer_failure,
                callbackArgs=(request,),
                errbackArgs=(request, self.node.core.log),
            )
            return NOT_DONE_YET
        return answer_problem(request, 404, 'no such path', 'not-run')

    def _answer_readiness(self, request):
        refusal = self.node.refusal()
        if refusal is None:
            return answer_json(request, {'ready': True})
        return answer_problem(request, 503, refusal.reason, 'not-run')


def _answer_failure(failure, request, log):
    log(CRASHED, level='error', error=failure.getTraceback())
    if request.channel is not None:
        answer_problem(request, 500, 'internal error', 'failed')


def _answer_if_connected(document, request):
    if request.channel is not None:
        answer_json(request, document)
