"""Builders of hosts of one domain that share a reader of the store."""

from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.forward import ConfigurationReader
from pollenstile.peer import Unanswered
from pollenstile.platform import WatchTiming, watch
from pollenstile.relay import Follower, RelayStore, Source, reader_of
from pollenstile.routes import RouteTable
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.reach import ReachedStore

KIND = 'upstreams'
# As the daemon has them: see its registry's watch.
_TIMING = WatchTiming(2.0, 0.5, 0.05, 20.0, 1.5, 0.15, 0.5)
_REVOKE = 5.0
_STEP = 0.005
_ORDER = ('r', 's')


class _CountedStore:
    """Counts the calls that pass to a store."""

    def __init__(self, store):
        self.store = store
        self.calls = 0

    def __getattr__(self, name):
        self.calls += 1
        return getattr(self.store, name)


class RelayHost:
    """One host: its configuration, its upstreams, its relay.

    Attributes
    ==========

    parted : bool
        Whether it can't reach the store.
    frozen : bool
        Whether it answers nobody.
    gone : bool
        Whether its peers have lost their links to it.
    upstreams : dict
        As its watch has told it.
    """

    def __init__(self, fleet, name, store=None):
        self.name = name
        self.parted = False
        self.frozen = False
        self.gone = False
        self.upstreams = {}
        clock = fleet.clock
        self.calls = _CountedStore(
            ReachedStore(store or fleet.store, lambda: self.parted)
        )
        self.configuration = ConfigurationReader(
            self.calls, clock, clock.seconds, Random(name), _decoded, _REVOKE
        )
        self.source = Source(name, clock, clock.seconds, self.configuration)
        self.follower = Follower(
            clock,
            clock.seconds,
            fleet.ask,
            self.configuration,
            lambda: reader_of(fleet.order, name, fleet.is_linked),
        )
        self.configuration.covered = self.follower.is_following
        self.configuration.followed = self.source.is_followed
        relayed = RelayStore(self.calls, clock, self.follower, (KIND,))
        self.watch = watch(
            relayed,
            KIND,
            self._take,
            clock,
            Random(name),
            fleet.log,
            timing=_TIMING,
        )
        self.source.add(KIND, self.watch)
        Deferred.fromCoroutine(self.configuration.run())
        self.follower.start()

    def _take(self, change):
        self.source.note(change)
        self.upstreams[change.name] = change.value
        if change.value is None:
            self.upstreams.pop(change.name)


class RelayFleet:
    """Hosts of one domain; ``r`` reads for them, then ``s``.

    Attributes
    ==========

    delay : float
        Seconds of a word's way.
    """

    def __init__(self, names):
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.order = _ORDER
        self.delay = 0.002
        self.logged = []
        self.write('config', 'main', 1)
        self.write(KIND, 'a', {'state': 'ready'})
        self.hosts = {}
        for name in names:
            self.hosts[name] = RelayHost(self, name)
        self.pass_by(3.0)

    def write(self, kind, name, value):
        """Write an object at once."""
        done = Deferred.fromCoroutine(self.store.put(kind, name, value))
        while not done.called:
            self.clock.advance(_STEP)

    def remove(self, kind, name):
        """Delete an object at once."""
        done = Deferred.fromCoroutine(self.store.delete(kind, name))
        while not done.called:
            self.clock.advance(_STEP)

    def pass_by(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)

    def is_linked(self, name):
        """Return whether hosts can ask another one."""
        return name in self.hosts and not self.hosts[name].gone

    def ask(self, name, subject, body, seconds):
        """Carry an ask and its answer, each on its way for a while."""
        answer = Deferred()
        answer.addTimeout(
            seconds,
            self.clock,
            onTimeoutCancel=lambda *_: Unanswered('ask', name, 'timeout'),
        )
        self.clock.callLater(self.delay, self._arrive, name, body, answer)
        return answer

    def log(self, event, level='info', **fields):
        """Note a log line."""
        self.logged.append(event.name)

    def _arrive(self, name, body, answer):
        host = self.hosts[name]
        if host.frozen or host.gone:
            return
        told = host.source.answer('asker', body)
        told.addCallback(self._send_back, host, answer)

    def _send_back(self, word, host, answer):
        if not host.frozen:
            self.clock.callLater(self.delay, _fire, answer, word)


def _decoded(value):
    return RouteTable(value)


def _fire(answer, word):
    if not answer.called:
        answer.callback(word)
