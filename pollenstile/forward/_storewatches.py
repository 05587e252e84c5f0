"""What a host watches in the store: upstreams, hosts, drained domains."""

from pollenstile.forward import events
from pollenstile.forward._drained import DRAINED
from pollenstile.forward._members import HOSTS
from pollenstile.forward._registry import UPSTREAMS
from pollenstile.ops.logs import silent_log
from pollenstile.platform import WatchTiming, watch
from pollenstile.quarantine import QUARANTINE_KIND

# Registry: a watch is answered within this time. One that went silent with all
# connections is noticed and armed anew within 2.5 s; from 3 s after such a
# fault on, an upstream that leaves must get nothing more 2 s later. Each call
# of the store is paid for.
_REGISTRY_TIMING = WatchTiming(
    poll=2.0,
    margin=0.5,
    rearm=0.2,
    list_every=20.0,
    list_within=1.5,
    backoff=0.15,
    backoff_cap=0.5,
)
# Hosts: when all start at once, each entry wakes all watches; a second's pause
# takes many of them in one answer.
_HOSTS_TIMING = WatchTiming(
    poll=10.0,
    margin=1.5,
    rearm=1.0,
    list_every=45.0,
    list_within=2.0,
    backoff=0.3,
    backoff_cap=2.0,
)
# Verdicts go from host to host; the store's word is for hosts that start, and
# for what an operator has lifted.
_QUARANTINE_TIMING = WatchTiming(
    poll=20.0,
    margin=1.5,
    rearm=1.0,
    list_every=60.0,
    list_within=2.5,
    backoff=0.3,
    backoff_cap=2.0,
)
# Share of the bound on draining a domain for which the store holds a watch.
_DRAINS_POLL_SHARE = 0.5


class StoreWatches:
    """The watches of one host, and what their news changes.

    Parameters
    ==========

    parts : Parts
        Of the host; its source hears of all news as well.
    decode_upstream : function
        From a name and a stored value to an upstream, or None.
    clock : IReactorTime
        Times the watches.
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
        """Watch from now on.

        Parameters
        ==========

        drain_seconds : float
            Within this time a domain that was drained gets nothing more.
        """
        registry = self.parts.core.registry
        self._watch(
            UPSTREAMS,
            self._upstream_changed,
            registry.note_listed,
            _REGISTRY_TIMING,
        )
        members = self.parts.members
        self._watch(HOSTS, members.take, members.note_listed, _HOSTS_TIMING)
        drained = self.parts.drained
        self._watch(
            DRAINED,
            drained.take,
            drained.note_listed,
            _drains_timing(drain_seconds),
        )
        self._watch(
            QUARANTINE_KIND,
            self.parts.record.take,
            _nothing_to_do,
            _QUARANTINE_TIMING,
        )

    def stop(self):
        """End all watches."""
        for running in self.running:
            running.stop()

    def _watch(self, kind, callback, note_listed, timing):
        source = self.parts.relay.source

        def take(change):
            source.note(change)
            callback(change)

        def listed(running):
            note_listed()
            return running

        running = watch(
            self.parts.relay.store,
            kind,
            take,
            self.clock,
            self.rng,
            self.log,
            timing=timing,
        )
        source.add(kind, running)
        self.running.append(running)
        running.ready.addCallback(listed)

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
        self.parts.core.registry.take(change.name, upstream)


def _drains_timing(bound):
    """Return the times of the watch of drained domains.

    Parameters
    ==========

    bound : float
        Seconds after which a drained domain must get nothing more. A watch
        that went silent has to be noticed and armed anew well within them.
    """
    return WatchTiming(
        poll=_DRAINS_POLL_SHARE * bound,
        margin=0.5,
        rearm=0.1,
        list_every=45.0,
        list_within=2.5,
        backoff=0.2,
        backoff_cap=0.5,
    )


def _nothing_to_do():
    """Take that a whole list of verdicts has come: none is waited for."""
