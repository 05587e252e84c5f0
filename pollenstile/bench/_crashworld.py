"""Simulate entry hosts, upstreams that requests crash, and their callers."""

import itertools
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from pollenstile.bench._domainworld import DomainWorld
from pollenstile.forward import Exchange, RouteQuery, serve
from pollenstile.quarantine import fingerprint, part_fingerprints
from pollenstile.routes import Kind, Route, Target
from pollenstile.standin.crashing import NAMES, CrashingUpstreams
from pollenstile.standin.exchanges import RecordedAnswer

_SERVICE = 's'
_TEAM = 'team'
_TARGET = b'/a/x'
_TIMEOUT_SECONDS = 12.0
_ANSWER_TARGET_SECONDS = 2.0
# The body of a request that crashes its upstream begins with this prefix.
DEADLY = b'deadly'
# Retries that all hosts may send in a budget window in addition to the ratio.
RETRY_SLACK = 60.0


def _route(name, kind, **fields):
    """Return a route to the simulated service."""
    targets = (Target(_SERVICE),)
    return Route(
        name,
        'host',
        '/a/',
        kind,
        _TIMEOUT_SECONDS,
        _ANSWER_TARGET_SECONDS,
        targets=targets,
        **fields,
    )


_ROUTES = {
    'resumed': _route('resumed', Kind.STREAM, attempts=2, resumable=True),
    'repeated': _route('repeated', Kind.IDEMPOTENT, attempts=2),
    'once': _route('once', Kind.ONCE),
}


@dataclass(slots=True)
class SentRequest:
    """Record of a request that a caller sent to a host."""

    at: float
    host: str
    body: bytes
    answer: RecordedAnswer = field(default_factory=RecordedAnswer)


class CrashWorld:
    """Hosts and upstreams spread over failure domains, and sent requests.

    Parameters
    ==========

    hosts, upstreams, domains : int
        The number of hosts, upstreams and failure domains.
    route : str
        The kind of route: ``'resumed'``, ``'repeated'`` or ``'once'``.
    slots : int
        Number of requests that an upstream runs at a time; 0 for any number.

    Attributes
    ==========

    fleet : DomainWorld
        The hosts and their store.
    upstreams : CrashingUpstreams
        The upstreams that the hosts send requests to.
    sent : list of Sent
        The sent requests, in the order of sending.
    """

    __slots__ = ('fleet', 'numbers', 'route', 'sent', 'upstreams')

    def __init__(self, hosts, upstreams, domains, route='resumed', slots=0):
        self.fleet = self.make_fleet(hosts, domains)
        self.route = _ROUTES[route]
        self.numbers = itertools.count()
        self.sent = []
        self.upstreams = self.make_upstreams()
        self.upstreams.slots = slots
        for host in self.fleet.hosts.values():
            self.join(host)
        names = sorted({host.domain for host in self.fleet.hosts.values()})
        for number in range(upstreams):
            domain = names[number % len(names)]
            self.start_upstream(f'10.0.0.{number}:1', domain, number, upstreams)
        self.fleet.advance(1.0)

    def make_fleet(self, hosts, domains):
        """Return the started hosts."""
        return DomainWorld(hosts, domains, repeat_slack=RETRY_SLACK)

    def make_upstreams(self):
        """Return the upstreams, none of them started."""
        return CrashingUpstreams(self.fleet.clock, self._write, is_deadly)

    def start_upstream(self, address, domain, number, count):
        """Start one of the first upstreams.

        Parameters
        ==========

        number, count : int
            Which one it is, from 0, and the count of all.
        """
        self.upstreams.start(address, domain)

    def join(self, host):
        """Connect a host to the upstreams."""
        core = host.core
        core.client = self.upstreams.client_of(host.name)
        core.crashes.client = core.client
        core.processes.client = core.client

    def kill_all(self):
        """End all running hosts; return their failure domains by name."""
        running = self.fleet.running()
        for host in running:
            host.end()
        return {host.name: host.domain for host in running}

    def start_all(self, domains):
        """Start hosts of some names in their failure domains."""
        for name, domain in domains.items():
            self.join(self.fleet.add_host(name, domain))

    def send_request(self, name, body, prompt=(), team=_TEAM):
        """Send a request to a host and return its record.

        Parameters
        ==========

        prompt : tuple
            Identifier and token count of each prompt part.
        """
        core = self.fleet.hosts[name].core
        now = core.clock.seconds()
        sent = SentRequest(now, name, body)
        self.sent.append(sent)
        ident = f'a{next(self.numbers)}'
        exchange = Exchange(
            ident,
            b'POST',
            _TARGET,
            [(NAMES.attempt, ident.encode())],
            body,
            self.route,
            core.configuration.table,
            RouteQuery('host', '/a/x'),
            team,
            arrived=now,
            aim=now + _ANSWER_TARGET_SECONDS,
            ends=now + _TIMEOUT_SECONDS,
            prompt=prompt,
            service=_SERVICE,
            fingerprint=fingerprint(core.quarantine.key, _TARGET, body),
            parts=part_fingerprints(core.quarantine.key, prompt),
        )
        serve(core, exchange, sent.answer)
        return sent

    def schedule_request(self, seconds, name, body):
        """Schedule a request to a host after a delay."""
        self.fleet.clock.callLater(seconds, self.send_request, name, body)

    def schedule_requests(self, bodies, pause, seconds, names):
        """Schedule requests at a fixed interval, to the hosts in rotation."""
        hosts = itertools.cycle(names)
        for number in range(round(seconds / pause)):
            for body in bodies:
                self.schedule_request(number * pause, next(hosts), body)

    def advance(self, seconds):
        """Advance the virtual clock."""
        self.fleet.advance(seconds)

    def count_answers(self):
        """Return the numbers of answered and of refused requests."""
        answers = [sent.answer for sent in self.sent]
        served = sum(answer.end == 'whole' for answer in answers)
        return served, sum(answer.refusal is not None for answer in answers)

    def crash_times(self, body):
        """Return the times at which a request crashed an upstream."""
        return [
            crash.at for crash in self.upstreams.crashes if crash.body == body
        ]

    def arrivals_after_third_crash(self, body, seconds):
        """Return the arrivals of a request well after its third crash.

        Parameters
        ==========

        seconds : float
            Arrivals up to this time after the third crash are left out.
        """
        ends = self.crash_times(body)
        if len(ends) < 3:
            return []
        return [
            arrival
            for arrival in self.upstreams.arrivals
            if arrival.body == body and arrival.at > ends[2] + seconds
        ]

    def _write(self, name, value):
        store = self.fleet.store
        if value is None:
            Deferred.fromCoroutine(store.delete('upstreams', name))
            return
        Deferred.fromCoroutine(store.put('upstreams', name, value))


def is_deadly(body):
    """Return whether a request body crashes the upstream that runs it."""
    return body.startswith(DEADLY)
