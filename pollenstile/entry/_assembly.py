"""Putting one entry host together."""

from pollenstile.entry._node import Node
from pollenstile.fleet import InForce
from pollenstile.limits import Admission, Concurrency, CostAccount, RetryBudget
from pollenstile.ops.logs import silent_log
from pollenstile.ops.metrics import Metrics
from pollenstile.pipeline import Core, Ledger
from pollenstile.routing import Tracker

_BOOT_BITS = 48
_RETRY_RATIO = 0.1


def built_node(
    clock,
    rng,
    settings,
    transport,
    *,
    log=silent_log,
):
    """Return a host's node; nothing listens yet.

    Parameters
    ==========

    clock : IReactorTime
        The reactor, or a virtual clock.
    rng : random.Random
        Seeded under test.
    settings : Settings
        With ``host``, ``domain`` and ``max_running``.
    transport : function
        Makes calls; see :mod:`pollenstile.upstream`.
    """
    metrics = Metrics()
    tracker = Tracker(clock)
    concurrency = Concurrency(clock)
    core = Core(
        clock=clock,
        rng=rng,
        host=settings.host,
        domain=settings.domain,
        transport=transport,
        tracker=tracker,
        retries=RetryBudget(_RETRY_RATIO),
        ledger=Ledger(log, metrics.count),
        concurrency=concurrency,
        admission=Admission(
            clock,
            tracker,
            concurrency,
            settings.max_running,
            log=log,
            count=metrics.count,
        ),
        costs=CostAccount(metrics.count),
        log=log,
        count=metrics.count,
        timing=metrics.timing,
    )
    boot = f'{rng.getrandbits(_BOOT_BITS):012x}'
    in_force = InForce(log)
    in_force.listeners.append(_ratio_setter(core.retries))
    return Node(core, in_force, metrics, boot)


def _ratio_setter(retries):
    def set_ratio(snapshot):
        retries.ratio = snapshot.manifest.policy.retry_ratio

    return set_ratio
