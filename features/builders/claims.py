"""Builders of entry hosts that share a claims log, in virtual time."""

from functools import partial
from random import Random

import msgspec
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import Clock

from features.builders.loop import advance_in_steps, collect_result
from pollenstile.claims import build_forwarder, connect_peers, sent
from pollenstile.claims._digests import object_name
from pollenstile.claims._records import segment_from
from pollenstile.entry import build_node
from pollenstile.manifest import (
    Domain,
    Manifest,
    Pipeline,
    Pool,
    Stage,
    Team,
    Upstream,
    text_from_manifest,
)
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.pipeline import Request, run_request
from pollenstile.platform import InDoubt, Unavailable
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    healthy_network,
)

WINDOW = 600
_NO_LIST = Unavailable('list', 'memory', 'no answer')
_DEADLINE_MS = 4000
_BREAK = 0.02


def _upstream(port):
    return Upstream('here', f'127.0.0.1:{port}', slots=64)


def manifest():
    """Return pipelines of a booking service that must not run twice."""
    once = Stage('book', 'booking', idempotent=False, attempts=1, expect_ms=50)
    look = Stage('look', 'members', expect_ms=20)
    common = {
        'deadline_ms': _DEADLINE_MS,
        'teams': ['salons', 'desks'],
        'idempotent': False,
        'claim_window_s': WINDOW,
    }
    return Manifest(
        name='claims',
        domains={'here': Domain('here')},
        pools={
            'booking': Pool('service', {'booking-1': _upstream(1)}),
            'members': Pool('service', {'members-1': _upstream(2)}),
        },
        pipelines={
            'log-minutes': Pipeline(stages=[look, once], **common),
            'deduped': Pipeline(stages=[once], upstream_dedupes=True, **common),
            'look-up': Pipeline(_DEADLINE_MS, ['salons'], [look]),
        },
        teams={'salons': Team(['0' * 64]), 'desks': Team(['1' * 64])},
    )


class HostCall:
    """A call that a host's clock makes later, if the host runs then."""

    def __init__(self, host_clock, delay, work):
        self.host_clock = host_clock
        self.work = work
        self.is_open = True
        self.timer = host_clock.clock.callLater(delay, self.due)

    def due(self):
        """Run, now or when the host goes on."""
        self.host_clock.run(self.fire)

    def fire(self):
        """Run, unless cancelled while the host was paused."""
        if self.is_open:
            self.is_open = False
            self.work()

    def active(self):
        """Return whether it is still to come."""
        return self.is_open

    def cancel(self):
        """Never run."""
        self.is_open = False
        if self.timer.active():
            self.timer.cancel()

    def reset(self, delay):
        """Run after a time from now instead."""
        if self.timer.active():
            self.timer.reset(delay)
            return
        self.timer = self.host_clock.clock.callLater(delay, self.due)


class HostClock:
    """A host's clock: stops for good or for a while with its host."""

    def __init__(self, clock):
        self.clock = clock
        self.dead = False
        self.paused = False
        self.held = []

    def seconds(self):
        """Return the time, which goes on while the host is paused."""
        return self.clock.seconds()

    def callLater(self, delay, function, *arguments, **named):
        """Call later, if the host runs then."""
        return HostCall(self, delay, partial(function, *arguments, **named))

    def run(self, function, *arguments):
        """Call now, when the host runs again, or never."""
        if self.dead:
            return
        if self.paused:
            self.held.append(partial(function, *arguments))
            return
        function(*arguments)

    def resume(self):
        """Let the host go on where it stood."""
        self.paused = False
        held = self.held
        self.held = []
        for work in held:
            work()


class Way:
    """A host's way to the store, with faults of single writes.

    Attributes
    ==========

    faults : list of str
        Of the next writes of claims, in order: ``'answer-lost'``,
        ``'request-lost'``, ``'late'`` (applied after ``late`` seconds, never
        answered) or ``'held'`` (sent on when ``arrive`` is called).
    cut : bool
        Nothing goes through, and nothing comes back.
    """

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.faults = []
        self.cut = False
        self.late = 5.0
        self.holding = []

    async def get(self, *arguments):
        """Pass a read on."""
        return await self._reached(self.store.get(*arguments), _NO_LIST)

    async def listed(self, *arguments, **named):
        """Pass a list on."""
        call = self.store.listed(*arguments, **named)
        return await self._reached(call, _NO_LIST)

    async def delete(self, *arguments):
        """Pass a deletion on."""
        lost = InDoubt('delete', 'memory', 'no answer')
        return await self._reached(self.store.delete(*arguments), lost)

    async def put(self, kind, name, value, if_version=None):
        """Pass a write on, or let it meet the next fault."""
        lost = InDoubt('put', 'memory', 'no answer')
        fault = self.faults.pop(0) if self.faults else ''
        call = self.store.put(kind, name, value, if_version)
        if fault == 'answer-lost':
            Deferred.fromCoroutine(call)
        elif fault == 'late':
            self.clock.clock.callLater(self.late, Deferred.fromCoroutine, call)
        elif fault == 'request-lost':
            call.close()
        elif fault == 'held':
            answer = Deferred()
            self.holding.append((call, answer))
            return await answer
        else:
            return await self._reached(call, lost)
        return await self._silence(lost)

    def arrive(self):
        """Send on the writes that were held."""
        for call, answer in self.holding:
            Deferred.fromCoroutine(call).addCallback(answer.callback)
        self.holding.clear()

    def _reached(self, call, lost):
        if self.cut:
            call.close()
            return self._silence(lost)
        answer = Deferred()
        Deferred.fromCoroutine(call).addCallback(
            lambda outcome: self._answered(answer, outcome, lost),
        )
        return answer

    def _answered(self, answer, outcome, lost):
        if self.cut:
            outcome = lost
        self.clock.run(answer.callback, outcome)

    def _silence(self, lost):
        answer = Deferred()
        self.clock.callLater(self.store.timeout, answer.callback, lost)
        return answer


class EntryHost:
    """An entry host's real code over a clock and ways of its own."""

    def __init__(self, world, name, boot):
        self.world = world
        self.name = name
        self.clock = HostClock(world.clock)
        self.way = Way(world.store, self.clock)
        settings = settings_from(
            None,
            ENTRY,
            {'POLLENSTILE_HOST': name, 'POLLENSTILE_DOMAIN': 'here'},
        )
        self.node = build_node(
            self.clock,
            Random(f'{name}/{boot}/{world.seed}'),
            settings,
            self._transport(world.network.transport_from(name)),
            store=self.way,
            log=world.log,
        )
        self.claims = self.node.claims
        self.claims.shards = world.shards
        self.subjects = {}
        self.is_lost = bool
        connect_peers(self.claims, self._ask_peer, self.subjects.__setitem__)
        self.node.in_force.offer(1, world.manifest_text, 'test')

    def ask(self, key, minutes=10, team='salons', pipeline='log-minutes'):
        """Send a request; return a list that its outcome comes into."""
        request = Request(
            self.node.next_ident(),
            pipeline,
            self.node.in_force.snapshot,
            team,
            {'minutes': minutes},
            self.clock.seconds() + _DEADLINE_MS / 1000,
            key,
        )
        self.world.requests[request.ident] = key
        running = Deferred.fromCoroutine(run_request(self.node.core, request))
        self.node.track(running)
        return collect_result(running)

    def kill(self):
        """End the host: nothing of it runs on."""
        self.clock.dead = True

    def is_reached(self):
        """Return whether peers get an answer from it."""
        clock = self.clock
        return not (clock.dead or clock.paused or self.name in self.world.cut)

    def forward(self, live_hosts, is_lost):
        """Have claims appended by the preferred host.

        Parameters
        ==========

        live_hosts : function
            Returns names of hosts.
        is_lost : function
            Returns whether the next answer is lost.
        """

        self.is_lost = is_lost
        self.claims.forward = build_forwarder(
            self.name,
            live_hosts,
            partial(sent, self._ask_peer),
        )

    def _ask_peer(self, host, subject, body, seconds):
        answer = Deferred()
        peer = self.world.hosts.get(host)
        if peer is not None and peer.is_reached() and self.is_reached():
            reply = maybeDeferred(peer.subjects[subject], self.name, body)
            if subject == 'claim-append' and self.is_lost():
                # The connection breaks while the peer is still at it.
                seconds = _BREAK
            else:
                reply.addCallback(self._resume, answer)
        self.clock.callLater(seconds, self._fire, None, answer)
        return answer

    def _resume(self, reply, answer):
        self.clock.run(self._fire, reply, answer)

    def _fire(self, reply, answer):
        if not answer.called:
            answer.callback(reply)

    def _transport(self, start):
        def gated(name, upstream, call, sink):
            def gated_sink(event):
                self.clock.run(sink, event)

            return start(name, upstream, call, gated_sink)

        return gated


class ClaimsWorld:
    """Hosts, one store and one booking service on one virtual clock.

    Attributes
    ==========

    cut : set of str
        Hosts that other hosts can't reach.
    answers, labels : dict
        What a scenario's request got, and its identifier, by label.
    requests : dict
        Identifier to key of all requests.
    """

    def __init__(self, hosts=3, seed=1, shards=1, latency=0.005):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.seed = seed
        self.shards = shards
        self.store = MemoryStore(self.clock)
        self.store.latency = latency
        self.cut = set()
        self.events = []
        self.manifest_text = text_from_manifest(manifest())
        times = Times(lambda: 0.05, lambda: 0.01)
        self.upstreams = {
            name: VirtualUpstream(self.clock, name, 'service', 64, times)
            for name in ('booking-1', 'members-1')
        }
        self.network = healthy_network(self.clock, self.upstreams)
        self.hosts = {}
        self.answers = {}
        self.requests = {}
        self.labels = {}
        self.boots = 0
        for number in range(hosts):
            self.start(f'h{number + 1}')

    def log(self, event, level='info', **fields):
        """Note an event's name."""
        self.events.append(event.name)

    def start(self, name):
        """Start a host, also again after it was killed."""
        self.boots += 1
        self.hosts[name] = EntryHost(self, name, self.boots)
        return self.hosts[name]

    def passed(self, seconds):
        """Let time pass."""
        advance_in_steps(
            self.clock, seconds, step=0.001 if seconds < 10 else 0.25
        )

    def runs(self, key):
        """Return how often the booking service ran a key."""
        booked = [row for row in self.booking.keys if row[0] == key]
        return len(booked)

    def write_segment(self, number, segment):
        """Write a segment of shard 0 straight into the store."""
        encoded = msgspec.json.encode(segment)
        self.store.objects.put('claims', object_name(0, number), encoded, 0)

    def records(self):
        """Return the records of all segments that stand."""
        found = []
        for name in self.objects():
            row = self.store.objects.found('claims', name)
            found.extend(segment_from(row.value).records)
        return found

    def objects(self):
        """Return the names of all segments that stand."""
        return list(self.store.objects.names.get('claims', []))

    def broken(self):
        """Return the broken invariants of all hosts."""
        found = []
        for host in self.hosts.values():
            found.extend(host.node.core.ledger.broken)
        return found

    @property
    def booking(self):
        """The service whose calls must not be repeated."""
        return self.upstreams['booking-1']
