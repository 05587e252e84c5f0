"""Builders of forwarded requests to scripted upstreams in virtual time."""

from dataclasses import replace
from random import Random

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.web.iweb import UNKNOWN_LENGTH

from pollenstile.forward import (
    BodyEnd,
    Exchange,
    ForwardCore,
    HeaderNames,
    ProbeResult,
    Registry,
    RouteQuery,
    SharedRetryBudget,
    Upstream,
    serve,
)
from pollenstile.routes import (
    Kind,
    Route,
    RouteTable,
    Service,
    StageLimits,
    StageStep,
    Target,
    Team,
)
from pollenstile.stagework import GroupDone, GroupRefused
from pollenstile.standin.exchanges import Head, RecordedAnswer, StubCall

NAMES = HeaderNames()
SERVICE = 'desk'
IDENT = 'attempt-1'
TEAM = 'team'
KEY = 'key-1'
_KINDS = {
    'idempotent': (Kind.IDEMPOTENT, False),
    'once': (Kind.ONCE, False),
    'stream': (Kind.STREAM, False),
    'resumable': (Kind.STREAM, True),
}


def route(kind, attempts=2, timeout=3.0, steps=(), aim=1.0, pause=0.0):
    """Return a route of a kind, which is a key of ``_KINDS``."""
    sort, resumable = _KINDS[kind]
    return Route(
        kind,
        'host',
        '/a/',
        sort,
        timeout,
        aim,
        targets=(Target(SERVICE),),
        attempts=attempts,
        steps=steps,
        resumable=resumable,
        pause=pause,
    )


class ScriptedCall(StubCall):
    """A send that the test answers."""

    def __init__(self, address, headers):
        super().__init__(address, headers)
        self.sent = True

    def answer(
        self,
        code=200,
        ident=IDENT,
        stamp='proof',
        length=UNKNOWN_LENGTH,
        **extra,
    ):
        """Answer with a head; ``extra`` maps fields of ``HeaderNames``."""
        headers = {}
        if ident:
            headers[NAMES.attempt] = [ident]
        if stamp:
            headers[NAMES.stamp] = [stamp]
        for name, value in extra.items():
            headers[getattr(NAMES, name)] = [value]
        self.head.callback(Head(code, headers, length))

    def body(self, data=b'', *, whole=True):
        """Send bytes and end the body."""
        if data:
            self.on_data(data)
        # The client also does this when the body has ended.
        self.cancelled = True
        self.on_end(BodyEnd.COMPLETE if whole else BodyEnd.BROKEN)


class ScriptedStages:
    """Stage work that completes at once, or is refused with a reason."""

    def __init__(self):
        self.refusal = ''
        self.waiting = None
        self.made = 0
        self.groups = []
        self.released = []
        self.cancelled = []
        self.crowded = False

    def seconds(self, service, count):
        """Return a short time."""
        return 0.1

    def submit(self, group, on_read):
        """Return a Deferred of the outcome of a group."""
        self.groups.append(group)
        waiter = Deferred()
        if self.refusal == 'never':
            self.waiting = (group, waiter)
            return waiter
        if self.refusal:
            waiter.callback(('h', GroupRefused(self.refusal, 0.7)))
            return waiter
        self._make(group, waiter)
        return waiter

    def finish(self):
        """Complete the pending stage work."""
        self._make(*self.waiting)

    def _make(self, group, waiter):
        self.made += 1
        handle = f'10.0.0.9:1/{self.made}'
        waiter.callback(('h', GroupDone((handle,) * group.count)))

    def refresh_backlogs(self, services):
        """Succeed without a request to an owner."""
        return succeed(None)

    def limits_of(self, service):
        """Return the default limits."""
        return StageLimits()

    def cancel(self, service, plan):
        """Record a cancelled service."""
        self.cancelled.append(service)

    def release(self, host, service, handles):
        """Record released results."""
        self.released.extend(handles)

    def is_crowded(self, service):
        """Return what the test has set."""
        return self.crowded

    def domains_with(self, service):
        """Return no domains."""
        return ()

    def domain_of(self, handles):
        """Return an unknown domain."""
        return ''


class _Configuration:
    """A route table and its verification state, both set by the test."""

    def __init__(self, table):
        self.table = table
        self.verified = True

    def is_current(self):
        """Return whether the table may be used."""
        return self.verified

    def is_verified(self):
        """Return whether the table is verified."""
        return self.verified


class ForwardScenario:
    """One request through a host whose upstreams are scripted by the test."""

    def __init__(
        self,
        kind,
        attempts=2,
        upstreams=3,
        staged=False,
        domains='ddd',
        cold_rate=0.0,
    ):
        self.clock = Clock()
        self.calls = []
        self.reached = []
        self.probe_result = ProbeResult.ACCEPTED
        self.logged = []
        self.registry = Registry(self.clock)
        for index in range(upstreams):
            self.registry.apply(
                f'i{index}',
                Upstream(
                    f'i{index}', SERVICE, f'10.0.0.{index}:1', domains[index]
                ),
            )
        self.stages = ScriptedStages()
        self.budget = SharedRetryBudget(self.clock, 0.2, 58, 10)
        self.core = ForwardCore(
            self.clock,
            Random(1),
            'd',
            self,
            self.registry,
            _Configuration(None),
            self.budget,
            self.stages,
            NAMES,
            self._log,
        )
        service = Service(SERVICE, cold_rate=cold_rate)
        steps = (StageStep('encode'),) if staged else ()
        self.route = route(kind, attempts, steps=steps)
        self.table = RouteTable(
            1,
            {'host': (self.route,)},
            {SERVICE: service},
            {KEY: Team(TEAM)},
        )
        self.core.configuration.table = self.table
        self.answer = RecordedAnswer()
        self.work = None

    def send(self, address, method, target, headers, body):
        """Stand in for the client: record a send."""
        call = ScriptedCall(address, headers)
        call.target = target
        self.calls.append(call)
        return call

    def targets_to(self, address, first):
        """Return the targets of calls to an address, from a number on."""
        return [
            call.target
            for call in self.calls[first:]
            if call.address == address
        ]

    def probe(self, address):
        """Stand in for the client: return the scripted probe result."""
        self.reached.append(address)
        return succeed(self.probe_result)

    def start(self, deadline=3.0, fingerprint='f1', **fields):
        """Start to serve the request, with some fields of its exchange."""
        now = self.clock.seconds()
        exchange = Exchange(
            IDENT,
            b'POST',
            b'/a/?',
            [(b'host', b'host')],
            b'body',
            self.route,
            self.table,
            RouteQuery('host', '/a/', f'Bearer {KEY}'),
            TEAM,
            arrived=now,
            aim=now + self.route.aim,
            ends=now + min(deadline, self.route.timeout),
            counts=(2,) if self.route.steps else (),
            stage_key='key',
            service=SERVICE,
            fingerprint=fingerprint,
            **fields,
        )
        self.work = serve(self.core, exchange, self.answer)

    def start_another(self, ident, urgency, counts=()):
        """Start to serve another request; return its answer."""
        now = self.clock.seconds()
        answer = RecordedAnswer()
        exchange = Exchange(
            ident,
            b'POST',
            b'/a/?',
            [(NAMES.attempt, ident.encode())],
            b'body',
            self.route,
            self.table,
            RouteQuery('host', '/a/', f'Bearer {KEY}'),
            TEAM,
            urgency,
            arrived=now,
            aim=now + self.route.aim,
            ends=now + self.route.timeout,
            counts=counts,
            stage_key='key',
            service=SERVICE,
        )
        serve(self.core, exchange, answer)
        return answer

    def change(self, **fields):
        """Put a newer table with some changed fields in force."""
        newer = replace(self.table, version=self.table.version + 1, **fields)
        self.core.configuration.table = newer

    def lines(self, event):
        """Return the fields of an event's log lines."""
        return [fields for name, fields in self.logged if name == event]

    def leave(self):
        """Close the caller's connection."""
        self.answer.gone = True
        self.work.cancel()

    def _log(self, event, level='info', **fields):
        self.logged.append((event.name, fields))


def event_bytes(number):
    """Return one event of a stream."""
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def events_bytes(first, last):
    """Return the events of a stream from one number to another."""
    return b''.join(event_bytes(number) for number in range(first, last + 1))
