"""Reads of the configuration and the host list from the platform."""

from twisted.internet.defer import Deferred, maybeDeferred

from pollenstile.fleet import events
from pollenstile.fleet._inforce import Lineage
from pollenstile.peer import rank_candidates
from pollenstile.platform import Found, HostList, WatchTiming, watch

CONFIG_KIND = 'config'
CONFIG_NAME = 'manifest'
# Fields of a stored manifest: the mark of its write, and of those before it.
MARK_FIELD = 'apply'
HISTORY_FIELD = 'history'

# Number of hosts per domain that watch the configuration, and number of those
# that read the host list.
_WATCHING_HOSTS = 3
_LISTING_HOSTS = 2
# Seconds between reads of the configuration by the other hosts. A manifest for
# 1,400 teams has 250 KB; reading it once a minute would by itself take twice
# the bandwidth that a host may use for control.
_READ_SECONDS = 600.0
_TIMING = WatchTiming(list_every=600.0)
# Seconds between reads of the host list.
_LIST_SECONDS = 3.0
# Seconds after which a host that is no longer chosen stops its watch.
_STOP_WATCH_SECONDS = 15.0


def lineage_of(value):
    """Return the :class:`Lineage` of a stored manifest."""
    mark = value.get(MARK_FIELD)
    history = value.get(HISTORY_FIELD)
    return Lineage(
        mark if isinstance(mark, str) else '',
        tuple(history) if isinstance(history, list) else (),
    )


async def read_config(store, in_force):
    """Read the configuration once and offer it to this host."""
    found = await store.get(CONFIG_KIND, CONFIG_NAME)
    if isinstance(found, Found):
        offer_config(in_force, found.version, found.value)


def offer_config(in_force, version, value):
    """Offer an object's value to this host; return whether it was accepted."""
    text = value.get('text') if isinstance(value, dict) else None
    if isinstance(text, str):
        lineage = lineage_of(value)
        return in_force.offer(version, text, 'platform', lineage)
    in_force.log(events.CONFIG_MALFORMED, level='error', version=version)
    return False


class PlatformReader:
    """Reads the platform with as few calls as the fleet needs.

    Explanation
    ===========

    The platform counts each call, including a waiting watch, and its rate
    limits grow more slowly than the fleet. Three hosts of each domain, chosen
    by rendezvous hashing over the live ones, watch the configuration, and two
    read the host list; the others receive updates from peers and read the
    configuration themselves every ten minutes. A host that knows no other live
    hosts watches it too.

    Parameters
    ==========

    store : Store
        The object API.
    read_hosts : function or None
        Returns a Deferred of ``HostList`` or ``Unavailable``.
    in_force : InForce
        Receives configurations.
    upstreams : Upstreams
        Receives the host list.
    random : random.Random
        Source of the jitter.
    """

    __slots__ = (
        'chosen_at',
        'clock',
        'in_force',
        'list_at',
        'log',
        'random',
        'read_at',
        'read_hosts',
        'reading',
        'store',
        'upstreams',
        'watch',
    )

    def __init__(self, store, read_hosts, in_force, upstreams, random):
        self.store = store
        self.read_hosts = read_hosts
        self.in_force = in_force
        self.upstreams = upstreams
        self.clock = upstreams.clock
        self.log = upstreams.log
        self.random = random
        self.watch = None
        self.chosen_at = 0.0
        self.read_at = 0.0
        self.list_at = 0.0
        self.reading = False

    def stop(self):
        """Stop the watch."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None

    def tick(self):
        """Start the watch or the reads that are due; called often."""
        now = self.clock.seconds()
        hosts = self.upstreams.hosts
        own = hosts.live.get(hosts.name)
        names = hosts.names_in(own.domain) if own else [hosts.name]
        if self.store is not None:
            self._update_config(
                hosts.name in rank_candidates('config', names, _WATCHING_HOSTS),
                now,
            )
        is_listing = hosts.name in rank_candidates(
            'hosts', names, _LISTING_HOSTS
        )
        if self.read_hosts is not None and is_listing and now >= self.list_at:
            self.list_at = now + _LIST_SECONDS * self.random.uniform(0.8, 1.2)
            call = maybeDeferred(self.read_hosts)
            call.addCallback(self._on_hosts)

    def _update_config(self, chosen, now):
        if chosen or self.in_force.snapshot is None:
            self.chosen_at = now
            if self.watch is None:
                self.watch = self._watch()
            return
        # The watch is kept for a while: while the fleet is restarted, this host
        # may soon be chosen again.
        if (
            self.watch is not None
            and now - self.chosen_at > _STOP_WATCH_SECONDS
        ):
            self.stop()
            self._schedule_read(now)
        if self.watch is None and now >= self.read_at:
            self._schedule_read(now)
            Deferred.fromCoroutine(read_config(self.store, self.in_force))

    def _schedule_read(self, now):
        self.read_at = now + _READ_SECONDS * self.random.uniform(0.5, 1.5)

    def _watch(self):
        return watch(
            self.store,
            CONFIG_KIND,
            self._on_change,
            self.clock,
            self.random,
            self.log,
            prefix=CONFIG_NAME,
            timing=_TIMING,
        )

    def _on_change(self, change):
        if change.name == CONFIG_NAME:
            offer_config(self.in_force, change.version, change.value)

    def _on_hosts(self, outcome):
        if not isinstance(outcome, HostList):
            self.log(
                events.HOSTS_UNREAD,
                level='warning',
                peer=outcome.peer,
                reason=outcome.reason,
            )
            return
        for entry in outcome.hosts:
            self.upstreams.record_listed(entry)
