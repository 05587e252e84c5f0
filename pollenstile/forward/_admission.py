"""Admission of requests by the configuration in force, with later rechecks."""

from dataclasses import dataclass

from pollenstile.forward._types import Refusal
from pollenstile.ops.rendezvous import rendezvous_weight
from pollenstile.routes import Route, Team, pick_service, route_of, team_of

# Weights of rendezvous hashing are below this number.
_MAX_WEIGHT = 2.0**64
# Step that is named in refusals of this module.
_STEP = 'entry'
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503
# Seconds after which another host, or this one once its configuration is
# verified again, may serve the request.
_RETRY_SECONDS = 0.3


@dataclass(slots=True, frozen=True)
class Admission:
    """The route and the calling team of an admitted request.

    Parameters
    ==========

    route : Route
        Matched by host and path.
    team : Team or None
        The caller; None on public routes.
    """

    route: Route
    team: Team | None


def admit_request(configuration, query):
    """Return the :class:`Admission` of a request, or a :class:`Refusal`.

    Parameters
    ==========

    configuration : Configuration
        The route table in force and when it was last verified.
    query : RouteQuery
        Host, path and key of the request.
    """
    if not configuration.is_current():
        return _unavailable('the configuration can not be checked')
    outcome = _match_table(configuration.table, query)
    has_key = isinstance(outcome, Admission) and outcome.team is not None
    if has_key and not configuration.is_verified():
        return _unavailable('the key can not be checked')
    return outcome


def _match_table(table, query):
    """Admit or refuse a request by a route table of any age."""
    route = route_of(table, query.host, query.path)
    if route is None:
        return Refusal(_NOT_FOUND, 'no such route', _STEP)
    if table.keys is None or route.public:
        return Admission(route, None)
    team = team_of(table, query.authorization)
    if team is None:
        return Refusal(_UNAUTHORIZED, 'unknown key', _STEP)
    return Admission(route, team)


def recheck_admission(core, exchange):
    """Check a request against a newer table; return its refusal, or None.

    Explanation
    ===========

    Stage work takes seconds, and keys and routes may be revoked meanwhile. If
    the route now has other targets, one of them is picked for the request. The
    age of the table is not checked again: the table was recent enough when the
    request arrived.
    """
    table = core.configuration.table
    if table is exchange.table:
        return None
    outcome = _match_table(table, exchange.query)
    if isinstance(outcome, Refusal):
        return outcome
    exchange.table = table
    exchange.team = outcome.team.name if outcome.team else ''
    targets = {target.service for target in outcome.route.targets}
    if exchange.service not in targets:
        exchange.service = drawn_service(outcome.route, exchange.origin)
        core.budget.note_request(exchange.service)
    return None


def drawn_service(route, request):
    """Return the service of a route that a request draws.

    Explanation
    ===========

    All hosts draw the same one, so that a stream which is taken up again stays
    at the service that began it.

    Parameters
    ==========

    request : str
        Identifier of the request that began the stream, or of a new request.
    """
    return pick_service(
        route, rendezvous_weight(request, route.name) / _MAX_WEIGHT
    )


def _unavailable(reason):
    return Refusal(_UNAVAILABLE, reason, _STEP, '', _RETRY_SECONDS)
