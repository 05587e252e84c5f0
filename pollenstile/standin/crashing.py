"""Upstreams in virtual time, which some of their requests crash.

Explanation
===========

Such a request ends the process of each upstream that begins to run it, with all
that runs beside it. The upstream is back after some seconds, at its address and
as another incarnation. Hosts reach it by a client like their own.
"""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.forward import BodyEnd, HeaderNames, Lost, NotRun, ProbeResult
from pollenstile.standin.exchanges import Head, StubCall

NAMES = HeaderNames()
# Seconds one way between a host and an upstream.
_WAY = 0.001
# Seconds until a request's first event, and until it crashes its upstream.
_FIRST = 0.1
_DEADLY = 0.06
_GAP = 0.1
# Seconds after which an upstream's entry lapses, and it is back.
_LAPSE = 3.0
_BACK = 2.5
_OK = 200
_MISDIRECTED = 421


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached an upstream."""

    at: float
    host: str
    upstream: str
    body: bytes


@dataclass(slots=True, frozen=True)
class End:
    """An upstream that ended, and the request that did it."""

    at: float
    upstream: str
    body: bytes


class _Call(StubCall):
    """One send of a host, under way."""

    def __init__(self, host, address, headers, body):
        super().__init__(address, headers)
        self.host = host
        self.body = body

    def take(self, outcome):
        """Hand over a head, or what came in its place."""
        if not self.cancelled and not self.head.called:
            self.head.callback(outcome)

    def break_off(self):
        """Hand over that the connection broke."""
        if self.cancelled:
            return
        if not self.head.called:
            self.take(Lost('ConnectionLost', self.address, broken=True))
            return
        self.end(BodyEnd.BROKEN)

    def end(self, how):
        """Hand over the end of a body."""
        if not self.cancelled and self.on_end is not None:
            self.on_end(how)


class _Process:
    """One incarnation of an upstream."""

    def __init__(self, ident, address, domain):
        self.ident = ident
        self.address = address
        self.domain = domain
        self.calls = []


class CrashingUpstreams:
    """Upstreams of one service, spread over failure domains.

    Parameters
    ==========

    clock : IReactorTime
        Virtual.
    write : function
        Takes an upstream's name and its entry; None deletes it.
    deadly : function
        Takes a body; returns whether it ends the upstream that runs it.
    work : float
        Seconds that a sound request takes.

    Attributes
    ==========

    processes : dict
        By address; None for one that has ended.
    arrivals : list of Arrival
        Of requests that were meant for who got them.
    ends : list of End
        In their order.
    """

    def __init__(self, clock, write, deadly, work=1.0):
        self.clock = clock
        self.write = write
        self.deadly = deadly
        self.work = work
        self.processes = {}
        self.arrivals = []
        self.ends = []
        self.started = 0

    def start(self, address, domain):
        """Start an upstream at an address."""
        self.started += 1
        process = _Process(f'i{self.started}', address, domain)
        self.processes[address] = process
        entry = {'address': address, 'domain': domain}
        self.write(process.ident, entry)

    def client_of(self, host):
        """Return the client by which a host reaches them."""
        return _Client(self, host)

    def running(self):
        """Return the processes that run."""
        return [one for one in self.processes.values() if one is not None]

    def crash(self, process, body=b''):
        """End an upstream and all that it runs."""
        if self.processes.get(process.address) is not process:
            return
        self.processes[process.address] = None
        now = self.clock.seconds()
        self.ends.append(End(now, process.ident, body))
        for call in process.calls:
            self.clock.callLater(_WAY, call.break_off)
        later = self.clock.callLater
        later(_LAPSE, self.write, process.ident, None)
        later(_BACK, self.start, process.address, process.domain)

    def connected(self, call):
        """Take a connection: refused where nobody listens."""
        if call.cancelled:
            return
        if self.processes.get(call.address) is None:
            refused = NotRun('refused', call.address, arrived=False)
            call.take(refused)
            return
        call.sent = True
        self.clock.callLater(_WAY, self._arrive, call)

    def _arrive(self, call):
        process = self.processes.get(call.address)
        if process is None:
            self.clock.callLater(_WAY, call.break_off)
            return
        expected = call.headers[NAMES.expect].decode()
        if expected != process.ident:
            call.take(Head(_MISDIRECTED, {NAMES.not_run: ['1']}))
            return
        now = self.clock.seconds()
        arrival = Arrival(now, call.host, process.ident, call.body)
        self.arrivals.append(arrival)
        process.calls.append(call)
        if self.deadly(call.body):
            self.clock.callLater(_DEADLY, self.crash, process, call.body)
            return
        self.clock.callLater(_FIRST, self._begin, process, call)

    def _is_running(self, process, call):
        alive = self.processes.get(process.address) is process
        return alive and not call.cancelled

    def _begin(self, process, call):
        if not self._is_running(process, call):
            return
        headers = {
            NAMES.attempt: [call.headers[NAMES.attempt]],
            NAMES.stamp: ['proof'],
        }
        call.take(Head(_OK, headers))
        last = int(call.headers.get(NAMES.last_event, b'0'))
        self._event(process, call, last + 1)

    def _event(self, process, call, number):
        if not self._is_running(process, call):
            return
        call.on_data(b'id: %d\ndata: x\n\n' % number)
        if number * _GAP < self.work:
            self.clock.callLater(_GAP, self._event, process, call, number + 1)
            return
        process.calls.remove(call)
        call.end(BodyEnd.COMPLETE)


class _Client:
    """Sends a host's requests."""

    def __init__(self, upstreams, host):
        self.upstreams = upstreams
        self.host = host

    def send(self, address, method, target, headers, body):
        """Send a request once; return its call."""
        call = _Call(self.host, address, headers, body)
        upstreams = self.upstreams
        upstreams.clock.callLater(2 * _WAY, upstreams.connected, call)
        return call

    def probe(self, address):
        """Return a Deferred of whether somebody listens."""
        done = Deferred()
        self.upstreams.clock.callLater(2 * _WAY, self._reached, address, done)
        return done

    def _reached(self, address, done):
        is_there = self.upstreams.processes.get(address) is not None
        done.callback(ProbeResult.ACCEPTED if is_there else ProbeResult.REFUSED)
