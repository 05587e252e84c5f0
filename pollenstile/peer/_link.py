"""A connection to a peer, with its heartbeats and silence detection."""

from pollenstile.peer._messages import Beat
from pollenstile.peer._session import State

# Defaults of a hub, in seconds. When the network path has lost the connection
# state, heartbeats are dropped silently; after two and a half missed heartbeats
# the connection counts as silent. A host whose peers wait for its answers
# within a second or two sets shorter values.
BEAT_PERIOD = 2.0
SILENCE_LIMIT = 5.0
# Seconds without a step of the handshake after which a connection counts as
# silent, which limits connections held open by strangers.
HANDSHAKE_SECONDS = 3.0


class Link:
    """A connection to a peer and the times of its last traffic.

    Parameters
    ==========

    session : Session
        Handshake and authentication of frames.
    wire : object
        Transport with ``write(bytes)`` and ``close()``.
    receiver : Receiver
        Receiver of the connection's bytes; has the address.
    now : float
        Current time on the clock, in seconds.

    Attributes
    ==========

    last_received, last_beat_sent : float
        Times when the last bytes were received, or the last frame of the
        handshake, and when the last heartbeat was sent.
    last_used : float
        Time of the last request in either direction.
    beat : Beat
        Last heartbeat of the peer.
    waiting : dict
        Deferreds of unanswered requests, by request number.
    """

    __slots__ = (
        'beat',
        'closed',
        'last_beat_sent',
        'last_received',
        'last_used',
        'received',
        'receiver',
        'sent',
        'session',
        'waiting',
        'wire',
    )

    def __init__(self, session, wire, receiver, now):
        self.session = session
        self.wire = wire
        self.receiver = receiver
        self.last_received = now
        self.last_beat_sent = now
        self.last_used = now
        self.beat = Beat()
        self.waiting = {}
        self.closed = False
        self.sent = 0
        self.received = 0

    @property
    def address(self):
        """Address that was dialed or that the connection was accepted from."""
        return self.receiver.address

    @property
    def is_open(self):
        """Whether the handshake is complete and the link is not closed."""
        return self.session.state == State.OPEN and not self.closed

    @property
    def host(self):
        """Name of the peer; empty until the handshake is complete."""
        opened = self.session.state == State.OPEN
        return self.session.peer.host if opened else ''

    def write(self, content):
        """Send bytes, unless the link is closed."""
        if content and not self.closed:
            self.sent += len(content)
            self.wire.write(content)

    def send(self, message):
        """Send a message if the link is open."""
        if self.is_open:
            self.write(self.session.seal(message))

    def receive(self, received, now):
        """Return the messages in received bytes; reply to handshake frames.

        Raises
        ======

        ProtocolError
            When the connection must be closed.
        """
        self.received += len(received)
        state = self.session.state
        reply, messages = self.session.receive(received)
        self.write(reply)
        if self.is_open or self.session.state is not state:
            self.last_received = now
        return messages

    def is_silent(self, now, silence_limit=SILENCE_LIMIT):
        """Return whether nothing was received within the limit."""
        limit = silence_limit if self.is_open else HANDSHAKE_SECONDS
        return now - self.last_received > limit
