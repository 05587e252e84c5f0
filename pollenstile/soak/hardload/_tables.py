"""Routes, services and teams of the hosts of a hard-load run."""

from pollenstile.bench._stageworld import stage_limits
from pollenstile.routes import (
    Kind,
    PartTransfer,
    Route,
    Service,
    StageStep,
    Target,
    Team,
)

ENGINES = 's'
STAGES = 'encode'
LIMITS = stage_limits(4, 240, 40, 100)
# Share of all requests of each team.
TEAM_SHARES = {'large': 0.5, 'middle': 0.3, 'small': 0.15, 'least': 0.05}
_TIMEOUT_SECONDS = 6.0
_RESULT_BYTES = 10_000


def _route(name, kind, aim, urgency, **fields):
    return Route(
        name,
        'host',
        f'/{name}/',
        kind,
        _TIMEOUT_SECONDS,
        aim,
        urgency,
        targets=(Target(ENGINES),),
        steps=(StageStep(STAGES, (), _RESULT_BYTES),),
        **fields,
    )


# The target latency grows with each step of urgency, so the stage is graded.
ROUTES = (
    _route('chat', Kind.STREAM, 1.2, 0, attempts=2, resumable=True),
    _route('draft', Kind.IDEMPOTENT, 1.7, 1, attempts=2),
    _route('order', Kind.ONCE, 2.4, 2),
)
SERVICES = {
    ENGINES: Service(ENGINES, part_transfer=PartTransfer(1000, 1e9)),
    STAGES: Service(STAGES, LIMITS),
}


def key_of(team):
    """Return the key that the callers of a team send."""
    return f'key-{team}'


KEYS = {key_of(team): Team(team) for team in TEAM_SHARES}
