"""Which addresses are dialed, and when again."""

from pollenstile.peer._receiver import Receiver

_FIRST_PAUSE = 0.5
_LONGEST_PAUSE = 8.0


class Dial:
    """Tries to reach one address."""

    __slots__ = ('at', 'failures', 'receiver')

    def __init__(self):
        self.at = 0.0
        self.failures = 0
        self.receiver = None


class Dialer:
    """Opens a hub's connections.

    Parameters
    ==========

    hub : Hub
        Takes the connections.
    connect : function
        Takes an address and a receiver, opens a connection.

    Attributes
    ==========

    wanted : dict
        Addresses of the hosts to keep a link to, by host.
    seeds : tuple of str
        Addresses to dial while there is no link at all.
    """

    __slots__ = ('connect', 'dials', 'hub', 'seeds', 'wanted')

    def __init__(self, hub, connect):
        self.hub = hub
        self.connect = connect
        self.dials = {}
        self.wanted = {}
        self.seeds = ()

    def dial_due(self, now):
        """Dial who is wanted, not linked, and due."""
        links = self.hub.links
        addresses = [
            address
            for host, address in self.wanted.items()
            if host not in links
        ]
        if not links:
            addresses.extend(self.seeds)
        for address in addresses:
            dial = self.dials.get(address)
            if dial is None or now >= dial.at:
                self.dial(address)

    def dial(self, address):
        """Dial an address now, unless a connection to it is being made."""
        if address == self.hub.hello.address:
            return
        dial = self.dials.setdefault(address, Dial())
        if dial.receiver is not None:
            return
        # All peers of a host that came back would dial it at one instant;
        # full jitter spreads them, and a higher bound after each failure
        # keeps a host that is gone from being dialed often.
        bound = min(_LONGEST_PAUSE, _FIRST_PAUSE * 2**dial.failures)
        dial.failures = min(dial.failures + 1, 10)
        dial.at = self.hub.clock.seconds() + self.hub.random.uniform(0, bound)
        dial.receiver = Receiver(self.hub, address, dialing=True)
        self.connect(address, dial.receiver)

    def failures(self, address):
        """Return how often an address was dialed since it answered."""
        return self.dials.get(address, Dial()).failures

    def reached(self, address):
        """Note that the peer at an address answers."""
        self.dials.get(address, Dial()).failures = 0

    def ended(self, receiver):
        """Note that a connection, or the try to open it, has ended."""
        address = receiver.address
        dial = self.dials.get(address, Dial())
        if dial.receiver is not receiver:
            return
        dial.receiver = None
        # Addresses come and go with the hosts; nothing is kept of them.
        if address not in self.seeds and address not in self.wanted.values():
            self.dials.pop(address)
