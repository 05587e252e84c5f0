"""Builders of hosts of one domain that follow one store reader."""

from random import Random

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.forward import DRAINED, Configuration
from pollenstile.peer import Unanswered
from pollenstile.platform import WatchTiming, paused, watch
from pollenstile.relay import Follower, RelayStore, Source, select_reader
from pollenstile.routes import RouteTable
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.partition import PartitionedStore

KIND = 'upstreams'
# The timing of the daemon's registry watch.
_TIMING = WatchTiming(2.0, 0.5, 0.05, 20.0, 1.5, 0.15, 0.5)
_REVOKE_SECONDS = 5.0
# Seconds for which an update is valid where the bound on changes is 3 s.
_UPDATE_VALIDITY_SECONDS = 2.55
_STEP = 0.005
_ORDER = ('r', 's')


class _CountedStore:
    """Counts the calls of a store and records the listed kinds."""

    def __init__(self, store):
        self.store = store
        self.calls = 0
        self.listed_kinds = []

    def listed(self, kind, *args):
        """Record and forward a list call."""
        self.calls += 1
        self.listed_kinds.append(kind)
        return self.store.listed(kind, *args)

    def __getattr__(self, name):
        self.calls += 1
        return getattr(self.store, name)


class Link:
    """Network link of a host that transmits one message after the other.

    Attributes
    ==========

    rate : float
        Bytes a second; 0 for a link without transmission time.
    carried : int
        Bytes of the store's answers.
    largest : int
        Bytes of the largest answer.
    """

    def __init__(self, clock):
        self.clock = clock
        self.rate = 0
        self.carried = 0
        self.largest = 0
        self.free_at = 0.0

    def carry(self, size):
        """Return a Deferred that fires when some bytes have arrived."""
        begins = max(self.free_at, self.clock.seconds())
        seconds = size / self.rate if self.rate else 0
        self.free_at = begins + seconds
        return paused(self.clock, self.free_at - self.clock.seconds())


class LinkedStore:
    """Store whose answers are transmitted over a host's link."""

    def __init__(self, store, link):
        self.store = store
        self.link = link
        self.arriving = 0

    def __getattr__(self, name):
        return getattr(self.store, name)

    def is_answering(self):
        """Return whether an answer is being received."""
        return self.arriving > 0

    async def get(self, *args):
        """Transmit an object."""
        return await self._carried(self.store.get(*args))

    async def listed(self, *args):
        """Transmit a list."""
        return await self._carried(self.store.listed(*args))

    async def watched(self, *args):
        """Transmit changes."""
        return await self._carried(self.store.watched(*args))

    async def _carried(self, call):
        outcome = await call
        size = len(msgspec.json.encode(outcome))
        self.link.carried += size
        self.link.largest = max(self.link.largest, size)
        self.arriving += 1
        await self.link.carry(size)
        self.arriving -= 1
        return outcome


class RelayHost:
    """One host with its configuration, watches, source and follower.

    Attributes
    ==========

    is_partitioned : bool
        Whether the host can't reach the store.
    frozen : bool
        Whether the host answers no requests.
    gone : bool
        Whether the host's peers have lost their links to it.
    upstreams : dict
        Upstreams reported by the host's watch.
    drained : set of str
        Drained domains reported by the host's other watch.
    relayed : RelayStore
        Store that the watches call.
    """

    def __init__(self, fleet, name, store=None):
        self.name = name
        self.is_partitioned = False
        self.frozen = False
        self.gone = False
        self.upstreams = {}
        self.drained = set()
        clock = fleet.clock
        self.link = Link(clock)
        reached = PartitionedStore(
            store or fleet.store, lambda: self.is_partitioned
        )
        self.calls = _CountedStore(LinkedStore(reached, self.link))
        self.configuration = Configuration(
            self.calls,
            clock,
            clock.seconds,
            Random(name),
            _decode_config,
            _REVOKE_SECONDS,
            fleet.log,
        )
        self.source = Source(name, clock, clock.seconds, self.configuration)
        self.follower = Follower(
            clock,
            clock.seconds,
            fleet.ask,
            self.configuration,
            lambda skipped: select_reader(
                fleet.order,
                name,
                lambda one: fleet.is_linked(one) and not skipped(one),
            ),
            fleet.log,
        )
        self.follower.update_validity_seconds = _UPDATE_VALIDITY_SECONDS
        self.follower.rank = lambda: list(fleet.hosts).index(name)
        self.configuration.loop.can_skip_reads = self.follower.is_following
        self.configuration.loop.has_followers = self.source.is_followed
        self.configuration.loop.is_answering = self.calls.store.is_answering
        relayed = RelayStore(
            self.calls,
            clock,
            self.follower,
            (KIND, DRAINED),
            deferred_kinds=(DRAINED,),
        )
        relayed.is_away = self.configuration.loop.is_failing
        self.relayed = relayed
        self._watch(fleet, relayed, KIND, self._apply_upstream)
        if fleet.drains:
            self._watch(fleet, relayed, DRAINED, self._apply_drain)
        Deferred.fromCoroutine(self.configuration.loop.run())
        self.follower.start()

    def _watch(self, fleet, store, kind, take):
        running = watch(
            store,
            kind,
            take,
            fleet.clock,
            Random(self.name),
            fleet.log,
            timing=_TIMING,
        )
        self.source.add(kind, running)

    def _apply_drain(self, change):
        self.source.note(change)
        self.drained.add(change.name)
        if change.value is None:
            self.drained.remove(change.name)

    def _apply_upstream(self, change):
        self.source.note(change)
        self.upstreams[change.name] = change.value
        if change.value is None:
            self.upstreams.pop(change.name)


class RelayFleet:
    """Hosts of one domain; ``r`` is the first reader and ``s`` the second.

    Attributes
    ==========

    delay : float
        Seconds that a message takes in one direction.
    links_at : float
        Time, on the clock, before which no host has links.
    update_sizes : list of int
        Bytes of each update that a reader has sent.
    drains : bool
        Whether hosts also watch the drained domains.
    logged : list of tuple
        Names and fields of the events that hosts have logged.
    """

    def __init__(self, names, *, drains=False):
        self.drains = drains
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.order = _ORDER
        self.delay = 0.002
        self.logged = []
        self.links_at = 0.0
        self.update_sizes = []
        self.write('config', 'main', 1)
        self.write(KIND, 'a', {'state': 'ready'})
        self.hosts = {}
        for name in names:
            self.hosts[name] = RelayHost(self, name)
        self.advance(3.0)

    def write(self, kind, name, value):
        """Write an object and wait until it is written."""
        done = Deferred.fromCoroutine(self.store.put(kind, name, value))
        while not done.called:
            self.clock.advance(_STEP)

    def remove(self, kind, name):
        """Delete an object and wait until it is deleted."""
        done = Deferred.fromCoroutine(self.store.delete(kind, name))
        while not done.called:
            self.clock.advance(_STEP)

    def advance(self, seconds):
        """Advance the clock in small steps."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)

    def is_linked(self, name):
        """Return whether hosts can send requests to another one."""
        linked = self.clock.seconds() >= self.links_at
        return linked and name in self.hosts and not self.hosts[name].gone

    def ask(self, name, subject, body, seconds):
        """Deliver a request and its answer, each after the delay."""
        answer = Deferred()
        answer.addTimeout(
            seconds,
            self.clock,
            onTimeoutCancel=lambda *_: Unanswered('ask', name, 'timeout'),
        )
        self.clock.callLater(
            self.delay, self._deliver_request, name, body, answer
        )
        return answer

    def log(self, event, level='info', **fields):
        """Record a log line."""
        self.logged.append((event.name, fields))

    def _deliver_request(self, name, body, answer):
        host = self.hosts[name]
        if host.frozen or host.gone:
            return
        encoded = host.source.answer('asker', body)
        encoded.addCallback(self._deliver_answer, host, answer)

    def _deliver_answer(self, update, host, answer):
        if host.frozen:
            return
        self.update_sizes.append(len(update))
        carried = host.link.carry(len(update))
        carried.addCallback(
            lambda _: self.clock.callLater(self.delay, _fire, answer, update)
        )


def large_config(version, routes=1750):
    """Return a configuration of 200 bytes a route."""
    rng = Random(7)
    rows = [
        {'name': f'r-{number}', 'host': f'{rng.getrandbits(700):x}'}
        for number in range(routes)
    ]
    rows[version % routes]['host'] = f'changed-{version}'
    return {'version': version, 'routes': rows}


def _decode_config(value):
    if isinstance(value, dict):
        return RouteTable(value['version'])
    if not isinstance(value, int):
        raise ValueError('no configuration')
    return RouteTable(value)


def _fire(answer, update):
    if not answer.called:
        answer.callback(update)
