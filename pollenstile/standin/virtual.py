"""Simulated upstreams and network with the interface of the transport.

Explanation
===========

Benchmarks and soak tests run the real code of entry hosts over these fakes in
virtual time. An upstream has slots, a queue and sampled times. A link between a
failure domain and an upstream has a latency and a state. The state is checked
when a message arrives, so that a partition also drops messages in flight.
"""

from dataclasses import dataclass

from pollenstile.standin._pausing import PausableTimers
from pollenstile.standin._slots import Slots
from pollenstile.standin.engine import token
from pollenstile.standin.faults import Faults
from pollenstile.upstream import Chunk, Load, Lost, NotRun, Reply, wire

UP = 'up'
# Messages are dropped, as on a connection that a middlebox no longer tracks.
SILENT = 'silent'
# New connections are refused immediately.
REFUSED = 'refused'

_MS_PER_SECOND = 1000
# Repeats of a token after which a run that goes on with nothing else stops.
_MAX_REPEATS = 1000


@dataclass(slots=True, frozen=True)
class Times:
    """Functions that sample durations in seconds.

    Parameters
    ==========

    work : function
        Run time of a call, or time to the first token.
    gap : function
        Time between tokens.
    """

    work: object
    gap: object


class VirtualUpstream:
    """One simulated upstream.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual clock.
    name, kind : str
        Name, and kind of its pool.
    slots : int
        Maximum number of concurrent calls.
    times : Times
        Samples run times.

    Attributes
    ==========

    runs : list of str
        Attempts that started to run, in order.
    repeated : set of str
        Attempts that sent a token again.
    keys : list of tuple
        Idempotency key and step of each run that has a key.
    timers : PausableTimers
        Times all that it does; while they are paused, it stands still.
    busy : float
        Total busy time of all slots, in seconds.
    """

    __slots__ = (
        'busy',
        'clock',
        'faults',
        'keys',
        'kind',
        'name',
        'repeated',
        'runs',
        'slots',
        'timers',
        'times',
    )

    def __init__(self, clock, name, kind, slots, times):
        self.clock = clock
        self.name = name
        self.kind = kind
        self.slots = Slots(slots, f'{name}-1')
        self.times = times
        self.timers = PausableTimers(clock)
        self.faults = Faults()
        self.runs = []
        self.repeated = set()
        self.keys = []
        self.busy = 0

    def load(self):
        """Return the current load report."""
        report = self.slots.report(leaving=self.faults.leaving)
        return Load(
            report.running,
            report.queued,
            report.leaving,
            report.incarnation,
        )


class _Run:
    """One call at a simulated upstream."""

    __slots__ = (
        'call',
        'ended',
        'offset',
        'repeats',
        'send',
        'started',
        'timer',
        'upstream',
    )

    def __init__(self, upstream, call, send):
        self.upstream = upstream
        self.call = call
        self.send = send
        self.offset = call.offset
        self.repeats = 0
        self.timer = None
        self.started = None
        self.ended = False

    def arrive(self):
        """Start or queue the call, unless the upstream refuses it."""
        if self.upstream.faults.refusing:
            self.ended = True
            self.send(
                NotRun(
                    'refusing',
                    load=self.upstream.load(),
                    attempt=self.attempt_to_name(),
                ),
            )
            return
        self.upstream.slots.acquire(self.work)

    def work(self):
        """Start to run."""
        self.started = self.upstream.clock.seconds()
        self.upstream.runs.append(self.call.attempt)
        if self.call.key:
            self.upstream.keys.append((self.call.key, self.call.step))
        self.schedule(self.upstream.times.work())

    def schedule(self, seconds):
        """Schedule the next event, unless the upstream is frozen."""
        if self.upstream.faults.frozen:
            return
        self.timer = self.upstream.timers.later(
            seconds * self.upstream.faults.slow,
            self.advance,
        )

    def advance(self):
        """Send the next token, or the answer."""
        self.timer = None
        if self.upstream.kind != 'engine':
            self.answer({'by': self.upstream.name, 'for': self.request()}, 0)
            return
        if self.offset == self.upstream.faults.cut_after:
            self.end()
            self.send(Lost('stream cut off'))
            return
        if self.upstream.faults.endless and self.offset > self.call.offset:
            self.repeat()
            return
        if self.offset >= self.call.max_tokens:
            self.answer(self.text(), self.offset)
            return
        self.send(
            Chunk(self.attempt_to_name(), self.offset, self.token(self.offset))
        )
        self.offset += 1
        self.schedule(self.upstream.times.gap())

    def repeat(self):
        """Send the last token again, which brings nothing."""
        self.upstream.repeated.add(self.call.attempt)
        self.repeats += 1
        last = self.offset - 1
        self.send(Chunk(self.attempt_to_name(), last, self.token(last)))
        if self.repeats < _MAX_REPEATS:
            self.schedule(self.upstream.times.gap())

    def answer(self, output, tokens):
        """Send the complete answer."""
        self.end()
        busy = (self.upstream.clock.seconds() - self.started) * _MS_PER_SECOND
        self.send(
            Reply(
                self.attempt_to_name(),
                output,
                tokens,
                busy,
                self.upstream.load(),
            ),
        )

    def request(self):
        """Return the identifier of the request."""
        return self.call.attempt.partition('/')[0]

    def attempt_to_name(self):
        """Return the attempt to name in the answer."""
        return self.upstream.faults.attempt_to_name(self.call.attempt)

    def token(self, offset):
        """Return the token at an offset, which is the same for all engines."""
        return token(wire.encode_json(self.call.content), offset)

    def text(self):
        """Return the complete text."""
        return ''.join(self.token(offset) for offset in range(self.offset))

    def end(self):
        """Release the slot unless already done."""
        if self.ended:
            return
        self.ended = True
        if self.started is None:
            return
        self.upstream.busy += self.upstream.clock.seconds() - self.started
        self.upstream.slots.release()

    def stop(self):
        """Stop a call that the host cancelled."""
        if self.ended:
            return
        if self.timer is not None:
            self.upstream.timers.cancel(self.timer)
            self.timer = None
        if self.upstream.slots.remove_waiting(self.work):
            self.ended = True
            return
        self.end()


class VirtualNetwork:
    """Simulated network between hosts and upstreams.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual clock.
    upstreams : dict
        :class:`VirtualUpstream` by name.
    latency : function
        ``latency(origin, name)`` returns the one-way latency in seconds.
    state : function
        ``state(origin, name)`` returns ``UP``, ``SILENT`` or ``REFUSED``.
    """

    __slots__ = ('clock', 'latency', 'state', 'upstreams')

    def __init__(self, clock, upstreams, latency, state):
        self.clock = clock
        self.upstreams = upstreams
        self.latency = latency
        self.state = state

    def transport_from(self, origin):
        """Return the transport of a host.

        Parameters
        ==========

        origin : str
            Name of the host for ``latency`` and ``state``.
        """

        def start(name, upstream, call, sink):
            link = _CallLink(self, origin, name, sink)
            link.begin(call)
            return link.cancel

        return start


class _CallLink:
    """Messages of one call between a host and an upstream."""

    __slots__ = ('cancelled', 'name', 'network', 'origin', 'run', 'sink')

    def __init__(self, network, origin, name, sink):
        self.network = network
        self.origin = origin
        self.name = name
        self.sink = sink
        self.cancelled = False
        self.run = None

    def begin(self, call):
        """Send the call to the upstream."""
        self.run = _Run(self.network.upstreams[self.name], call, self.send)
        self._send_later(self._arrive)

    def send(self, event):
        """Send an event to the host."""
        self._send_later(self._deliver, event)

    def cancel(self):
        """Deliver no further events and stop the call at the upstream."""
        self.cancelled = True
        self._send_later(self._stop)

    def _send_later(self, function, *arguments):
        latency = self.network.latency(self.origin, self.name)
        self.network.clock.callLater(latency, function, *arguments)

    def _state(self):
        return self.network.state(self.origin, self.name)

    def _arrive(self):
        if self.cancelled:
            return
        state = self._state()
        if state == REFUSED:
            self.sink(NotRun('no connection'))
            return
        if state == UP:
            self.run.upstream.timers.at_once(self.run.arrive)

    def _deliver(self, event):
        if not self.cancelled and self._state() == UP:
            self.sink(event)

    def _stop(self):
        if self._state() == UP:
            self.run.upstream.timers.at_once(self.run.stop)


def healthy_network(clock, upstreams, latency=0.001):
    """Return a network whose links are all up.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual clock.
    upstreams : dict
        :class:`VirtualUpstream` by name.
    latency : float
        One-way latency of each link, in seconds.
    """
    return VirtualNetwork(
        clock,
        upstreams,
        lambda _origin, _name: latency,
        lambda _origin, _name: UP,
    )
