"""News from the platform: the configuration and the host list."""

from twisted.internet.defer import Deferred, maybeDeferred

from pollenstile.fleet import events
from pollenstile.peer import rank_candidates
from pollenstile.platform import Found, HostList, WatchTiming, watch

CONFIG_KIND = 'config'
CONFIG_NAME = 'manifest'

_WATCHING = 3
_LISTING = 2
# A manifest for 1,400 teams has 250 KB. Read once a minute it alone would take
# twice what a host may spend on control.
_READ_SECONDS = 600.0
_TIMING = WatchTiming(list_every=600.0)
_LIST_SECONDS = 3.0
_UNWATCH_SECONDS = 15.0


async def config_read(store, in_force):
    """Read the configuration once and offer it to the host."""
    found = await store.get(CONFIG_KIND, CONFIG_NAME)
    if isinstance(found, Found):
        offered(in_force, found.version, found.value)


def offered(in_force, version, value):
    """Offer an object's value to a host; return whether it was taken."""
    text = value.get('text') if isinstance(value, dict) else None
    if isinstance(text, str):
        return in_force.offer(version, text, 'platform')
    in_force.log(events.CONFIG_MALFORMED, level='error', version=version)
    return False


class PlatformNews:
    """Reads what the platform tells, as little as the fleet needs.

    Explanation
    ===========

    The platform counts each call, a waiting watch as one, and its rates grow
    more slowly than the fleet. So three hosts of each domain watch the
    configuration, by rendezvous over the live ones, and two read the host
    list; the others learn from peers and look for themselves every ten minutes.
    A host that sees no others watches itself.

    Parameters
    ==========

    store : Store
        The object API.
    read_hosts : function or None
        Returns a Deferred of ``HostList`` or ``Unavailable``.
    in_force : InForce
        Takes configurations.
    upstreams : Upstreams
        Takes the host list.
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
        """Read nothing more."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None

    def tick(self):
        """Watch or read what is due; called often."""
        now = self.clock.seconds()
        hosts = self.upstreams.hosts
        own = hosts.live.get(hosts.name)
        names = hosts.names_in(own.domain) if own else [hosts.name]
        if self.store is not None:
            self._config(
                hosts.name in rank_candidates('config', names, _WATCHING), now
            )
        listing = hosts.name in rank_candidates('hosts', names, _LISTING)
        if self.read_hosts is not None and listing and now >= self.list_at:
            self.list_at = now + _LIST_SECONDS * self.random.uniform(0.8, 1.2)
            call = maybeDeferred(self.read_hosts)
            call.addCallback(self._listed)

    def _config(self, chosen, now):
        if chosen or self.in_force.snapshot is None:
            self.chosen_at = now
            if self.watch is None:
                self.watch = self._watch()
            return
        # The choice may come back at once while the fleet is restarted.
        if self.watch is not None and now - self.chosen_at > _UNWATCH_SECONDS:
            self.stop()
            self._read_later(now)
        if self.watch is None and now >= self.read_at:
            self._read_later(now)
            Deferred.fromCoroutine(config_read(self.store, self.in_force))

    def _read_later(self, now):
        self.read_at = now + _READ_SECONDS * self.random.uniform(0.5, 1.5)

    def _watch(self):
        return watch(
            self.store,
            CONFIG_KIND,
            self._changed,
            self.clock,
            self.random,
            self.log,
            prefix=CONFIG_NAME,
            timing=_TIMING,
        )

    def _changed(self, change):
        if change.name == CONFIG_NAME:
            offered(self.in_force, change.version, change.value)

    def _listed(self, outcome):
        if not isinstance(outcome, HostList):
            self.log(
                events.HOSTS_UNREAD,
                level='warning',
                peer=outcome.peer,
                reason=outcome.reason,
            )
            return
        for entry in outcome.hosts:
            self.upstreams.listed(entry)
