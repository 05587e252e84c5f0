"""Takes one connection's bytes for a hub."""

from pollenstile.peer._link import Link


class Receiver:
    """One connection, from the try to open it to its end.

    Parameters
    ==========

    hub : Hub
        Whose connection it is.
    address : str
        What is dialed, or where it came from.
    dialing : bool
        Whether this side opens it.
    """

    __slots__ = ('address', 'dialing', 'hub', 'link')

    def __init__(self, hub, address, *, dialing):
        self.hub = hub
        self.address = address
        self.dialing = dialing
        self.link = None

    def opened(self, wire):
        """Begin the handshake over a wire that is open."""
        if self.hub.stopped:
            wire.close()
            return
        session = self.hub.fresh_session(dialing=self.dialing)
        self.link = Link(session, wire, self, self.hub.clock.seconds())
        self.hub.others.append(self.link)
        if self.dialing:
            self.link.write(session.first_bytes())

    def received(self, content):
        """Hand bytes over."""
        if self.link is not None and not self.link.closed:
            self.hub.take(self.link, content)

    def lost(self):
        """Note that the connection, or the try to open it, has ended."""
        if self.link is None:
            self.hub.dialer.ended(self)
            return
        self.hub.drop(self.link, 'lost')
