"""Outgoing connections to peers, with backoff after failures."""

from pollenstile.ops.loops import guarded
from pollenstile.peer._receiver import Receiver

_INITIAL_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 8.0
# The limit while the hub has just started: all hosts may start at the same
# time, and a peer that has not started yet will soon.
_START_BACKOFF_SECONDS = 1.0
_START_SECONDS = 8.0
_LOOP = 'dials of peers'


class DialState:
    """State of the connection attempts to one address.

    Attributes
    ==========

    next_attempt_at : float
        Time on the clock before which the address is not dialed again.
    failures : int
        Attempts since the peer at the address last answered, at most 10.
    receiver : Receiver or None
        Receiver of the current attempt or connection.
    """

    __slots__ = ('failures', 'next_attempt_at', 'receiver')

    def __init__(self):
        self.next_attempt_at = 0.0
        self.failures = 0
        self.receiver = None


class Dialer:
    """Opens the outgoing connections of a hub.

    Parameters
    ==========

    hub : Hub
        Owner of the connections.
    connect : function
        Opens a connection, from an address and a receiver.

    Attributes
    ==========

    wanted : dict
        Addresses of the hosts to keep a link to, by host name.
    seeds : tuple of str
        Addresses to dial while the hub has no link.
    began_at : float or None
        Time on the clock of the first dial; None before it.
    """

    __slots__ = ('began_at', 'connect', 'dials', 'hub', 'seeds', 'wanted')

    def __init__(self, hub, connect):
        self.hub = hub
        self.connect = connect
        self.dials = {}
        self.wanted = {}
        self.seeds = ()
        self.began_at = None

    def dial_due(self, now):
        """Dial the wanted hosts that have no link and whose backoff is over."""
        links = self.hub.links
        addresses = [
            address
            for host, address in self.wanted.items()
            if host not in links
        ]
        if not links:
            addresses.extend(self.seeds)
        dial = guarded(self.hub.log, _LOOP, self.dial)
        for address in addresses:
            known = self.dials.get(address)
            if known is None or now >= known.next_attempt_at:
                dial(address)

    def dial(self, address):
        """Dial an address now, unless it has an attempt or connection."""
        if address == self.hub.hello.address:
            return
        dial = self.dials.setdefault(address, DialState())
        if dial.receiver is not None:
            return
        # Full jitter prevents all peers of a host that has returned from
        # dialing it at the same instant. The exponential bound limits how
        # often a host that is gone is dialed.
        now = self.hub.clock.seconds()
        bound = min(
            self._max_backoff(now), _INITIAL_BACKOFF_SECONDS * 2**dial.failures
        )
        dial.failures = min(dial.failures + 1, 10)
        dial.next_attempt_at = now + self.hub.random.uniform(0, bound)
        dial.receiver = Receiver(self.hub, address, dialing=True)
        try:
            self.connect(address, dial.receiver)
        except Exception:
            # An address that can't be dialed is tried again like one that
            # doesn't answer.
            dial.receiver = None
            raise

    def _max_backoff(self, now):
        """Return the limit of pauses between dials, in seconds."""
        if self.began_at is None:
            self.began_at = now
        is_starting = now - self.began_at < _START_SECONDS
        return _START_BACKOFF_SECONDS if is_starting else _MAX_BACKOFF_SECONDS

    def failures(self, address):
        """Return how often an address was dialed since it last answered."""
        return self.dials.get(address, DialState()).failures

    def reset_failures(self, address):
        """Reset the failures of an address whose peer has answered."""
        self.dials.get(address, DialState()).failures = 0

    def connection_ended(self, receiver):
        """Record that a connection or the attempt to open it has ended."""
        address = receiver.address
        dial = self.dials.get(address, DialState())
        if dial.receiver is not receiver:
            return
        dial.receiver = None
        # Drop unwanted addresses: they change as hosts join and leave.
        if address not in self.seeds and address not in self.wanted.values():
            self.dials.pop(address)
