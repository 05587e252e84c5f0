"""Connections between hubs in virtual time.

Explanation
===========

The same hubs and sessions run over these as over TCP. Bytes arrive after a
latency, looked at when they arrive, so that a cut holds back what is on its
way. A cut is silent, as of a path that has lost the connection: neither side
is told, and new connections fail.
"""


class VirtualWires:
    """Hubs by address, and the paths between their hosts.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual.
    latency : function
        Seconds one way, from two addresses.
    is_cut : function
        Whether nothing passes between two addresses now.
    """

    __slots__ = ('clock', 'hubs', 'is_cut', 'latency')

    def __init__(self, clock, latency, is_cut):
        self.clock = clock
        self.latency = latency
        self.is_cut = is_cut
        self.hubs = {}

    def connect_from(self, origin):
        """Return a hub's ``connect``."""

        def connect(address, receiver):
            wait = 2 * self.latency(origin, address)
            self.clock.callLater(wait, self._met, origin, address, receiver)

        return connect

    def _met(self, origin, address, receiver):
        hub = self.hubs.get(address)
        cut = self.is_cut(origin, address)
        if hub is None or hub.stopped or cut:
            receiver.lost()
            return
        near = _Wire(self, origin, address)
        far = _Wire(self, address, origin)
        near.other = far
        far.other = near
        near.receiver = receiver
        far.receiver = hub.accept(far, origin)
        receiver.opened(near)


class _Wire:
    """One end of a connection."""

    __slots__ = (
        'closed',
        'far',
        'last',
        'near',
        'other',
        'receiver',
        'wires',
    )

    def __init__(self, wires, near, far):
        self.wires = wires
        self.near = near
        self.far = far
        self.other = None
        self.receiver = None
        self.closed = False
        self.last = 0.0

    def write(self, content):
        """Send bytes."""
        self._later(self._arrive, content)

    def close(self):
        """Close; the other end learns it unless the path is cut."""
        if not self.closed:
            self.closed = True
            self._later(self._ended)

    def _later(self, action, *arguments):
        # As in TCP, what was sent first arrives first.
        now = self.wires.clock.seconds()
        arrives = now + self.wires.latency(self.near, self.far)
        self.last = max(self.last, arrives)
        self.wires.clock.callLater(self.last - now, action, *arguments)

    def _arrive(self, content):
        if self._passes():
            self.other.receiver.received(content)

    def _ended(self):
        if self._passes():
            self.other.closed = True
            self.other.receiver.lost()

    def _passes(self):
        if self.other.closed:
            return False
        hub = self.wires.hubs.get(self.far)
        alive = hub is not None and not hub.stopped
        return alive and not self.wires.is_cut(self.near, self.far)
