"""Simulated upstreams that certain requests crash.

Explanation
===========

A crashing request ends the process of each upstream that starts to run it, with
all concurrent requests of that upstream. After some seconds, the upstream
restarts at its address as a new incarnation. Hosts send to it with a client
that has the interface of their HTTP client.
"""

from dataclasses import dataclass
from functools import partial

from pollenstile.forward import BodyEnd, HeaderNames, NotRun
from pollenstile.standin._pausing import PausableTimers
from pollenstile.standin._upstreamcalls import LATENCY_SECONDS, UpstreamClient
from pollenstile.standin.exchanges import Head

NAMES = HeaderNames()
# Time from the start of a request to its first event.
_FIRST_EVENT_SECONDS = 0.1
# Time from the start of a crashing request to the crash.
_CRASH_SECONDS = 0.06
# Time between events, and the work of one.
EVENT_GAP_SECONDS = 0.1
# Time from a crash to the expiry of the upstream's entry.
_EXPIRY_SECONDS = 3.0
# Time from a crash to the restart.
_RESTART_SECONDS = 2.5
_OK = 200
_MISDIRECTED = 421


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that an upstream accepted.

    Parameters
    ==========

    at : float
        Time in seconds at which it reached the upstream.
    host, upstream : str
        Its sender, and the incarnation.
    body : bytes
        Its body.
    request : str
        Its identifier.
    """

    at: float
    host: str
    upstream: str
    body: bytes
    request: str = ''


@dataclass(slots=True, frozen=True)
class Crash:
    """Crash of an upstream, with the body of the request that caused it."""

    at: float
    upstream: str
    body: bytes


class _Process:
    """One incarnation of an upstream."""

    def __init__(self, clock, ident, address, domain, software):
        self.timers = PausableTimers(clock)
        self.ident = ident
        self.address = address
        self.domain = domain
        self.software = software
        self.calls = []
        self.running = 0
        self.waiting = []


def _entry(process, slots, *, leaving=False):
    """Return the entry with which a process registers itself."""
    return {
        'address': process.address,
        'domain': process.domain,
        'slots': max(1, slots),
        'software': process.software,
        'leaving': leaving,
    }


def _arrival(process, call, reached_at):
    request = call.headers[NAMES.attempt].decode()
    return Arrival(reached_at, call.host, process.ident, call.body, request)


def _break_connections(clock, process):
    # What it has not read is lost with it.
    process.timers.resume()
    for call in process.calls:
        clock.callLater(LATENCY_SECONDS, call.break_connection)


def _pass_on_event(call, number, data):
    if call.is_open_to_host():
        call.on_data(b'id: %d\ndata: %s\n\n' % (number, data))


def _usual_seconds(upstreams, process, call):
    return upstreams.work if upstreams.answers_whole else _FIRST_EVENT_SECONDS


def _software_data(process, call):
    return process.software.encode() or b'x'


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
        Requests that the expected incarnation has read, in order.
    held : list of Arrival
        Requests that reached an upstream while it stood still.
    events_made : int
        Events that upstreams have made for answers, passed on or not.
    answers_whole : bool
        Whether an answer is sent at the end of its run instead of in parts.
    crashes : list of Crash
        Crashes, in order.
    first_seconds : function
        Takes a process and a call; returns the seconds from the call's start to
        the head of its answer.
    event_data : function
        Takes the same; returns the data of an event, without white space.
    """

    def __init__(self, clock, write, is_crashing, work=1.0, slots=0):
        self.clock = clock
        self.write = write
        self.is_crashing = is_crashing
        self.work = work
        self.slots = slots
        self.processes = {}
        self.arrivals = []
        self.held = []
        self.events_made = 0
        self.answers_whole = False
        self.crashes = []
        self.started = 0
        self.first_seconds = partial(_usual_seconds, self)
        self.event_data = _software_data

    def start(self, address, domain, software=''):
        """Start an upstream of a software version at an address."""
        self.started += 1
        ident = f'i{self.started}'
        process = _Process(self.clock, ident, address, domain, software)
        self.processes[address] = process
        self.write(process.ident, _entry(process, self.slots))

    def pause(self, address, seconds):
        """Let an upstream stand still; it then goes on where it was.

        Explanation
        ===========

        Meanwhile it sends nothing and reads nothing. Connections to it are
        still accepted, and it notices a closed one when it goes on.

        Parameters
        ==========

        seconds : float
            Time until it goes on; infinite for good.
        """
        process = self.processes.get(address)
        if process is not None:
            process.timers.pause(seconds)

    def leave(self, address):
        """Mark the upstream at an address as leaving in its entry."""
        process = self.processes[address]
        self.write(process.ident, _entry(process, self.slots, leaving=True))

    def end(self, address):
        """End the upstream at an address, which does not start again."""
        process = self.processes.pop(address)
        _break_connections(self.clock, process)
        self.write(process.ident, None)

    def client_of(self, host):
        """Return the client that a host sends with."""
        return UpstreamClient(self, host)

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
        _break_connections(self.clock, process)
        call_later = self.clock.callLater
        call_later(_EXPIRY_SECONDS, self.write, process.ident, None)
        call_later(
            _RESTART_SECONDS,
            self.start,
            process.address,
            process.domain,
            process.software,
        )

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
        self.clock.callLater(LATENCY_SECONDS, self._receive, call)

    def _receive(self, call):
        process = self.processes.get(call.address)
        if process is None:
            self.clock.callLater(LATENCY_SECONDS, call.break_connection)
            return
        if not process.timers.is_paused:
            self._read(process, call, self.clock.seconds())
            return
        self.held.append(_arrival(process, call, self.clock.seconds()))
        process.timers.later(0, self._read, process, call, self.clock.seconds())

    def _read(self, process, call, reached_at):
        """Let an upstream read a request that has reached it."""
        if self.processes.get(process.address) is not process:
            self.clock.callLater(LATENCY_SECONDS, call.break_connection)
            return
        expected = call.headers[NAMES.expect].decode()
        if expected != process.ident:
            call.receive_head(Head(_MISDIRECTED, {NAMES.not_run: ['1']}))
            return
        self.arrivals.append(_arrival(process, call, reached_at))
        refusal = self.refusal(process, call)
        if refusal is not None:
            self.clock.callLater(LATENCY_SECONDS, call.receive_head, refusal)
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
            process.timers.later(_CRASH_SECONDS, self.crash, process, call.body)
            return
        process.timers.later(
            self.first_seconds(process, call),
            self._send_head,
            process,
            call,
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
        if call.is_closed:
            self._end_run(process, call)
        return not call.is_closed

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
        # A stream may be taken up after its last event.
        if (number - 1) * EVENT_GAP_SECONDS < self.work:
            self.events_made += 1
            _pass_on_event(call, number, self.event_data(process, call))
        if number * EVENT_GAP_SECONDS < self.work:
            process.timers.later(
                0 if self.answers_whole else EVENT_GAP_SECONDS,
                self._send_event,
                process,
                call,
                number + 1,
            )
            return
        self._end_run(process, call)
        call.end(BodyEnd.COMPLETE)
