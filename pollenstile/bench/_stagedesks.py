"""Workloads of ``pollenstile bench stages``."""

from collections.abc import Callable
from dataclasses import dataclass

from pollenstile.bench._stageworld import stage_limits, stage_route

# Number of the teams that share half of the requests of a graded desk.
_SMALL_TEAMS = 15
# Service names of the three stages.
INTAKE = 'intake'
PORTAL = 'portal'
BILLS = 'bills'


def _chain(records, bytes_per_record, bytes_per_rank):
    """Return the steps of a request that runs all three stages in sequence."""
    return (
        (INTAKE, (), records),
        (PORTAL, (0,), bytes_per_record),
        (BILLS, (1,), bytes_per_rank),
    )


def _no_team(rng):
    return ''


@dataclass(slots=True, frozen=True)
class Desk:
    """A workload: stage services and the requests that use them.

    Parameters
    ==========

    services : dict
        :class:`~pollenstile.routes.StageLimits` by service name.
    upstreams : int
        The number of upstreams of each service.
    rates : tuple of tuple
        Route, requests per second, deadline in seconds, and functions that
        draw the pieces of each step and the seconds until the results are read.
    teams : function
        Draws the team of a request.
    """

    services: dict
    upstreams: int
    rates: tuple
    teams: Callable = _no_team


def _few_pieces(rng):
    return (rng.choice((1, 2, 2, 3, 3, 4)),)


def _repair_pieces(rng):
    return (1, 4, rng.choice((4, 5, 6, 7, 8)))


def _graded_pieces(rng):
    # One group in ten is several times as large as the others.
    return (rng.choice((1, 1, 2, 2, 2, 3, 3, 4, 4, 8)), 4)


def _large_team(rng):
    """Draw one team for half of all requests, and 15 for the other half."""
    return rng.choice(('large', f'small{rng.randrange(_SMALL_TEAMS)}'))


def _lesson_pieces(rng):
    return (1, 8, rng.randrange(8, 25))


def _usual_read_seconds(rng):
    """Return seconds until the model engine has read the results."""
    return 0.2


def _plan_read_seconds(rng):
    # One prompt in four is large, which leaves half the time for the stage.
    return rng.choice((0.15, 0.2, 0.25, 0.55))


SUMMARY = stage_route('summary', 1.7, 1, [(INTAKE, (), 800_000)])
_REPAIR_CHAIN = _chain(8000, 60_000, 6000)
DRAFT = stage_route('draft', 2.3, 0, _REPAIR_CHAIN)
TAG = stage_route('tag', 2.3, 2, _REPAIR_CHAIN)
REPAIR = Desk(
    {
        INTAKE: stage_limits(8, 240, 25.5, 9.33),
        PORTAL: stage_limits(18, 240, 11.36, 1.93),
        BILLS: stage_limits(25, 240, 8.16, 0.28),
    },
    4,
    (
        (SUMMARY, 4.4, 12.0, _few_pieces, _usual_read_seconds),
        (DRAFT, 10.3, 15.0, _repair_pieces, _usual_read_seconds),
        (TAG, 9.1, 6.0, _repair_pieces, _usual_read_seconds),
    ),
)
# Shorter calls and target latencies, fewer upstreams, results of 3 MB.
PLAN = stage_route('plan', 1.0, 0, [(INTAKE, (), 3_000_000)])
ADVICE = stage_route('advice', 2.2, 1, _REPAIR_CHAIN)
CHAT = stage_route('chat', 2.4, 2, _REPAIR_CHAIN)
LESSON = Desk(
    {
        INTAKE: stage_limits(7, 150, 18.3, 35),
        PORTAL: stage_limits(32, 150, 4.04, 5.73),
        BILLS: stage_limits(63, 150, 2.05, 1.16),
    },
    3,
    (
        (PLAN, 5.8, 6.0, _few_pieces, _plan_read_seconds),
        (ADVICE, 11.8, 6.0, _lesson_pieces, _usual_read_seconds),
        (CHAT, 10.2, 15.0, _lesson_pieces, _usual_read_seconds),
    ),
)
# Three urgencies with longer target latencies the less urgent, and one large
# team. At load 1, the pieces of the first stage are as many as it can make.
_ORDER_CHAIN = ((INTAKE, (), 100_000), (PORTAL, (0,), 60_000))
CALL = stage_route('call', 1.7, 0, _ORDER_CHAIN)
ORDER = stage_route('order', 2.3, 1, _ORDER_CHAIN)
AUDIT = stage_route('audit', 3.2, 2, _ORDER_CHAIN)
GRADED = Desk(
    {
        INTAKE: stage_limits(8, 240, 25.5, 9.33),
        PORTAL: stage_limits(18, 240, 11.36, 20),
    },
    4,
    (
        (CALL, 8.0, 6.0, _graded_pieces, _usual_read_seconds),
        (ORDER, 8.0, 8.0, _graded_pieces, _usual_read_seconds),
        (AUDIT, 8.0, 12.0, _graded_pieces, _usual_read_seconds),
    ),
    _large_team,
)
DESKS = {'repair': REPAIR, 'lesson': LESSON, 'graded': GRADED}
