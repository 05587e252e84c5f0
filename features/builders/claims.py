"""Builders of entry hosts that share a claims log, on a virtual clock."""

from functools import partial
from random import Random

import msgspec
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import Clock

from features.builders.loop import advance_in_steps, collect_result
from pollenstile.claims import build_forwarder, connect_peers, send_append
from pollenstile.claims._digests import object_name
from pollenstile.claims._records import decode_segment
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
from pollenstile.platform import EraStore, InDoubt, StoreEra, Unavailable
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    healthy_network,
)

WINDOW = 600
_READ_LOST = Unavailable('list', 'memory', 'no answer')
_DEADLINE_MS = 4000
_BREAK_SECONDS = 0.02


def _upstream(port):
    return Upstream('here', f'127.0.0.1:{port}', slots=64)


def manifest():
    """Return a manifest with non-idempotent pipelines of a booking service."""
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


class HostTimer:
    """A timer of a host; fires only while the host is running."""

    def __init__(self, host_clock, delay, work):
        self.host_clock = host_clock
        self.work = work
        self.is_open = True
        self.timer = host_clock.clock.callLater(delay, self.due)

    def due(self):
        """Fire now, or when the host resumes."""
        self.host_clock.run(self.fire)

    def fire(self):
        """Run the call, unless cancelled while the host was paused."""
        if self.is_open:
            self.is_open = False
            self.work()

    def active(self):
        """Return whether the timer is pending."""
        return self.is_open

    def cancel(self):
        """Cancel the timer."""
        self.is_open = False
        if self.timer.active():
            self.timer.cancel()

    def reset(self, delay):
        """Postpone the timer to ``delay`` seconds from now."""
        if self.timer.active():
            self.timer.reset(delay)
            return
        self.timer = self.host_clock.clock.callLater(delay, self.due)


class HostClock:
    """A host's clock: timers stop while the host is paused or dead."""

    def __init__(self, clock):
        self.clock = clock
        self.dead = False
        self.paused = False
        self.deferred_calls = []

    def seconds(self):
        """Return the time, which also passes while the host is paused."""
        return self.clock.seconds()

    def callLater(self, delay, function, *arguments, **named):
        """Call after a delay, if the host is running."""
        return HostTimer(self, delay, partial(function, *arguments, **named))

    def run(self, function, *arguments):
        """Call now, on resume if the host is paused, or never if it is dead."""
        if self.dead:
            return
        if self.paused:
            self.deferred_calls.append(partial(function, *arguments))
            return
        function(*arguments)

    def resume(self):
        """Resume the host and make the calls that were deferred."""
        self.paused = False
        deferred_calls = self.deferred_calls
        self.deferred_calls = []
        for work in deferred_calls:
            work()


class StoreLink:
    """A host's connection to the store, with faults of single writes.

    Attributes
    ==========

    faults : list of str
        Faults of the next writes of claims, in order: ``'answer-lost'``,
        ``'request-lost'``, ``'late'`` (applied after ``late_seconds``, never
        answered) or ``'held'`` (sent when ``deliver_delayed`` is called).
    cut : bool
        Whether all requests and answers are lost.
    """

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.faults = []
        self.cut = False
        self.late_seconds = 5.0
        self.delayed_writes = []

    async def get(self, *arguments):
        """Forward a read."""
        return await self._forward_call(self.store.get(*arguments), _READ_LOST)

    async def listed(self, *arguments, **named):
        """Forward a list call."""
        call = self.store.listed(*arguments, **named)
        return await self._forward_call(call, _READ_LOST)

    async def delete(self, *arguments):
        """Forward a deletion."""
        lost = InDoubt('delete', 'memory', 'no answer')
        return await self._forward_call(self.store.delete(*arguments), lost)

    async def put(self, kind, name, value, if_version=None):
        """Forward a write, or apply the next fault to it."""
        lost = InDoubt('put', 'memory', 'no answer')
        fault = self.faults.pop(0) if self.faults else ''
        call = self.store.put(kind, name, value, if_version)
        if fault == 'answer-lost':
            Deferred.fromCoroutine(call)
        elif fault == 'late':
            self.clock.clock.callLater(
                self.late_seconds, Deferred.fromCoroutine, call
            )
        elif fault == 'request-lost':
            call.close()
        elif fault == 'held':
            answer = Deferred()
            self.delayed_writes.append((call, answer))
            return await answer
        else:
            return await self._forward_call(call, lost)
        return await self._never_answered(lost)

    def deliver_delayed(self):
        """Send the writes that were delayed."""
        for call, answer in self.delayed_writes:
            Deferred.fromCoroutine(call).addCallback(answer.callback)
        self.delayed_writes.clear()

    def _forward_call(self, call, lost):
        if self.cut:
            call.close()
            return self._never_answered(lost)
        answer = Deferred()
        Deferred.fromCoroutine(call).addCallback(
            lambda outcome: self._answered(answer, outcome, lost),
        )
        return answer

    def _answered(self, answer, outcome, lost):
        if self.cut:
            outcome = lost
        self.clock.run(answer.callback, outcome)

    def _never_answered(self, lost):
        answer = Deferred()
        self.clock.callLater(self.store.timeout, answer.callback, lost)
        return answer


class EntryHost:
    """An entry host's real code with its own clock and connections."""

    def __init__(self, world, name, boot):
        self.world = world
        self.name = name
        self.clock = HostClock(world.clock)
        self.store_link = StoreLink(world.store, self.clock)
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
            store=EraStore(self.store_link, StoreEra()),
            log=world.log,
        )
        self.claims = self.node.claims
        self.claims.shards = world.shards
        self.subjects = {}
        self.is_lost = bool
        connect_peers(self.claims, self._ask_peer, self.subjects.__setitem__)
        self.node.in_force.offer(1, world.manifest_text, 'test')

    def ask(self, key, minutes=10, team='salons', pipeline='log-minutes'):
        """Send a request; return a list to which its outcome is added."""
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
        """Kill the host: none of its calls run any more."""
        self.clock.dead = True

    def is_reachable(self):
        """Return whether peers get answers from this host."""
        clock = self.clock
        return not (clock.dead or clock.paused or self.name in self.world.cut)

    def forward(self, live_hosts, is_lost):
        """Forward appends of claims to the preferred host.

        Parameters
        ==========

        live_hosts : function
            Returns the names of the live hosts.
        is_lost : function
            Returns whether the next append reply is lost.
        """

        self.is_lost = is_lost
        self.claims.forward = build_forwarder(
            self.name,
            live_hosts,
            partial(send_append, self._ask_peer),
        )

    def _ask_peer(self, host, subject, body, seconds):
        answer = Deferred()
        peer = self.world.hosts.get(host)
        if peer is not None and peer.is_reachable() and self.is_reachable():
            reply = maybeDeferred(peer.subjects[subject], self.name, body)
            if subject == 'claim-append' and self.is_lost():
                # The connection breaks while the peer is still appending.
                seconds = _BREAK_SECONDS
            else:
                reply.addCallback(self._deliver_reply, answer)
        self.clock.callLater(seconds, self._fire, None, answer)
        return answer

    def _deliver_reply(self, reply, answer):
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
        Names of hosts that are cut off from their peers.
    answers, labels : dict
        Outcomes and identifier of a scenario's request, by label.
    requests : dict
        Idempotency key of each request, by request identifier.
    copies : list of Objects
        Copy of the store from before each request of the scenario.
    """

    def __init__(self, hosts=3, seed=1, shards=1, latency=0.005):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.seed = seed
        self.shards = shards
        self.store = MemoryStore(self.clock)
        self.store.latency = latency
        self.store.objects.era = 0
        self.copies = []
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
        """Record an event's name."""
        self.events.append(event.name)

    def start(self, name):
        """Start a host, or restart it after it was killed."""
        self.boots += 1
        self.hosts[name] = EntryHost(self, name, self.boots)
        return self.hosts[name]

    def return_to(self, place):
        """Let the store come back from one of its copies."""
        self.store.return_from(self.copies[place])
        for host in self.hosts.values():
            host.claims.store.eras.note(self.store.objects.era)

    def advance(self, seconds):
        """Advance the clock."""
        advance_in_steps(
            self.clock, seconds, step=0.001 if seconds < 10 else 0.25
        )

    def count_runs(self, key):
        """Return how many times the booking service ran a key."""
        booked = [row for row in self.booking.keys if row[0] == key]
        return len(booked)

    def store_segment(self, number, segment):
        """Write a segment of shard 0 directly to the store."""
        encoded = msgspec.json.encode(segment)
        self.store.objects.put('claims', object_name(0, number), encoded, 0)

    def records(self):
        """Return the records of all stored segments."""
        found = []
        for name in self.objects():
            row = self.store.objects.found('claims', name)
            found.extend(decode_segment(row.value).records)
        return found

    def objects(self):
        """Return the names of all stored segments."""
        return list(self.store.objects.names.get('claims', []))

    def broken_invariants(self):
        """Return the broken invariants of all hosts."""
        found = []
        for host in self.hosts.values():
            found.extend(host.node.core.ledger.broken)
        return found

    @property
    def booking(self):
        """The service whose calls must not be repeated."""
        return self.upstreams['booking-1']
