"""Upstreams in virtual time: the transport's interface without a network.

Explanation
===========

Benches and soaks run the real code of entry hosts over these fakes. An
upstream has slots, a queue and sampled times; a link between a failure domain
and an upstream has a latency and a state. A message is looked at when it
arrives, so that a cut holds back what was on its way.
"""

from dataclasses import dataclass

from pollenstile.standin._slots import Slots
from pollenstile.standin.engine import token
from pollenstile.standin.faults import Faults
from pollenstile.upstream import Chunk, Load, Lost, NotRun, Reply, wire

UP = 'up'
# Messages vanish, as on a connection whose path has forgotten it.
SILENT = 'silent'
# New connections are refused at once.
REFUSED = 'refused'

_MS = 1000


@dataclass(slots=True, frozen=True)
class Times:
    """Functions that return seconds, each call a new sample.

    Parameters
    ==========

    work : function
        Time of a call, or until the first token.
    gap : function
        Time between tokens.
    """

    work: object
    gap: object


class VirtualUpstream:
    """One upstream in virtual time.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual.
    name, kind : str
        As declared.
    slots : int
        Calls side by side.
    times : Times
        Samples its times.

    Attributes
    ==========

    runs : list of str
        Attempts that it started to run, in order.
    keys : list of tuple
        Key and step of each run that carried a key.
    busy : float
        Seconds that its slots worked, all together.
    """

    __slots__ = (
        'busy',
        'clock',
        'faults',
        'keys',
        'kind',
        'name',
        'runs',
        'slots',
        'times',
    )

    def __init__(self, clock, name, kind, slots, times):
        self.clock = clock
        self.name = name
        self.kind = kind
        self.slots = Slots(slots, f'{name}-1')
        self.times = times
        self.faults = Faults()
        self.runs = []
        self.keys = []
        self.busy = 0

    def load(self):
        """Return the load to state."""
        report = self.slots.report(leaving=self.faults.leaving)
        return Load(
            report.running,
            report.queued,
            report.leaving,
            report.incarnation,
        )


class _Run:
    """One call at a virtual upstream."""

    __slots__ = (
        'call',
        'ended',
        'offset',
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
        self.timer = None
        self.started = None
        self.ended = False

    def arrive(self):
        """Take a slot or queue, unless the upstream refuses."""
        if self.upstream.faults.refusing:
            self.ended = True
            self.send(
                NotRun(
                    'refusing',
                    load=self.upstream.load(),
                    attempt=self.stated(),
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
        self.wait(self.upstream.times.work())

    def wait(self, seconds):
        """Go on after a time, unless frozen."""
        if self.upstream.faults.frozen:
            return
        self.timer = self.upstream.clock.callLater(
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
        if self.offset >= self.call.max_tokens:
            self.answer(self.text(), self.offset)
            return
        self.send(Chunk(self.stated(), self.offset, self.token(self.offset)))
        self.offset += 1
        self.wait(self.upstream.times.gap())

    def answer(self, output, tokens):
        """Send the whole answer."""
        self.end()
        busy = (self.upstream.clock.seconds() - self.started) * _MS
        self.send(
            Reply(self.stated(), output, tokens, busy, self.upstream.load()),
        )

    def request(self):
        """Return the request's identifier."""
        return self.call.attempt.partition('/')[0]

    def stated(self):
        """Return the attempt that the answer names."""
        return self.upstream.faults.stated(self.call.attempt)

    def token(self, offset):
        """Return a token, the same from every engine."""
        return token(wire.encode_json(self.call.content), offset)

    def text(self):
        """Return the whole text."""
        return ''.join(self.token(offset) for offset in range(self.offset))

    def end(self):
        """Give the slot back once."""
        if self.ended:
            return
        self.ended = True
        if self.started is None:
            return
        self.upstream.busy += self.upstream.clock.seconds() - self.started
        self.upstream.slots.release()

    def stop(self):
        """Stop a call that nobody waits for."""
        if self.ended:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.upstream.slots.remove_waiting(self.work):
            self.ended = True
            return
        self.end()


class VirtualNetwork:
    """Upstreams and the links to them.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual.
    upstreams : dict
        Name to :class:`VirtualUpstream`.
    latency : function
        ``latency(origin, name)`` returns seconds one way.
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
            The host, as ``latency`` and ``state`` know it.
        """

        def start(name, upstream, call, sink):
            link = _Link(self, origin, name, sink)
            link.begin(call)
            return link.cancel

        return start


class _Link:
    """One call's messages between a host and an upstream."""

    __slots__ = ('gone', 'name', 'network', 'origin', 'run', 'sink')

    def __init__(self, network, origin, name, sink):
        self.network = network
        self.origin = origin
        self.name = name
        self.sink = sink
        self.gone = False
        self.run = None

    def begin(self, call):
        """Send the call."""
        self.run = _Run(self.network.upstreams[self.name], call, self.send)
        self._later(self._arrive)

    def send(self, event):
        """Send an event back."""
        self._later(self._deliver, event)

    def cancel(self):
        """Hand over nothing more, and tell the upstream to stop."""
        self.gone = True
        self._later(self._stop)

    def _later(self, function, *arguments):
        latency = self.network.latency(self.origin, self.name)
        self.network.clock.callLater(latency, function, *arguments)

    def _state(self):
        return self.network.state(self.origin, self.name)

    def _arrive(self):
        if self.gone:
            return
        state = self._state()
        if state == REFUSED:
            self.sink(NotRun('no connection'))
            return
        if state == UP:
            self.run.arrive()

    def _deliver(self, event):
        if not self.gone and self._state() == UP:
            self.sink(event)

    def _stop(self):
        if self._state() == UP:
            self.run.stop()


def healthy_network(clock, upstreams, latency=0.001):
    """Return a network whose links are all up.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual.
    upstreams : dict
        Name to :class:`VirtualUpstream`.
    latency : float
        Seconds one way, on each link.
    """
    return VirtualNetwork(
        clock,
        upstreams,
        lambda _origin, _name: latency,
        lambda _origin, _name: UP,
    )
