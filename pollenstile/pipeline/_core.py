"""What running a request depends on."""

from dataclasses import dataclass, field

from pollenstile.limits import CostAccount
from pollenstile.ops.logs import silent_log
from pollenstile.routing import choose_upstream


def _count_nothing(name, number=1):
    """Count nothing."""


def _hold_all(engine, model):
    """Return True: every engine holds what its pool declares."""
    return True


def _demand_nothing(request):
    """Count no demand."""


@dataclass(slots=True)
class Core:
    """Parts of one entry host that requests share.

    Parameters
    ==========

    clock : IReactorTime
        Real, or virtual under test.
    rng : random.Random
        Seeded under test.
    host : str
        The host's name, part of request identifiers.
    domain : str
        The host's failure domain.
    transport : function
        Starts a call; see :mod:`pollenstile.upstream`.
    tracker : Tracker
        State of upstreams and times of stages.
    retries : RetryBudget
        Shared by retries and hedges.
    ledger : Ledger
        Asserts the invariants.
    concurrency : Concurrency
        Adaptive limits of upstreams.
    admission : Admission
        Lets requests start.
    costs : CostAccount
        Cost by stage and team, wasted work included.
    claims : function or None
        ``await claims(request, run)`` returns the outcome of a keyed request,
        that of ``await run()`` or that of the one which holds the key.
    holds : function
        Takes an engine and a model, returns whether it takes work for it.
    demand : function
        Takes a request that is accepted, to count its calls by model.
    choose : function
        Picks an upstream; see :func:`pollenstile.routing.choose_upstream`.
    log : function
        Writes events.
    count : function
        Takes a metric's name and a number.
    timing : function
        Takes a metric's name and milliseconds.
    """

    clock: object
    rng: object
    host: str
    domain: str
    transport: object
    tracker: object
    retries: object
    ledger: object
    concurrency: object
    admission: object
    costs: object = field(default_factory=CostAccount)
    claims: object = None
    holds: object = _hold_all
    demand: object = _demand_nothing
    choose: object = choose_upstream
    log: object = silent_log
    count: object = _count_nothing
    timing: object = _count_nothing
