"""Simulated upstreams that certain requests crash.

Explanation
===========

A crashing request ends the process of each upstream that starts to run it, with
all concurrent requests of that upstream. After some seconds, the upstream
restarts at its address as a new incarnation. Hosts send to it with a client
that has the interface of their HTTP client.
"""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.forward import BodyEnd, HeaderNames, Lost, NotRun, ProbeResult
from pollenstile.standin.exchanges import Head, StubCall

NAMES = HeaderNames()
# One-way latency between a host and an upstream.
_LATENCY_SECONDS = 0.001
# Time from the start of a request to its first event.
_FIRST_EVENT_SECONDS = 0.1
# Time from the start of a crashing request to the crash.
_CRASH_SECONDS = 0.06
# Time between events.
_EVENT_GAP_SECONDS = 0.1
# Time from a crash to the expiry of the upstream's entry.
_EXPIRY_SECONDS = 3.0
# Time from a crash to the restart.
_RESTART_SECONDS = 2.5
_OK = 200
_MISDIRECTED = 421


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that an upstream accepted."""

    at: float
    host: str
    upstream: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Crash:
    """Crash of an upstream, with the body of the request that caused it."""

    at: float
    upstream: str
    body: bytes


class _Call(StubCall):
    """One request of a host in flight."""

    def __init__(self, host, address, headers, body):
        super().__init__(address, headers)
        self.host = host
        self.body = body

    def receive_head(self, outcome):
        """Pass the head, or the failure to get one, to the host."""
        if not self.cancelled and not self.head.called:
            self.head.callback(outcome)

    def break_connection(self):
        """Report a broken connection to the host."""
        if self.cancelled:
            return
        if not self.head.called:
            self.receive_head(Lost('ConnectionLost', self.address, broken=True))
            return
        self.end(BodyEnd.BROKEN)

    def end(self, how):
        """Report the end of the body to the host."""
        if not self.cancelled and self.on_end is not None:
            self.on_end(how)


class _Process:
    """One incarnation of an upstream."""

    def __init__(self, ident, address, domain, software):
        self.ident = ident
        self.address = address
        self.domain = domain
        self.software = software
        self.calls = []
        self.running = 0
        self.waiting = []


class CrashingUpstreams:
    """Upstreams of one service, spread over failure domains.

    Parameters
    ==========

    clock : IReactorTime
        Virtual clock.
    write : function
        Called with an upstream's name and entry to write the entry, or with
        None to delete it.
    is_crashing : function
        Called with a body; returns whether the request crashes its upstream.
    work : float
        Run time of other requests, in seconds.
    slots : int
        Number of requests that an upstream runs at a time; further ones wait, a
        crashing one as well. 0 for any number.

    Attributes
    ==========

    processes : dict
        Running process by address, or None after a crash.
    arrivals : list of Arrival
        Requests that reached the expected incarnation, in order.
    crashes : list of Crash
        Crashes, in order.
    """

    def __init__(self, clock, write, is_crashing, work=1.0, slots=0):
        self.clock = clock
        self.write = write
        self.is_crashing = is_crashing
        self.work = work
        self.slots = slots
        self.processes = {}
        self.arrivals = []
        self.crashes = []
        self.started = 0

    def start(self, address, domain, software=''):
        """Start an upstream of a software version at an address."""
        self.started += 1
        process = _Process(f'i{self.started}', address, domain, software)
        self.processes[address] = process
        self._write_entry(process)

    def leave(self, address):
        """Mark the upstream at an address as leaving in its entry."""
        self._write_entry(self.processes[address], leaving=True)

    def end(self, address):
        """End the upstream at an address, which does not start again."""
        process = self.processes.pop(address)
        self._break_connections(process)
        self.write(process.ident, None)

    def _write_entry(self, process, *, leaving=False):
        entry = {
            'address': process.address,
            'domain': process.domain,
            'slots': max(1, self.slots),
            'software': process.software,
            'leaving': leaving,
        }
        self.write(process.ident, entry)

    def client_of(self, host):
        """Return the client that a host sends with."""
        return _Client(self, host)

    def running(self):
        """Return the running processes."""
        return [
            process
            for process in self.processes.values()
            if process is not None
        ]

    def crash(self, process, body=b''):
        """Crash an upstream with all requests that it runs."""
        if self.processes.get(process.address) is not process:
            return
        self.processes[process.address] = None
        now = self.clock.seconds()
        self.crashes.append(Crash(now, process.ident, body))
        self._break_connections(process)
        call_later = self.clock.callLater
        call_later(_EXPIRY_SECONDS, self.write, process.ident, None)
        call_later(
            _RESTART_SECONDS,
            self.start,
            process.address,
            process.domain,
            process.software,
        )

    def _break_connections(self, process):
        for call in process.calls:
            self.clock.callLater(_LATENCY_SECONDS, call.break_connection)

    def accept_connection(self, call):
        """Accept a connection, or refuse it if no process is listening."""
        if call.cancelled:
            return
        if self.processes.get(call.address) is None:
            refused = NotRun('refused', call.address, arrived=False)
            call.receive_head(refused)
            return
        refusal = call.check() if call.check else None
        if refusal is not None:
            call.receive_head(refusal)
            return
        call.sent = True
        self.clock.callLater(_LATENCY_SECONDS, self._receive, call)

    def _receive(self, call):
        process = self.processes.get(call.address)
        if process is None:
            self.clock.callLater(_LATENCY_SECONDS, call.break_connection)
            return
        expected = call.headers[NAMES.expect].decode()
        if expected != process.ident:
            call.receive_head(Head(_MISDIRECTED, {NAMES.not_run: ['1']}))
            return
        now = self.clock.seconds()
        arrival = Arrival(now, call.host, process.ident, call.body)
        self.arrivals.append(arrival)
        refusal = self.refusal(process, call)
        if refusal is not None:
            self.clock.callLater(_LATENCY_SECONDS, call.receive_head, refusal)
            return
        process.calls.append(call)
        process.waiting.append(call)
        self._run_next(process)

    def _run_next(self, process):
        if self.slots and process.running >= self.slots:
            return
        if not process.waiting:
            return
        process.running += 1
        call = process.waiting.pop(0)
        if self.is_crashing(call.body):
            self.clock.callLater(_CRASH_SECONDS, self.crash, process, call.body)
            return
        self.clock.callLater(
            _FIRST_EVENT_SECONDS, self._send_head, process, call
        )

    def refusal(self, process, call):
        """Return the head with which an upstream turns a call away, or None."""

    def answer_headers(self, process, call):
        """Return the headers of an upstream's answer to a call."""
        return {
            NAMES.attempt: [call.headers[NAMES.attempt]],
            NAMES.stamp: ['proof'],
        }

    def _is_running(self, process, call):
        """Return whether a call goes on; free its slot if it does not."""
        if self.processes.get(process.address) is not process:
            return False
        if call.cancelled:
            self._end_run(process, call)
        return not call.cancelled

    def _end_run(self, process, call):
        process.calls.remove(call)
        process.running -= 1
        self._run_next(process)

    def _send_head(self, process, call):
        if not self._is_running(process, call):
            return
        call.receive_head(Head(_OK, self.answer_headers(process, call)))
        last = int(call.headers.get(NAMES.last_event, b'0'))
        self._send_event(process, call, last + 1)

    def _send_event(self, process, call, number):
        if not self._is_running(process, call):
            return
        data = process.software.encode() or b'x'
        call.on_data(b'id: %d\ndata: %s\n\n' % (number, data))
        if number * _EVENT_GAP_SECONDS < self.work:
            self.clock.callLater(
                _EVENT_GAP_SECONDS, self._send_event, process, call, number + 1
            )
            return
        self._end_run(process, call)
        call.end(BodyEnd.COMPLETE)


class _Client:
    """Client that sends the requests of one host."""

    def __init__(self, upstreams, host):
        self.upstreams = upstreams
        self.host = host

    def send(self, address, method, target, headers, body):
        """Send a request once and return its call."""
        call = _Call(self.host, address, headers, body)
        upstreams = self.upstreams
        upstreams.clock.callLater(
            2 * _LATENCY_SECONDS, upstreams.accept_connection, call
        )
        return call

    def probe(self, address):
        """Return a Deferred of the address's ``ProbeResult``."""
        done = Deferred()
        self.upstreams.clock.callLater(
            2 * _LATENCY_SECONDS, self._finish_probe, address, done
        )
        return done

    def _finish_probe(self, address, done):
        is_listening = self.upstreams.processes.get(address) is not None
        done.callback(
            ProbeResult.ACCEPTED if is_listening else ProbeResult.REFUSED
        )
