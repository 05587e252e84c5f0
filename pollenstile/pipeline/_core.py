"""What running a request depends on."""

from dataclasses import dataclass, field

from pollenstile.limits import CostAccount
from pollenstile.ops.logs import silent_log
from pollenstile.routing import chosen


def _count_nothing(name, number=1):
    """Count nothing."""


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
    choose : function
        Picks an upstream; see :func:`pollenstile.routing.chosen`.
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
    choose: object = chosen
    log: object = silent_log
    count: object = _count_nothing
    timing: object = _count_nothing
