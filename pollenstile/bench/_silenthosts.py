"""Simulate stage upstreams and hosts that stand still and go on.

Explanation
===========

An upstream that stands still runs and reads nothing, and goes on where it was.
A host that stands still is a stopped process: time passes, bytes for it wait,
and when it goes on, the timers that became due run before anything is read, as
in Twisted's loop.
"""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.bench._stagehosts import HostFleet, StageHost
from pollenstile.bench._stageworld import StageUpstream
from pollenstile.forward import SharedRetryBudget
from pollenstile.peer import Hub
from pollenstile.stagework import CallLost
from pollenstile.standin.clock import VirtualClock

# The retry budget of the platform: ratio, slack, and window in seconds.
_BUDGET = (0.2, 58, 10)
# Number of hosts that share the budget of a stage service.
_SHARERS = 2
# Seconds by which the virtual clocks advance in each step.
_STEP = 0.002


class SilentUpstream(StageUpstream):
    """A stage upstream whose own clock stops while it stands still.

    Attributes
    ==========

    is_silent : bool
        Whether it stands still.
    """

    __slots__ = ('is_silent',)

    def __init__(self, ident, limits):
        super().__init__(VirtualClock(), ident, limits)
        self.is_silent = False

    def go_on(self):
        """End its silence."""
        self.is_silent = False

    def step(self):
        """Advance its own clock unless it stands still."""
        if not self.is_silent:
            self.clock.advance(_STEP)


class PausableClock:
    """The fleet's clock as a process sees it that may be stopped.

    Parameters
    ==========

    clock : IReactorTime
        Clock of the fleet.

    Attributes
    ==========

    is_paused : bool
        Whether the process is stopped.
    due : list
        Timers that became due while it was stopped, in their order.
    """

    __slots__ = ('clock', 'due', 'is_paused')

    def __init__(self, clock):
        self.clock = clock
        self.is_paused = False
        self.due = []

    def seconds(self):
        """Return the time in seconds, which passes for a stopped process."""
        return self.clock.seconds()

    def callLater(self, delay, callable, *args, **kw):
        """Call a function after some seconds, once the process runs."""
        return self.clock.callLater(
            delay, self.when_running, partial(callable, *args, **kw)
        )

    def when_running(self, action):
        """Call a function now, or when the process goes on."""
        if self.is_paused:
            self.due.append(action)
            return
        action()

    def go_on(self):
        """Run the timers that are due."""
        self.is_paused = False
        due = self.due
        self.due = []
        for action in due:
            action()


class _PausableHub(Hub):
    """A hub that reads only while its process runs and its links work.

    Attributes
    ==========

    arrived : list
        Links and bytes that were not read yet.
    stalled : set of str
        Addresses of peers whose bytes are under way until their link goes on.
    """

    __slots__ = ('arrived', 'stalled')

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrived = []
        self.stalled = set()

    def receive(self, link, received):
        """Handle received bytes now, or when the process or link goes on."""
        if self.clock.is_paused or link.address in self.stalled:
            self.arrived.append((link, received))
            return
        super().receive(link, received)

    def read_arrived(self):
        """Handle the bytes that could not be read before."""
        arrived = self.arrived
        self.arrived = []
        for link, received in arrived:
            if not link.closed:
                self.receive(link, received)


class SilentHost(StageHost):
    """A simulated host whose process may be stopped and go on.

    Attributes
    ==========

    budget : SharedRetryBudget
        Repeats that it may send.
    answers : list
        Functions that read the answers of upstreams that arrived while it was
        stopped.
    """

    __slots__ = ('answers', 'budget')

    def __init__(self, fleet, name, boot=1):
        super().__init__(fleet, name, boot)
        self.answers = []
        self.budget = SharedRetryBudget(fleet.clock, *_BUDGET)

    def make_clock(self):
        """Return the clock of its process."""
        return PausableClock(self.fleet.clock)

    def make_hub(self, *arguments):
        """Return the hub of its process."""
        return _PausableHub(*arguments)

    def stand_still(self, seconds):
        """Stop the process for some seconds."""
        self.clock.is_paused = True
        self.fleet.clock.callLater(seconds, self._go_on)

    def spend(self, service, number):
        """Spend repeats of the budget; return whether it allows them."""
        allowed = self.budget.spend(service, number, sharers=_SHARERS)
        self.fleet.budget += number if allowed else 0
        return allowed

    def call(self, worker, pieces, seconds):
        """Call an upstream, with the timeout that a host sets."""
        answer = Deferred()
        self.clock.callLater(seconds, self._time_out, answer, worker)
        called = super().call(worker, pieces, seconds)
        called.addCallback(self._arrive, answer)
        return answer

    def _time_out(self, answer, worker):
        if not answer.called:
            answer.callback(CallLost('timeout', worker.ident, arrived=True))

    def _arrive(self, made, answer):
        if self.clock.is_paused:
            self.answers.append(partial(_fire, answer, made))
            return
        _fire(answer, made)

    def _go_on(self):
        self.clock.go_on()
        self.hub.read_arrived()
        answers = self.answers
        self.answers = []
        for fire in answers:
            fire()


class SilentFleet(HostFleet):
    """Hosts and stage upstreams that may stand still, each on its own."""

    __slots__ = ()

    def make_upstream(self, address, limits):
        """Return an upstream."""
        return SilentUpstream(address, limits)

    def make_host(self, name, boot=1):
        """Return a host."""
        return SilentHost(self, name, boot)

    def client(self, number):
        """Return the stage client of a host that accepts requests."""
        running = [
            host
            for host in self.hosts
            if not host.dead and not host.clock.is_paused
        ]
        return running[number % len(running)].client

    def advance(self, seconds):
        """Advance the clocks of the fleet and of its upstreams."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            for upstream in self.upstreams.values():
                upstream.step()

    def silence_workers(self, number, seconds, rng):
        """Let a random number of upstreams stand still for some seconds."""
        for address in rng.sample(sorted(self.upstreams), number):
            upstream = self.upstreams[address]
            upstream.is_silent = True
            self.clock.callLater(seconds, upstream.go_on)

    def stop_owner(self, seconds, rng):
        """Stop the process that owns a random service for some seconds."""
        self.owner_of(rng.choice(sorted(self.services))).stand_still(seconds)

    def stall_links(self, seconds, rng):
        """Let the links of a random owner stand still; no bytes are lost."""
        owner = self.owner_of(rng.choice(sorted(self.services)))
        others = [host for host in self.hosts if host is not owner]
        for host in others:
            host.hub.stalled.add(owner.name)
            owner.hub.stalled.add(host.name)
        self.clock.callLater(seconds, self._resume_links, owner, others)

    def _resume_links(self, owner, others):
        for host in others:
            host.hub.stalled.discard(owner.name)
            host.hub.read_arrived()
        owner.hub.stalled.clear()
        owner.hub.read_arrived()


def _fire(answer, made):
    if not answer.called:
        answer.callback(made)
