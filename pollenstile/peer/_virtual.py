"""Connections between hubs in virtual time.

Explanation
===========

Hubs and sessions use these connections in the same way as TCP. Bytes are
delivered after a latency. A cut is checked at delivery, so it also drops bytes
in transit. A cut is silent, like a network path that has lost the connection
state: neither side is notified, and new connections fail.
"""


class VirtualWires:
    """Simulated network of hubs, by address.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual clock.
    latency : function
        Returns the one-way latency between two addresses in seconds.
    is_cut : function
        Returns whether the path between two addresses is cut now.
    """

    __slots__ = ('clock', 'hubs', 'is_cut', 'latency')

    def __init__(self, clock, latency, is_cut):
        self.clock = clock
        self.latency = latency
        self.is_cut = is_cut
        self.hubs = {}

    def connect_from(self, origin):
        """Return the ``connect`` function of the hub at an address."""

        def connect(address, receiver):
            wait = 2 * self.latency(origin, address)
            self.clock.callLater(wait, self._connect, origin, address, receiver)

        return connect

    def _connect(self, origin, address, receiver):
        hub = self.hubs.get(address)
        cut = self.is_cut(origin, address)
        if hub is None or hub.stopped or cut:
            if not cut:
                receiver.refused()
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
        'last_arrival',
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
        self.last_arrival = 0.0

    def write(self, content):
        """Send bytes to the other end."""
        self._call_in_order(self._deliver, content)

    def close(self):
        """Close; the other end is notified unless the path is cut."""
        if not self.closed:
            self.closed = True
            self._call_in_order(self._notify_closed)

    def _call_in_order(self, action, *arguments):
        # Bytes are delivered in the order in which they were sent, as in TCP.
        now = self.wires.clock.seconds()
        arrives = now + self.wires.latency(self.near, self.far)
        self.last_arrival = max(self.last_arrival, arrives)
        self.wires.clock.callLater(self.last_arrival - now, action, *arguments)

    def _deliver(self, content):
        if self._can_deliver():
            self.other.receiver.received(content)

    def _notify_closed(self):
        if self._can_deliver():
            self.other.closed = True
            self.other.receiver.lost()

    def _can_deliver(self):
        if self.other.closed:
            return False
        hub = self.wires.hubs.get(self.far)
        alive = hub is not None and not hub.stopped
        return alive and not self.wires.is_cut(self.near, self.far)
