"""Builders of hosts that choose among engines of unequal speed.

Explanation
===========

The loop has requests, engines with slots and a queue, and reports of a fixed
age. It has no network, no stage work and no shared prompt parts.
"""

import heapq
import itertools
from collections import deque
from functools import partial
from random import Random
from types import SimpleNamespace

from twisted.internet.defer import succeed

from features.builders.peers import PeerWorld
from pollenstile.conditions import (
    ConditionSharing,
    EngineConditions,
    parse_load,
)
from pollenstile.estimates import FirstTokens
from pollenstile.forward import UpstreamView, select_engine
from pollenstile.forward._learning import learn_load

SERVICE = 'model'
# Target latency of the first token, in seconds.
TARGET_SECONDS = 0.53
# Seconds that an engine of the usual speed takes: to the first token without
# prompt, for each prompt token, and from the first token to the last one.
_BASE_SECONDS = 0.1
_TOKEN_SECONDS = 2 / 55000
_WRITE_SECONDS = 8.0
_SLOTS = 64
_TOKENS = (200, 6600)
_REVIEW_SECONDS = 0.25
# Time before which answers don't count, as no speed is known yet.
_WARM_SECONDS = 30.0


class _LoopClock:
    """The time of the loop."""

    def __init__(self):
        self.now = 0.0

    def seconds(self):
        """Return the time."""
        return self.now


class _Engine:
    """An engine that serves its queue in order."""

    def __init__(self, loop, ident, speed):
        self.loop = loop
        self.ident = ident
        self.speed = speed
        self.running = []
        self.queue = deque()

    def report(self):
        """Return the load as its answers state it."""
        return f'{len(self.running)},{len(self.queue)},{_SLOTS},100'

    def read_seconds(self, tokens):
        """Return the time from the start of a request to its first token."""
        return (_BASE_SECONDS + _TOKEN_SECONDS * tokens) / self.speed

    def busy_seconds(self, tokens):
        """Return the time from the start of a request to its end."""
        return self.read_seconds(tokens) + _WRITE_SECONDS / self.speed

    def wait_seconds(self):
        """Return the time until a request that arrives now is started."""
        now = self.loop.clock.now
        ends = sorted(self.running)
        if len(ends) < _SLOTS:
            return 0.0
        for request in self.queue:
            start = heapq.heappop(ends)
            heapq.heappush(ends, start + self.busy_seconds(request.tokens))
        return max(0.0, ends[0] - now)

    def add(self, request):
        """Take a request."""
        self.queue.append(request)
        self._start()

    def _start(self):
        now = self.loop.clock.now
        while self.queue and len(self.running) < _SLOTS:
            request = self.queue.popleft()
            read_seconds = self.read_seconds(request.tokens)
            if now + read_seconds - request.sent_at > TARGET_SECONDS:
                # Work for answers that come too late would hide how well the
                # choice of engines uses their capacity.
                request.host.end(request)
                continue
            end = now + self.busy_seconds(request.tokens)
            heapq.heappush(self.running, end)
            self.loop.at(
                now + read_seconds,
                partial(self._send_first, request),
            )
            self.loop.at(end, partial(self._end, request))

    def _send_first(self, request):
        request.host.note_first(request, self)

    def _end(self, request):
        heapq.heappop(self.running)
        request.host.end(request)
        self._start()


class _Host:
    """An entry host that chooses engines from what it knows."""

    def __init__(self, loop, name, idents):
        self.loop = loop
        self.name = name
        self.rng = Random(name)
        self.views = [UpstreamView(one, one, 'd', _SLOTS) for one in idents]
        self.by_ident = {view.ident: view for view in self.views}
        self.first_tokens = FirstTokens()
        self.conditions = EngineConditions(loop.clock)
        self.hub = SimpleNamespace(
            clock=loop.clock,
            random=self.rng,
            hello=SimpleNamespace(boot=7, host=name),
            requests=SimpleNamespace(subjects={}),
            stopped=False,
            ask=self._ask,
        )
        self.sharing = ConditionSharing(
            self.hub,
            self.conditions,
            lambda: None if name == loop.reader else loop.reader,
            lambda: len(loop.hosts),
        )

    def select(self, tokens):
        """Return the engine of a request."""
        factor = {}
        if self.loop.chooser == 'estimates':
            factor['time_factor'] = self.conditions.time_factor(SERVICE)
        view = select_engine(
            self.views,
            self.loop.clock.now,
            'd',
            self.rng,
            (('own', tokens),),
            self.first_tokens.token_seconds(SERVICE),
            **factor,
        )
        return self.loop.engines[view.ident]

    def learn_report(self, engine):
        """Take an engine's report."""
        view = self.by_ident[engine.ident]
        note = partial(self.conditions.note_report, SERVICE, view.incarnation)
        learn_load(view, engine.report(), self.loop.clock.now, note)

    def note_first(self, request, engine):
        """Learn from the first token of a request."""
        seconds = self.loop.clock.now - request.sent_at
        view = self.by_ident[engine.ident]
        view.in_flight_tokens -= request.tokens
        request.is_begun = True
        self.learn_report(engine)
        expected = self.first_tokens.seconds(SERVICE, request.tokens)
        self.conditions.learn(SERVICE, view, seconds, expected)
        self.first_tokens.learn(SERVICE, request.tokens, seconds)
        self.loop.count(request, seconds <= TARGET_SECONDS)

    def end(self, request):
        """Note the end of a request."""
        view = self.by_ident[request.ident]
        view.in_flight -= 1
        if not request.is_begun:
            view.in_flight_tokens -= request.tokens
            self.loop.count(request, in_time=False)

    def _ask(self, host, subject, body, seconds):
        hub = self.loop.hosts[host].hub
        return succeed(hub.requests.subjects[subject](self.name, body))


class ConditionDomain:
    """Hosts of one domain that exchange speeds; the first one is the reader.

    Parameters
    ==========

    names : list of str
        Hosts, in the order in which they are the reader.
    """

    def __init__(self, names):
        self.world = PeerWorld()
        self.names = list(names)
        self.conditions = {}
        self.sharings = []
        for name in names:
            hub = self.world.hub(name)
            self.conditions[name] = EngineConditions(self.world.clock)
            self.sharings.append(
                ConditionSharing(
                    hub,
                    self.conditions[name],
                    partial(self._reader, name, hub),
                    partial(len, self.names),
                    hub.log,
                )
            )
        for name in names:
            others = [other for other in names if other != name]
            self.world.keep_links(name, *others)
        self.world.run(1.0)

    def run(self, seconds):
        """Let time pass, with reviews as the daemon makes them."""
        for _ in range(round(seconds / _REVIEW_SECONDS)):
            for sharing in self.sharings:
                sharing.review()
            self.world.run(_REVIEW_SECONDS)

    def report(self, text='3,0,64,100'):
        """Let each host take a load report."""
        for conditions in self.conditions.values():
            conditions.note_report(SERVICE, 'i/1', text, parse_load(text))

    def measure(self, name, engine, ratio, count):
        """Let a host measure an engine a number of times."""
        for _ in range(count):
            self.conditions[name].estimates.learn(engine, ratio)

    def ratio(self, name, engine):
        """Return a host's estimate."""
        return self.conditions[name].estimates.ratio(engine)

    def bytes_sent(self):
        """Return the bytes that all hosts have sent."""
        return sum(hub.bytes_sent() for hub in self.world.hubs.values())

    def _reader(self, name, hub):
        for candidate in self.names:
            if candidate == name:
                return None
            if candidate in hub.links:
                return candidate
        return None


class EngineLoop:
    """Hosts, engines and requests in virtual time.

    Parameters
    ==========

    chooser : str
        ``estimates``; ``blind`` without speeds; or ``full`` for one that knows
        all speeds and queues.
    speeds : tuple of float
        Speed of each engine.
    load : float
        Offered load as a share of the capacity.
    hosts : int
        Number of hosts.
    age : float
        Seconds between the reports that a host has of an engine.
    """

    def __init__(self, chooser, speeds, load, hosts=30, age=0.2, seed=1):
        self.chooser = chooser
        self.clock = _LoopClock()
        self.events = []
        self.numbers = itertools.count()
        self.rng = Random(seed)
        self.engines = {
            f'e{place}': _Engine(self, f'e{place}', speed)
            for place, speed in enumerate(speeds)
        }
        self.reader = 'h0'
        self.hosts = {}
        for place in range(hosts):
            self.hosts[f'h{place}'] = _Host(self, f'h{place}', self.engines)
            self._repeat(age, partial(self._report, f'h{place}'))
            self._repeat(
                _REVIEW_SECONDS, self.hosts[f'h{place}'].sharing.review
            )
        mean = (_BASE_SECONDS + _TOKEN_SECONDS * sum(_TOKENS) / 2) + (
            _WRITE_SECONDS
        )
        self.rate = load * _SLOTS * sum(speeds) / mean
        self.answered = 0
        self.in_time = 0

    def run(self, seconds=60.0):
        """Return the share of requests whose first token came in time."""
        self.at(0.0, self._arrive)
        while self.events:
            when, _, action = heapq.heappop(self.events)
            if when > seconds:
                break
            self.clock.now = when
            action()
        return self.in_time / self.answered

    def at(self, when, action):
        """Call a function at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def count(self, request, in_time):
        """Count the result of a request."""
        if request.sent_at >= _WARM_SECONDS:
            self.answered += 1
            self.in_time += in_time

    def _repeat(self, period, action, *, is_first=True):
        if not is_first:
            action()
        delay = period * self.rng.random() if is_first else period
        self.at(
            self.clock.now + delay,
            partial(self._repeat, period, action, is_first=False),
        )

    def _report(self, name):
        for engine in self.engines.values():
            self.hosts[name].learn_report(engine)

    def _arrive(self):
        now = self.clock.now
        self.at(now + self.rng.expovariate(self.rate), self._arrive)
        tokens = self.rng.randint(*_TOKENS)
        host = self.rng.choice(list(self.hosts.values()))
        if self.chooser == 'full':
            engine = self._fastest(tokens)
            if _first_seconds(engine, tokens) > TARGET_SECONDS:
                # It refuses what no engine can answer in time.
                self.count(SimpleNamespace(sent_at=now), in_time=False)
                return
        else:
            engine = host.select(tokens)
        view = host.by_ident[engine.ident]
        view.in_flight += 1
        view.in_flight_tokens += tokens
        engine.add(
            SimpleNamespace(
                host=host,
                ident=engine.ident,
                tokens=tokens,
                sent_at=now,
                is_begun=False,
            )
        )

    def _fastest(self, tokens):
        return min(
            self.engines.values(),
            key=lambda engine: _first_seconds(engine, tokens),
        )


def _first_seconds(engine, tokens):
    return engine.wait_seconds() + engine.read_seconds(tokens)
