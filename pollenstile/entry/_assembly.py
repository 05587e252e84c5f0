"""Putting one entry host together."""

from pollenstile.claims import Claims, connect_peers
from pollenstile.entry._node import Node
from pollenstile.fleet import Fleet, InForce
from pollenstile.limits import (
    Admission,
    Concurrency,
    CostAccount,
    RetryBudget,
)
from pollenstile.ops.logs import silent_log
from pollenstile.ops.metrics import Metrics
from pollenstile.ops.settings import format_address
from pollenstile.peer import (
    MIN_VERSION,
    VERSION,
    Hello,
    Hub,
    parse_keys,
)
from pollenstile.pipeline import Core, Ledger
from pollenstile.placement import build_placement
from pollenstile.routing import Tracker

_BOOT_BITS = 48
_RETRY_RATIO = 0.1
_MS = 1000


def build_node(
    clock,
    rng,
    settings,
    transport,
    *,
    store=None,
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
    store : Store or None
        The object API, for claims; without it no key is recognised again.
    """
    metrics = Metrics()
    tracker = Tracker(clock)
    concurrency = Concurrency(clock, log=log)
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
    node = Node(core, in_force, metrics, boot)
    if store is not None:
        node.claims = Claims(
            store,
            clock,
            rng,
            settings.host,
            log,
            metrics.count,
        )
        core.claims = node.claims.outcome
    return node


def build_fleet(
    node,
    settings,
    connect,
    read_load,
    *,
    store=None,
    read_hosts=None,
):
    """Return a host's part in the fleet; not started.

    Parameters
    ==========

    node : Node
        The host.
    settings : Settings
        With ``peer_key``, ``peer_listen`` and ``peers``.
    connect : function
        Opens connections to peers; see :class:`~pollenstile.peer.Hub`.
    read_load : function
        Asks an upstream for its load.
    store : Store or None
        The object API, paced.
    read_hosts : function or None
        Reads the platform's host list.
    """
    core = node.core
    hello = Hello(
        version=VERSION,
        least=MIN_VERSION,
        host=core.host,
        domain=core.domain,
        address=format_address(settings.peer_listen),
        boot=int(core.clock.seconds() * _MS),
    )
    keys = parse_keys(settings.peer_key)
    hub = Hub(core.clock, core.rng, hello, keys, connect, core.log)
    if keys:
        hub.dialer.seeds = tuple(format_address(one) for one in settings.peers)
    fleet = Fleet(
        hub,
        node.in_force,
        core.tracker,
        store,
        read_hosts,
        read_load,
        core.log,
    )
    if node.claims is not None:
        connect_peers(node.claims, fleet.ask, fleet.answer)
    return fleet


def add_placement(node, store, orders, ticket, suspend_clock):
    """Give a host its part in placement; not started.

    Parameters
    ==========

    node : Node
        The host.
    store : Store
        The object API, paced.
    orders : object
        Looks at engines and orders them.
    ticket : function
        Asks the weight store whether a load may begin.
    suspend_clock : function
        Returns seconds, suspended time included.
    """
    node.placement = build_placement(
        node.core,
        node.boot,
        store,
        orders,
        ticket,
        suspend_clock,
    )
    node.in_force.listeners.append(node.placement.in_force)


def _ratio_setter(retries):
    def set_ratio(snapshot):
        retries.ratio = snapshot.manifest.policy.retry_ratio

    return set_ratio
