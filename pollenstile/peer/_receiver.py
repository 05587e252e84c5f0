"""Receiver of the events of one connection, on behalf of a hub."""

from pollenstile.peer._link import Link


class Receiver:
    """Handles one connection from the attempt to open it until its end.

    Parameters
    ==========

    hub : Hub
        Hub that owns the connection.
    address : str
        Address that is dialed or that the connection was accepted from.
    dialing : bool
        Whether this side opens the connection.
    """

    __slots__ = ('address', 'dialing', 'hub', 'link')

    def __init__(self, hub, address, *, dialing):
        self.hub = hub
        self.address = address
        self.dialing = dialing
        self.link = None

    def opened(self, wire):
        """Start the handshake on an open transport."""
        if self.hub.stopped:
            wire.close()
            return
        session = self.hub.new_session(dialing=self.dialing)
        self.link = Link(session, wire, self, self.hub.clock.seconds())
        self.hub.handshaking.append(self.link)
        if self.dialing:
            self.link.write(session.first_bytes())

    def received(self, content):
        """Pass received bytes to the hub."""
        if self.link is not None and not self.link.closed:
            self.hub.receive(self.link, content)

    def refused(self):
        """Record that no process listens at the dialed address."""
        for handler in list(self.hub.refused_handlers):
            handler(self.address)

    def lost(self):
        """Record that the connection or the attempt to open it has ended."""
        if self.link is None:
            self.hub.dialer.connection_ended(self)
            return
        self.hub.drop(self.link, 'lost')
