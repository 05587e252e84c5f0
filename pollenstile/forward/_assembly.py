"""Builds the parts of a forwarding entry host without starting them."""

import time
from dataclasses import dataclass
from functools import partial


from pollenstile.forward._budget import SharedRetryBudget
from pollenstile.forward._client import HttpClient
from pollenstile.forward._cold import ColdShares
from pollenstile.forward._configuration import Configuration
from pollenstile.forward._core import ForwardCore
from pollenstile.forward._drained import DRAINED, DrainedDomains
from pollenstile.forward._members import HOSTS, Members, PeerHost
from pollenstile.forward._originassembly import build_origin_parts
from pollenstile.forward._owners import StageOwners
from pollenstile.forward._pathassembly import add_paths, build_tunnel_server
from pollenstile.forward._peerkey import PeerKey
from pollenstile.forward._registry import UPSTREAMS, Registry
from pollenstile.forward._settings import update_seconds
from pollenstile.forward._stagecalls import StageCalls
from pollenstile.ops.logs import silent_log
from pollenstile.ops.settings import format_address
from pollenstile.origins import (
    Origins,
    OriginSharing,
    SoftwareHistory,
    SoftwareRecorder,
    StreamRecorder,
)
from pollenstile.peer import MIN_VERSION, VERSION, Hello, Hub, tcp_connect
from pollenstile.permission import LeavingSharing, build_permissions
from pollenstile.quarantine import (
    QUARANTINE_KIND,
    Quarantine,
    VerdictRecorder,
    VerdictSharing,
)
from pollenstile.ratelimits import RateSharing
from pollenstile.relay import (
    RELAY_SUBJECT,
    Follower,
    Readers,
    RelayStore,
    Source,
)
from pollenstile.stagework import StageClient, StageService
from pollenstile.tunnel import Paths, TunnelServer

_MS = 1000
# Hosts that share the retry budget of a stage service: its current owner and
# its previous owner. When the budget was divided among all hosts, an owner had
# 4 retries in 10 s, and 20 to 30 requests in a day with faults were refused
# because no retry was available.
_STAGE_SHARERS = 2
# Link timing, in seconds. A frozen or disconnected stage owner is detected in
# about a second, half of the time that a request may take.
_LINK_TICK_SECONDS = 0.2
_LINK_BEAT_SECONDS = 0.35
_LINK_SILENCE_SECONDS = 1.2
# A host that has just started relies on its last verification for this long
# instead of reading the store, as it may soon have a reader to follow.
_JOIN_VERIFIED_SECONDS = 1.2


@dataclass(slots=True)
class HostParts:
    """Parts of a host that its daemon starts and stops."""

    core: object
    hub: object
    members: object
    owners: object
    stages: object
    relay: object
    drained: DrainedDomains
    sharing: VerdictSharing
    record: VerdictRecorder
    rate_sharing: RateSharing
    leaving_sharing: LeavingSharing
    paths: Paths
    tunnels: TunnelServer
    origin_sharing: OriginSharing
    software_record: SoftwareRecorder
    stream_record: StreamRecorder
    stream_handover: object
    peer_key: PeerKey


@dataclass(slots=True)
class RelayParts:
    """Parts with which the hosts of a domain share one reader of the store."""

    source: Source
    follower: Follower
    readers: Readers
    store: RelayStore


def build_parts(
    reactor,
    settings,
    store,
    adapter,
    rng,
    suspend_clock,
    log=silent_log,
):
    """Build and connect the parts of a host.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Makes connections and timers.
    settings : HostSettings
        Names and time bounds.
    store : EraStore
        Holds the configuration, the registry and the entries of hosts.
    adapter : object
        Provides ``names``, ``codec`` and ``decode_table(value)``.
    suspend_clock : function
        Returns seconds, including time spent suspended.

    Returns
    =======

    HostParts
    """
    registry = Registry(reactor, log)
    registry.exits.leave_seconds = settings.leave_seconds
    configuration = Configuration(
        store,
        reactor,
        suspend_clock,
        rng,
        adapter.decode_table,
        settings.revoke_seconds,
        log,
    )
    configuration.apply_seconds = settings.apply_seconds
    hub = _build_hub(reactor, rng, settings, log)
    client = HttpClient(reactor)
    quarantine = Quarantine(reactor, settings.host, registry.count, log)
    permissions = build_permissions(
        reactor, rng, settings.host, settings.domain, log=log
    )
    budget = _build_budget(reactor, settings)
    owners = StageOwners(
        reactor,
        registry,
        configuration,
        _build_calls(reactor, client, adapter, registry, permissions, log),
        partial(budget.spend, sharers=_STAGE_SHARERS),
        quarantine,
        permissions,
        log,
    )
    owners.return_times = settings.return_times
    core = ForwardCore(
        reactor,
        rng,
        settings.domain,
        client,
        registry,
        configuration,
        budget,
        _build_stages(reactor, settings, hub, owners, log),
        adapter.names,
        log,
        cold=ColdShares(settings.host, settings.domain),
        quarantine=quarantine,
        permissions=permissions,
        origins=Origins(
            reactor, SoftwareHistory(reactor, configuration.is_fresh), log
        ),
        codec=adapter.codec,
    )
    core.conditions.is_enabled = settings.engine_speeds
    owners.calls.attach_crash_detector(core.crashes, quarantine)
    members = Members(
        store,
        reactor,
        settings.host,
        PeerHost(hub.hello.address, settings.domain, settings.capacity),
        log,
    )
    add_paths(reactor, rng, settings, hub, core, members, log)
    core.part_sources.has_lost_path = client.paths.lost.__contains__
    return _connect_parts(
        HostParts(
            core,
            hub,
            members,
            owners,
            core.stages,
            _build_relay(settings, store, suspend_clock, core, hub),
            DrainedDomains(registry, reactor, log),
            VerdictSharing(hub, quarantine, members.hosts, log),
            VerdictRecorder(store, quarantine, members.hosts, log),
            RateSharing(hub, permissions.rates, members.hosts, log),
            LeavingSharing(
                hub,
                permissions.leaving,
                members.hosts,
                registry.lists_leaving,
                log,
            ),
            client.paths,
            build_tunnel_server(reactor, hub, core, log),
            *build_origin_parts(store, settings, core, hub, members),
            PeerKey(store, reactor, settings.host, members.hosts, log),
        ),
        store.eras,
        rng,
    )


def _connect_parts(parts, eras, rng):
    """Let the parts know who reads the store, and when it has returned."""
    is_away = partial(_is_store_away, parts.relay)
    parts.software_record.is_following = parts.relay.follower.is_following
    parts.software_record.is_away = is_away
    parts.origin_sharing.asking.reader = partial(_reader, parts.relay.follower)
    parts.stream_record.is_away = is_away
    members = parts.members
    parts.stages.owner_wait.is_known = lambda: members.known
    configuration = parts.core.configuration
    eras.on_first = configuration.note_return
    parts.software_record.is_settled = configuration.settling.is_over
    eras.listeners.extend(
        (
            parts.relay.follower.return_wait.begin,
            configuration.note_return,
            parts.peer_key.note_return,
            partial(parts.members.note_return, rng),
            parts.record.note_return,
            parts.software_record.note_return,
        )
    )
    return parts


def _is_store_away(relay):
    """Return whether neither this host nor its reader has the store."""
    return not relay.follower.is_following() and relay.store.is_away()


def _reader(follower):
    """Return the host that reads the store for this one, if there is one."""
    return follower.following


def link_peers(parts):
    """Request links to stage owners and to readers of the store."""
    ownership = parts.stages.ownership
    wanted = ownership.wanted_links(parts.stages.limits)
    # Readers that were skipped are left out. With links to the first readers
    # only, a domain whose first readers can't reach the store would have each
    # host read the store itself.
    is_skipped = parts.relay.follower.skipped.is_skipped
    readers = [
        host for host in parts.relay.readers.order if not is_skipped(host)
    ]
    wanted.update(ownership.links_of(readers))
    parts.hub.dialer.wanted = wanted


def _build_budget(reactor, settings):
    return SharedRetryBudget(
        reactor,
        settings.repeat_ratio,
        settings.repeat_slack,
        settings.repeat_window,
    )


def _build_calls(reactor, client, adapter, registry, permissions, log):
    calls = StageCalls(
        reactor, client, adapter.codec, adapter.names, permissions, log
    )
    calls.on_misdirected = registry.drop
    return calls


def _build_stages(reactor, settings, hub, owners, log):
    stages = StageClient(settings.host, hub, reactor, owners.owner, log)
    stages.ownership.capacity = settings.capacity
    StageService(stages)
    return stages


def _build_relay(settings, store, suspend_clock, core, hub):
    clock = core.clock
    configuration = core.configuration
    ident = f'{settings.host}/{hub.hello.boot}'
    source = Source(ident, clock, suspend_clock, configuration)
    hub.requests.subjects[RELAY_SUBJECT] = source.answer
    readers = Readers(hub, settings.host, settings.domain, settings.capacity)
    follower = Follower(
        clock,
        suspend_clock,
        hub.ask,
        configuration,
        readers.current,
        core.log,
    )
    follower.rank = readers.rank
    source.era = store.eras.stated
    follower.note_era = store.eras.note
    follower.update_validity_seconds = update_seconds(settings)
    relayed = RelayStore(
        store,
        clock,
        follower,
        (UPSTREAMS, HOSTS, DRAINED, QUARANTINE_KIND),
        immediate_kind=HOSTS,
        deferred_kinds=(DRAINED, QUARANTINE_KIND),
    )

    def can_skip_reads():
        age = configuration.age()
        is_joining = relayed.is_joining() and age < _JOIN_VERIFIED_SECONDS
        # A valid update of the reader does not always verify the table here:
        # its revision may be older, or one that this host could not decode.
        is_verified = (
            follower.is_following() and age < follower.update_validity_seconds
        )
        is_settling = (
            follower.is_following()
            and configuration.is_settling()
            and suspend_clock() < follower.expires_at
        )
        is_waiting = follower.return_wait.is_on()
        return is_verified or is_joining or is_settling or is_waiting

    loop = configuration.loop

    def is_away():
        # Besides failed reads, a host that has begun to read the store itself
        # counts the store as away until one of its reads was answered.
        return loop.is_failing() or loop.read_at < follower.direct_since

    relayed.is_away = is_away
    follower.direct_listeners.append(loop.wake)
    loop.can_skip_reads = can_skip_reads
    loop.is_answering = store.is_answering
    loop.has_followers = source.is_followed
    loop.has_reader = follower.return_wait.has_candidate
    loop.on_probe = follower.return_wait.begin
    return RelayParts(source, follower, readers, relayed)


def _build_hub(reactor, rng, settings, log):
    hello = Hello(
        version=VERSION,
        least=MIN_VERSION,
        host=settings.host,
        domain=settings.domain,
        address=format_address(settings.peers),
        boot=int(time.time() * _MS),
    )
    hub = Hub(reactor, rng, hello, (), tcp_connect(reactor), log)
    hub.tick = _LINK_TICK_SECONDS
    hub.beat_period = _LINK_BEAT_SECONDS
    hub.silence_limit = _LINK_SILENCE_SECONDS
    return hub
