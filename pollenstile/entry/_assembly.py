"""Assembles the components of one entry host."""

from functools import partial

from pollenstile.claims import Claims, connect_peers, note_return
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
from pollenstile.platform import EraStore
from pollenstile.placement import build_placement
from pollenstile.ratelimits import RateSharing
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
    permissions=None,
):
    """Return the node of a host; it opens no port.

    Parameters
    ==========

    clock : IReactorTime
        The reactor, or a virtual clock.
    rng : random.Random
        Random numbers; seeded in tests.
    settings : Settings
        Provides ``host``, ``domain`` and ``max_running``.
    transport : function
        Starts calls; see :mod:`pollenstile.upstream`.
    store : Store or None
        The object API, for claims; without it repeated idempotency keys are
        not recognised.
    permissions : Permissions or None
        What upstreams state, which the transport notes.
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
        permissions=permissions,
        log=log,
        count=metrics.count,
        timing=metrics.timing,
    )
    boot = f'{rng.getrandbits(_BOOT_BITS):012x}'
    in_force = InForce(log)
    in_force.listeners.append(_make_ratio_setter(core.retries))
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
        if isinstance(store, EraStore):
            restore = partial(note_return, node.claims)
            store.eras.on_first = restore
            store.eras.listeners.append(restore)
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
    """Return the fleet component of a host; it is not started.

    Parameters
    ==========

    node : Node
        The host.
    settings : Settings
        Provides ``peer_key``, ``peer_listen`` and ``peers``.
    connect : function
        Opens connections to peers; see :class:`~pollenstile.peer.Hub`.
    read_load : function
        Requests the load report of an upstream.
    store : Store or None
        The object API, rate-limited.
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
        hub.dialer.seeds = tuple(
            format_address(address) for address in settings.peers
        )
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
    sharing = RateSharing(hub, core.rates, {}, core.log)
    fleet.live_listeners.append(_make_host_setter(core, sharing))
    node.in_force.listeners.append(_make_cleaner(core.permissions))
    return fleet


def add_placement(node, store, orders, ticket, suspend_clock):
    """Add the placement component to a host; it is not started.

    Parameters
    ==========

    node : Node
        The host.
    store : Store
        The object API, rate-limited.
    orders : object
        Reads the state of engines and sends orders to them.
    ticket : function
        Requests permission from the weight store to load a model.
    suspend_clock : function
        Returns seconds on a clock that includes suspended time.
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


def _make_host_setter(core, sharing):
    def set_hosts(live):
        peers = {name: live[name] for name in live if name != core.host}
        sharing.hosts.clear()
        sharing.hosts.update(peers)
        core.rates.update_hosts(
            {name: record.domain for name, record in peers.items()}
        )

    return set_hosts


def _make_cleaner(permissions):
    def forget_removed(snapshot):
        pools = snapshot.manifest.pools.values()
        permissions.forget_old(
            {name for pool in pools for name in pool.upstreams}
        )

    return forget_removed


def _make_ratio_setter(retries):
    def set_ratio(snapshot):
        retries.ratio = snapshot.manifest.policy.retry_ratio

    return set_ratio
