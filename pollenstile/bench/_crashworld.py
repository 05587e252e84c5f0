"""Whole hosts, upstreams that some requests crash, and their callers."""

import itertools
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from pollenstile.bench._domainworld import DomainWorld
from pollenstile.forward import RouteQuery, Exchange, serve
from pollenstile.routes import Kind, Route, Target
from pollenstile.standin.crashing import NAMES, CrashingUpstreams
from pollenstile.standin.exchanges import RecordedAnswer

_SERVICE = 's'
_TEAM = 'team'
_TARGET = b'/a/x'
_TIMEOUT = 12.0
_AIM = 2.0
# How the body begins of what crashes the upstream that runs it.
DEADLY = b'deadly'
# Repeats that all hosts may send in the budget's window, beyond its ratio.
_SLACK = 60.0


def _route(name, kind, **fields):
    """Return a route to the service."""
    targets = (Target(_SERVICE),)
    return Route(
        name, 'host', '/a/', kind, _TIMEOUT, _AIM, targets=targets, **fields
    )


_ROUTES = {
    'resumed': _route('resumed', Kind.STREAM, attempts=2, resumable=True),
    'repeated': _route('repeated', Kind.IDEMPOTENT, attempts=2),
    'once': _route('once', Kind.ONCE),
}


@dataclass(slots=True)
class Sent:
    """A request that a caller sent to a host."""

    at: float
    host: str
    body: bytes
    answer: RecordedAnswer = field(default_factory=RecordedAnswer)


class CrashWorld:
    """Hosts and upstreams over failure domains, and requests to them.

    Parameters
    ==========

    hosts, upstreams, domains : int
        How many.
    route : str
        ``'resumed'``, ``'repeated'`` or ``'once'``.

    Attributes
    ==========

    fleet : DomainWorld
        The hosts and their store.
    upstreams : CrashingUpstreams
        What they send to.
    sent : list of Sent
        In their order.
    """

    __slots__ = ('fleet', 'numbers', 'route', 'sent', 'upstreams')

    def __init__(self, hosts, upstreams, domains, route='resumed'):
        self.fleet = DomainWorld(hosts, domains, repeat_slack=_SLACK)
        self.route = _ROUTES[route]
        self.numbers = itertools.count()
        self.sent = []
        self.upstreams = CrashingUpstreams(
            self.fleet.clock, self._write, is_deadly
        )
        for host in self.fleet.hosts.values():
            self.join(host)
        names = sorted({host.domain for host in self.fleet.hosts.values()})
        for number in range(upstreams):
            domain = names[number % len(names)]
            self.upstreams.start(f'10.0.0.{number}:1', domain)
        self.fleet.advance(1.0)

    def join(self, host):
        """Let a host send to the upstreams."""
        core = host.core
        core.client = self.upstreams.client_of(host.name)
        core.crashes.client = core.client

    def send_request(self, name, body):
        """Send a request to a host; return the record of it."""
        core = self.fleet.hosts[name].core
        now = core.clock.seconds()
        sent = Sent(now, name, body)
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
            _TEAM,
            arrived=now,
            aim=now + _AIM,
            ends=now + _TIMEOUT,
            service=_SERVICE,
            fingerprint=core.quarantine.fingerprint(_TARGET, body),
        )
        serve(core, exchange, sent.answer)
        return sent

    def schedule_request(self, seconds, name, body):
        """Send a request to a host after some seconds."""
        self.fleet.clock.callLater(seconds, self.send_request, name, body)

    def schedule_requests(self, bodies, pause, seconds, names):
        """Send requests again and again for some seconds, to hosts in turn."""
        hosts = itertools.cycle(names)
        for number in range(round(seconds / pause)):
            for body in bodies:
                self.schedule_request(number * pause, next(hosts), body)

    def advance(self, seconds):
        """Let time pass."""
        self.fleet.advance(seconds)

    def crash_times(self, body):
        """Return when upstreams ended under a request."""
        return [one.at for one in self.upstreams.ends if one.body == body]

    def arrivals_after_third_crash(self, body, seconds):
        """Return sends of a request that came later after its third end."""
        ends = self.crash_times(body)
        if len(ends) < 3:
            return []
        return [
            one
            for one in self.upstreams.arrivals
            if one.body == body and one.at > ends[2] + seconds
        ]

    def _write(self, name, value):
        store = self.fleet.store
        if value is None:
            Deferred.fromCoroutine(store.delete('upstreams', name))
            return
        Deferred.fromCoroutine(store.put('upstreams', name, value))


def is_deadly(body):
    """Return whether a body crashes the upstream that runs it."""
    return body.startswith(DEADLY)
