"""Shared dependencies of all requests that an entry host runs."""

from dataclasses import dataclass, field

from pollenstile.limits import CostAccount
from pollenstile.ops.logs import silent_log
from pollenstile.permission import Permissions, build_permissions
from pollenstile.pipeline._departure import Departure
from pollenstile.routing import choose_upstream


def _ignore_count(name, number=1):
    """Ignore a metric; the default without metrics."""


def _assume_served(engine, model):
    """Return True: without placement an engine serves its pool's models."""
    return True


def _ignore_demand(request):
    """Ignore a request's demand; the default without placement."""


def _keep_open(upstream):
    """Close no connections; the default of a transport without pools."""


@dataclass(slots=True)
class Core:
    """Components of one entry host that all requests share.

    Parameters
    ==========

    clock : IReactorTime
        The reactor, or a virtual clock in tests.
    rng : random.Random
        Random numbers; seeded in tests.
    host : str
        The host's name, which is part of request identifiers.
    domain : str
        The host's failure domain.
    transport : function
        Starts a call; see :mod:`pollenstile.upstream`.
    tracker : Tracker
        State of upstreams and measured times of stages.
    retries : RetryBudget
        Budget that retries and hedges share.
    ledger : Ledger
        Checks the invariants of requests.
    concurrency : Concurrency
        Adaptive concurrency limits of upstreams.
    admission : Admission
        Admits requests, or refuses them.
    costs : CostAccount
        Cost by stage and team, including wasted work.
    claims : function or None
        ``await claims(request, run)`` returns the outcome of a request with an
        idempotency key: that of ``await run()``, or that of the earlier
        request that holds the key.
    holds : function
        Takes the names of an engine and a model; returns whether the engine
        accepts work for the model.
    demand : function
        Counts the calls of an accepted request by model.
    choose : function
        Selects an upstream; see :func:`pollenstile.routing.choose_upstream`.
    close_idle : function
        Closes the idle connections to an upstream.
    departure : Departure
        When the host, once it leaves, ends its requests.
    permissions : Permissions or None
        Whether the host may call an upstream, by what the upstream states; None
        creates those of a host that is alone.
    log : function
        Logs an event.
    count : function
        Takes a metric's name and the number to add.
    timing : function
        Takes a metric's name and a duration in milliseconds.
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
    holds: object = _assume_served
    demand: object = _ignore_demand
    choose: object = choose_upstream
    close_idle: object = _keep_open
    departure: Departure = field(default_factory=Departure)
    permissions: Permissions | None = None
    log: object = silent_log
    count: object = _ignore_count
    timing: object = _ignore_count

    def __post_init__(self):
        if self.permissions is None:
            self.permissions = build_permissions(
                self.clock, self.rng, self.host, self.domain, {}, self.log
            )

    @property
    def rates(self):
        """Limits of calls to upstreams that state a request rate."""
        return self.permissions.rates
