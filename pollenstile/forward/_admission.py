"""What the configuration in force allows a request, also after it came."""

from dataclasses import dataclass

from pollenstile.forward._types import Refusal
from pollenstile.routes import Route, Team, pick_service, route_of, team_of

# Where refusals of this module arise.
_STEP = 'entry'
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503
# Seconds after which another host, or this one with a newer proof, may serve.
_PROOF_RETRY = 0.3


@dataclass(slots=True, frozen=True)
class Admitted:
    """The route that a request takes, and its team.

    Parameters
    ==========

    team : Team or None
        None on public routes.
    """

    route: Route
    team: Team | None


def admit_request(configuration, query):
    """Return :class:`Admitted`, or a :class:`Refusal`.

    Parameters
    ==========

    configuration : Configuration
        With the route table in force and its proof.
    asked : Asked
        What the request asks for, and by which key.
    """
    if not configuration.is_current():
        return _unavailable('the configuration can not be checked')
    outcome = _allowed(configuration.table, query)
    has_key = isinstance(outcome, Admitted) and outcome.team is not None
    if has_key and not configuration.is_verified():
        return _unavailable('the key can not be checked')
    return outcome


def _allowed(table, query):
    """Return what a route table says of a request, whatever its age."""
    route = route_of(table, query.host, query.path)
    if route is None:
        return Refusal(_NOT_FOUND, 'no such route', _STEP)
    if table.keys is None or route.public:
        return Admitted(route, None)
    team = team_of(table, query.authorization)
    if team is None:
        return Refusal(_UNAUTHORIZED, 'unknown key', _STEP)
    return Admitted(route, team)


def refused_since(core, exchange):
    """Return why a request may not be sent any more, or None.

    Explanation
    ===========

    Stage work takes seconds, and keys and routes are taken away meanwhile. A
    route that has moved leads to one of its services of now. How old the table
    is does not matter any more: it was young enough when the request came.
    """
    table = core.configuration.table
    if table is exchange.table:
        return None
    outcome = _allowed(table, exchange.query)
    if isinstance(outcome, Refusal):
        return outcome
    exchange.table = table
    exchange.team = outcome.team.name if outcome.team else ''
    targets = {target.service for target in outcome.route.targets}
    if exchange.service not in targets:
        exchange.service = pick_service(outcome.route, core.rng.random())
        core.budget.note_first(exchange.service)
    return None


def _unavailable(reason):
    return Refusal(_UNAVAILABLE, reason, _STEP, '', _PROOF_RETRY)
