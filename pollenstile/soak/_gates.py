"""Delivery of store answers and peer messages to a simulated process."""

from twisted.internet.defer import Deferred


class GatedStore:
    """Store client of one process.

    Explanation
    ===========

    Answers are delivered through the process, so they wait while it is frozen
    and are dropped when it was killed.

    Parameters
    ==========

    store : Store
        The platform's store.
    process : Process
        The process that makes the calls.
    """

    __slots__ = ('process', 'store')

    def __init__(self, store, process):
        self.store = store
        self.process = process

    def get(self, *arguments, **keywords):
        """Read an object."""
        return self._gated(self.store.get(*arguments, **keywords))

    def put(self, *arguments, **keywords):
        """Write an object."""
        return self._gated(self.store.put(*arguments, **keywords))

    def delete(self, *arguments, **keywords):
        """Delete an object."""
        return self._gated(self.store.delete(*arguments, **keywords))

    def listed(self, *arguments, **keywords):
        """List objects."""
        return self._gated(self.store.listed(*arguments, **keywords))

    def watched(self, *arguments, **keywords):
        """Wait for changes."""
        return self._gated(self.store.watched(*arguments, **keywords))

    def _gated(self, call):
        answer = Deferred()
        waiting = Deferred.fromCoroutine(call)
        waiting.addCallback(
            lambda outcome: self.process.deliver(_hand_over, answer, outcome),
        )
        return answer


def _hand_over(answer, outcome):
    if not answer.called:
        answer.callback(outcome)


class PeerGate:
    """One connection to a peer, whose events are delivered to a process.

    Parameters
    ==========

    process : Process
        The process that receives the events.
    receiver : object or None
        The hub's receiver; set later for a connection that a peer opens.
    """

    __slots__ = ('process', 'receiver', 'wire')

    def __init__(self, process, receiver=None):
        self.process = process
        self.receiver = receiver
        self.wire = None

    def opened(self, wire):
        """Deliver the event that the connection is open."""
        self.wire = wire
        self.process.deliver(self.receiver.opened, wire)

    def received(self, content):
        """Deliver received bytes."""
        self.process.deliver(self._received, content)

    def refused(self):
        """Deliver the event that the address refused the connection."""
        self.process.deliver(self._refused)

    def lost(self):
        """Deliver the event that the connection is lost."""
        self.process.deliver(self._lost)

    def accept(self, hub, origin):
        """Pass a connection that a peer opened to the hub."""
        self.receiver = hub.accept(self.wire, origin)

    def _received(self, content):
        self.receiver.received(content)

    def _refused(self):
        self.receiver.refused()

    def _lost(self):
        self.receiver.lost()


class GatedHub:
    """A hub as a target of virtual connections.

    Parameters
    ==========

    process : Process
        The process that the hub runs in.
    hub : Hub
        The real hub.
    gates : list of PeerGate
        Receives the gate of each connection.
    """

    __slots__ = ('gates', 'hub', 'process')

    def __init__(self, process, hub, gates):
        self.process = process
        self.hub = hub
        self.gates = gates

    @property
    def stopped(self):
        """Whether the hub accepts no connections."""
        return not self.process.alive or self.hub.stopped

    def accept(self, wire, origin):
        """Return the receiver of a connection that a peer opened."""
        gate = PeerGate(self.process)
        gate.wire = wire
        self.gates.append(gate)
        self.process.deliver(gate.accept, self.hub, origin)
        return gate


def gated_connect(connect, process, gates):
    """Return a ``connect`` function whose connections use peer gates."""

    def connect_through_gate(address, receiver):
        gate = PeerGate(process, receiver)
        gates.append(gate)
        connect(address, gate)

    return connect_through_gate
