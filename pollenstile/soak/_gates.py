"""What reaches a process from outside: store answers and peers' bytes."""

from twisted.internet.defer import Deferred


class GatedStore:
    """The store as one process reaches it.

    Parameters
    ==========

    store : Store
        The platform's.
    process : Process
        Whose calls these are; answers reach it only while it runs.
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
    """One connection to a peer, as a process hears it.

    Parameters
    ==========

    process : Process
        Takes what arrives.
    receiver : object or None
        The hub's end; made later for a connection that a peer opens.
    """

    __slots__ = ('process', 'receiver', 'wire')

    def __init__(self, process, receiver=None):
        self.process = process
        self.receiver = receiver
        self.wire = None

    def opened(self, wire):
        """Hand over that the connection is open."""
        self.wire = wire
        self.process.deliver(self.receiver.opened, wire)

    def received(self, content):
        """Hand over bytes."""
        self.process.deliver(self._received, content)

    def lost(self):
        """Hand over that the connection is gone."""
        self.process.deliver(self._lost)

    def accept(self, hub, origin):
        """Let the hub take a connection that a peer opened."""
        self.receiver = hub.accept(self.wire, origin)

    def _received(self, content):
        self.receiver.received(content)

    def _lost(self):
        self.receiver.lost()


class GatedHub:
    """A hub as the virtual connections see it.

    Parameters
    ==========

    process : Process
        The hub's.
    hub : Hub
        Real.
    gates : list of PeerGate
        Gets each connection.
    """

    __slots__ = ('gates', 'hub', 'process')

    def __init__(self, process, hub, gates):
        self.process = process
        self.hub = hub
        self.gates = gates

    @property
    def stopped(self):
        """Whether nobody listens there."""
        return not self.process.alive or self.hub.stopped

    def accept(self, wire, origin):
        """Return the receiver of a connection that a peer opened."""
        gate = PeerGate(self.process)
        gate.wire = wire
        self.gates.append(gate)
        self.process.deliver(gate.accept, self.hub, origin)
        return gate


def gated_connect(connect, process, gates):
    """Return a hub's ``connect`` whose connections go through gates."""

    def connect_gated(address, receiver):
        gate = PeerGate(process, receiver)
        gates.append(gate)
        connect(address, gate)

    return connect_gated
