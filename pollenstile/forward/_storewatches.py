"""Store watches of a host: upstreams, hosts, drains and quarantine."""

from pollenstile.forward import events
from pollenstile.forward._drained import DRAINED
from pollenstile.forward._members import HOSTS
from pollenstile.forward._registry import UPSTREAMS
from pollenstile.forward._registryreads import build_registry_reads
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import guarded
from pollenstile.platform import WatchTiming, watch
from pollenstile.quarantine import QUARANTINE_KIND

# Watch of upstreams. A watch that became unresponsive together with all
# connections is detected and rearmed within 2.5 s (poll and margin). From 3 s
# after such a fault on, an upstream that leaves must get no new work within
# 2 s. The poll is not shorter, as each call of the store is billed.
_REGISTRY_TIMING = WatchTiming(
    poll=2.0,
    margin=0.5,
    rearm=0.2,
    list_every=20.0,
    list_within=1.5,
    backoff=0.15,
    backoff_cap=0.5,
)
# Watch of hosts. When all hosts start at once, each entry wakes all watches. A
# pause of one second combines many changes in one answer.
_HOSTS_TIMING = WatchTiming(
    poll=10.0,
    margin=1.5,
    rearm=1.0,
    list_every=45.0,
    list_within=2.0,
    backoff=0.3,
    backoff_cap=2.0,
)
# Watch of quarantine verdicts. Hosts exchange verdicts directly; the store
# serves hosts that start, and verdicts that an operator has lifted.
_QUARANTINE_TIMING = WatchTiming(
    poll=20.0,
    margin=1.5,
    rearm=1.0,
    list_every=60.0,
    list_within=2.5,
    backoff=0.3,
    backoff_cap=2.0,
)
# Duration of a watch of drained domains, as a share of the bound on a drain.
_DRAINED_POLL_SHARE = 0.5


class StoreWatches:
    """Watches the store and applies changes to the parts of a host.

    Parameters
    ==========

    parts : HostParts
        Parts of the host; all changes are also passed to its relay source.
    decode_upstream : function
        Decodes a name and a stored value to an upstream, or returns None.
    clock : IReactorTime
        Schedules the watches.
    rng : random.Random
        Source of the jitter.
    log : function
        Writes events.
    """

    __slots__ = ('clock', 'decode_upstream', 'log', 'parts', 'rng', 'running')

    def __init__(self, parts, decode_upstream, clock, rng, log=silent_log):
        self.parts = parts
        self.decode_upstream = decode_upstream
        self.clock = clock
        self.rng = rng
        self.log = log
        self.running = []

    def start(self, drain_seconds):
        """Start all watches.

        Parameters
        ==========

        drain_seconds : float
            Time after which a drained domain must get no new work.
        """
        registry = self.parts.core.registry
        upstreams = self._watch(
            UPSTREAMS,
            self._upstream_changed,
            registry.note_listed,
            _REGISTRY_TIMING,
        )
        upstreams.batched = registry.indexing.opened
        reads = build_registry_reads(
            self.parts, self.clock, upstreams, self.log
        )
        self.parts.core.origins.read_registry = reads.begun_now
        members = self.parts.members
        hosts = self._watch(
            HOSTS, members.apply, members.note_listed, _HOSTS_TIMING
        )
        hosts.batched = members.notifying.opened
        drained = self.parts.drained
        self._watch(
            DRAINED,
            drained.take,
            drained.note_listed,
            _drained_timing(drain_seconds),
        )
        self._watch(
            QUARANTINE_KIND,
            self.parts.record.take,
            _ignore_listing,
            _QUARANTINE_TIMING,
        )

    def stop(self):
        """Stop all watches."""
        for running in self.running:
            running.stop()

    def _watch(self, kind, callback, note_listed, timing):
        source = self.parts.relay.source

        def handle_change(change):
            source.note(change)
            callback(change)

        def handle_listed(running):
            guarded(self.log, f'watch of {kind}', note_listed)()
            return running

        running = watch(
            self.parts.relay.store,
            kind,
            handle_change,
            self.clock,
            self.rng,
            self.log,
            timing=timing,
        )
        running.revision_times = self.parts.core.configuration.revision_times
        source.add(kind, running)
        self.running.append(running)
        running.ready.addCallback(handle_listed)
        return running

    def _upstream_changed(self, change):
        upstream = None
        if change.value is not None:
            upstream = self.decode_upstream(change.name, change.value)
            if upstream is None:
                self.log(
                    events.UPSTREAM_UNREADABLE,
                    level='warning',
                    peer=change.name,
                    version=change.version,
                )
        self.parts.core.registry.apply(
            change.name, upstream, after_return=change.after_return
        )


def _drained_timing(bound):
    """Return the timing of the watch of drained domains.

    Parameters
    ==========

    bound : float
        Time in seconds after which a drained domain must get no new work. An
        unresponsive watch must be detected and rearmed well within this time.
    """
    return WatchTiming(
        poll=_DRAINED_POLL_SHARE * bound,
        margin=0.5,
        rearm=0.1,
        list_every=45.0,
        list_within=2.5,
        backoff=0.2,
        backoff_cap=0.5,
    )


def _ignore_listing():
    """Ignore that a full list of verdicts was received; nothing awaits it."""
